package endpoints_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

// pauseTime is longer than every lease of the system.
const pauseTime = 6 * time.Second

var _ = Describe("Endpoints", func() {
	It("isolated for longer than the leases of their tasks run nothing twice", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		load.SendMany(30, 10*time.Millisecond, func(i int) harness.Job {
			j := harness.Alternating(i)
			j.Run = 5 * time.Second
			return j
		})
		Eventually(c.Started).WithTimeout(harness.WaitTimeout).Should(BeNumerically(">=", 30))
		c.Domains[0].Endpoints.Set(faultproxy.Partition())
		time.Sleep(pauseTime)
		c.Domains[0].Endpoints.Set(faultproxy.Faults{})
		callers := load.Done()
		c.Audit(callers)
		Expect(load.Count(result.OK)).To(BeNumerically(">=", 15))
	})

	It("that fail every task do not attract all work", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		c.SetFault("endpoints", standin.EndpointEvent{Event: standin.Fail, Endpoints: []model.EndpointID{c.Endpoint(0, 0)}})
		load.SendMany(100, 20*time.Millisecond, harness.Repeatable)
		callers := load.Done()
		c.Audit(callers)
		Expect(load.Count(result.OK)).To(BeNumerically(">=", 95))
	})

	It("that crash or freeze lose no repeatable work", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		load.SendMany(60, 10*time.Millisecond, func(i int) harness.Job {
			j := harness.Repeatable(i)
			j.Run = 2 * time.Second
			return j
		})
		c.SetFault("endpoints", standin.EndpointEvent{Event: standin.Crash, Endpoints: []model.EndpointID{c.Endpoint(0, 0)}})
		c.SetFault("endpoints", standin.EndpointEvent{Event: standin.Freeze, Endpoints: []model.EndpointID{c.Endpoint(0, 1)}})
		callers := load.Done()
		c.Audit(callers)
		Expect(load.Count(result.OK)).To(Equal(60))
	})

	It("that leave get nothing new", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		load.SendMany(30, 20*time.Millisecond, harness.Repeatable)
		leaving := c.Endpoint(0, 2)
		c.SetFault("endpoints", standin.EndpointEvent{Event: standin.Leave, Endpoints: []model.EndpointID{leaving}})
		left := time.Now()
		load.SendMany(150, 20*time.Millisecond, func(i int) harness.Job { return harness.Repeatable(100 + i) })
		callers := load.Done()
		c.Audit(callers)
		for _, r := range c.Starts() {
			Expect(r.Endpoint == leaving && r.Time.After(left)).To(BeFalse(), "%v", r)
		}
		Expect(load.Count(result.OK)).To(Equal(180))
	})
})

var _ = Describe("A wave of cancellations", func() {
	It("ends each request with a single correct answer", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		load.SendMany(120, 5*time.Millisecond, func(i int) harness.Job {
			return harness.Job{
				Team: harness.DefaultTeam, Key: fmt.Sprintf("wave-%d", i), Class: harness.Alternating(i).Class,
				Run: 1500 * time.Millisecond, CancelAfter: time.Duration(i%4) * 400 * time.Millisecond,
			}
		})
		callers := load.Done()
		c.Audit(callers)
		Expect(load.Count(result.OK)).To(BeNumerically(">=", 30))
		Expect(load.Count(result.Cancelled) + load.Count(result.CancelledRunning)).To(BeNumerically(">", 0))
	})
})

var _ = Describe("A team's limit", func() {
	It("holds across the fleet while the team requests more", func() {
		c := harness.StartCluster(harness.Pair)
		load := c.NewCallers()
		load.SendMany(80, 5*time.Millisecond, func(i int) harness.Job {
			j := harness.Repeatable(i)
			j.Team, j.Run = harness.OtherTeam, 500*time.Millisecond
			return j
		})
		callers := load.Done()
		c.Audit(callers)
		Expect(load.Count(result.OK)).To(Equal(80))
	})
})
