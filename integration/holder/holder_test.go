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
	It("killed between intent and start loses and doubles nothing", func() {
		c := harness.StartCluster(harness.Single)
		w := c.NewCrowd()
		d := c.Domains[0]
		d.Endpoints.Set(faultproxy.Faults{Up: faultproxy.Direction{Cut: true}})
		w.SendMany(20, 10*time.Millisecond, harness.Either)
		// The holder has sent the starts once the cut holds them back.
		Eventually(func() int { return d.Endpoints.Stats().Held }).WithTimeout(harness.Patience).Should(BeNumerically(">", 0))
		time.Sleep(500 * time.Millisecond)
		d.Scheds[0].Kill()
		d.Endpoints.Set(faultproxy.Faults{})
		d.Scheds[0].Start()
		c.Judge(w.Done())
		Expect(w.Count(result.OK)).To(BeNumerically(">=", 10))
	})

	It("killed between start and record loses and doubles nothing", func() {
		c := harness.StartCluster(harness.Single)
		w := c.NewCrowd()
		d := c.Domains[0]
		w.SendMany(20, 10*time.Millisecond, func(i int) harness.Job {
			j := harness.Either(i)
			j.Run = time.Second
			return j
		})
		Eventually(c.Started).WithTimeout(harness.Patience).Should(Equal(20))
		// What the endpoints report from here on can't be recorded.
		d.Platform.Set(faultproxy.Cut())
		time.Sleep(1500 * time.Millisecond)
		d.Scheds[0].Kill()
		d.Platform.Set(faultproxy.Faults{})
		d.Scheds[0].Start()
		c.Judge(w.Done())
		Expect(w.Count(result.OK)).To(Equal(20))
	})

	It("killed between record and answer gives the recorded answer", func() {
		c := harness.StartCluster(harness.Single)
		w := c.NewCrowd()
		c.SetLinks(0, 0, faultproxy.Faults{Down: faultproxy.Direction{Cut: true}})
		w.SendMany(20, 10*time.Millisecond, harness.Either)
		Eventually(c.Started).WithTimeout(harness.Patience).Should(Equal(20))
		time.Sleep(time.Second)
		c.Domains[0].Scheds[0].Kill()
		c.SetLinks(0, 0, faultproxy.Faults{})
		c.Domains[0].Scheds[0].Start()
		c.Judge(w.Done())
		Expect(w.Count(result.OK)).To(Equal(20))
		Expect(c.Started()).To(Equal(20))
	})

	It("killed under load is replaced by the other scheduler", func() {
		c := harness.StartCluster(harness.Small)
		w := c.NewCrowd()
		w.SendMany(50, 20*time.Millisecond, harness.Either)
		killed := time.Now()
		c.Holder(0).Kill()
		w.SendMany(200, 20*time.Millisecond, func(i int) harness.Job { return harness.Either(100 + i) })
		callers := w.Done()
		AddReportEntry("time without starts after a holder's death", c.NoStarts(killed))
		c.Judge(callers)
	})

	It("paused past its lease starts nothing when it comes back", func() {
		c := harness.StartCluster(harness.Small)
		w := c.NewCrowd()
		w.SendMany(50, 20*time.Millisecond, harness.Either)
		paused := time.Now()
		holder := c.Holder(0)
		holder.Pause()
		w.SendFor(pauseTime, 20*time.Millisecond, func(i int) harness.Job { return harness.Either(100 + i) })
		holder.Resume()
		w.SendMany(50, 20*time.Millisecond, func(i int) harness.Job { return harness.Either(1000 + i) })
		callers := w.Done()
		AddReportEntry("time without starts after a holder's pause", c.NoStarts(paused))
		c.Judge(callers)
		Expect(c.Holder(0)).NotTo(BeIdenticalTo(holder))
	})
})
