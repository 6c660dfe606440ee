package holder_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/result"
)

// pauseTime is longer than every lease of the system.
const pauseTime = 6 * time.Second

var _ = Describe("A holder", func() {
	It("killed between intent and start loses nothing and runs nothing twice", func() {
		c := harness.StartCluster(harness.Single)
		load := c.NewCallers()
		d := c.Domains[0]
		d.Endpoints.Set(faultproxy.Faults{Up: faultproxy.DirectionFaults{Partitioned: true}})
		load.SendMany(20, 10*time.Millisecond, harness.Alternating)
		// The proxy holds back the starts once the holder has sent them.
		Eventually(func() int { return d.Endpoints.Stats().Held }).WithTimeout(harness.WaitTimeout).Should(BeNumerically(">", 0))
		time.Sleep(500 * time.Millisecond)
		d.Scheds[0].Kill()
		d.Endpoints.Set(faultproxy.Faults{})
		d.Scheds[0].Start()
		c.Audit(load.Done())
		Expect(load.Count(result.OK)).To(BeNumerically(">=", 10))
	})

	It("killed between start and record loses nothing and runs nothing twice", func() {
		c := harness.StartCluster(harness.Single)
		load := c.NewCallers()
		d := c.Domains[0]
		load.SendMany(20, 10*time.Millisecond, func(i int) harness.Job {
			j := harness.Alternating(i)
			j.Run = time.Second
			return j
		})
		Eventually(c.Started).WithTimeout(harness.WaitTimeout).Should(Equal(20))
		// From here on, the endpoints' reports can't be recorded.
		d.Platform.Set(faultproxy.Partition())
		time.Sleep(1500 * time.Millisecond)
		d.Scheds[0].Kill()
		d.Platform.Set(faultproxy.Faults{})
		d.Scheds[0].Start()
		c.Audit(load.Done())
		Expect(load.Count(result.OK)).To(Equal(20))
	})

	It("killed between record and answer gives the recorded answer", func() {
		c := harness.StartCluster(harness.Single)
		load := c.NewCallers()
		c.SetLinks(0, 0, faultproxy.Faults{Down: faultproxy.DirectionFaults{Partitioned: true}})
		load.SendMany(20, 10*time.Millisecond, harness.Alternating)
		Eventually(c.Started).WithTimeout(harness.WaitTimeout).Should(Equal(20))
		time.Sleep(time.Second)
		c.Domains[0].Scheds[0].Kill()
		c.SetLinks(0, 0, faultproxy.Faults{})
		c.Domains[0].Scheds[0].Start()
		c.Audit(load.Done())
		Expect(load.Count(result.OK)).To(Equal(20))
		Expect(c.Started()).To(Equal(20))
	})

	It("killed under load is replaced by the other scheduler", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		load.SendMany(50, 20*time.Millisecond, harness.Alternating)
		killed := time.Now()
		c.Holder(0).Kill()
		load.SendMany(200, 20*time.Millisecond, func(i int) harness.Job { return harness.Alternating(100 + i) })
		callers := load.Done()
		AddReportEntry("time without starts after the holder was killed", c.TimeToNextStart(killed))
		c.Audit(callers)
	})

	It("paused past its lease starts nothing when it resumes", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		load.SendMany(50, 20*time.Millisecond, harness.Alternating)
		paused := time.Now()
		holder := c.Holder(0)
		holder.Pause()
		load.SendFor(pauseTime, 20*time.Millisecond, func(i int) harness.Job { return harness.Alternating(100 + i) })
		holder.Resume()
		load.SendMany(50, 20*time.Millisecond, func(i int) harness.Job { return harness.Alternating(1000 + i) })
		callers := load.Done()
		AddReportEntry("time without starts after the holder was paused", c.TimeToNextStart(paused))
		c.Audit(callers)
		Expect(c.Holder(0)).NotTo(BeIdenticalTo(holder))
	})
})
