package naive_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/result"
)

// newCell returns the scheduler under test. Its type gives access to Stats.
func newCell(settings policy.Settings) *cell.Cell { return cell.New(settings) }

var _ = Describe("The policy", func() {
	It("starts urgent work before a backlog of a later tier", func() {
		f := newFixture(newCell(policy.Settings{}), 1)
		for range 50 {
			f.submit("a", "batch", model.Spec{Size: fullSize})
		}
		first := f.decide(0)
		urgent := f.submit("b", "urgent", model.Spec{Size: fullSize})
		f.finish(first[0], model.Succeeded)
		starts := f.decide(0)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Request.ID).To(Equal(urgent))
	})

	It("does not let urgent work of one team delay that of a team below its share", func() {
		f := newFixture(newCell(policy.Settings{}), 4)
		for range 200 {
			f.submit("a", "urgent", model.Spec{})
		}
		urgent := f.decide(0)
		Expect(urgent).To(HaveLen(32))
		f.decide(time.Second)
		other := f.submit("b", "urgent", model.Spec{})
		f.finish(urgent[0], model.Succeeded)
		starts := f.decide(time.Second)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Request.ID).To(Equal(other))
	})

	DescribeTable("preempts for earlier tiers only work whose class allows it",
		func(class model.ClassName, treatment model.Treatment) {
			f := newFixture(newCell(policy.Settings{}), 1)
			f.submit("a", class, model.Spec{Size: fullSize})
			f.confirm(f.decide(0)...)
			f.submit("b", "urgent", model.Spec{Size: fullSize})
			f.decide(0)
			f.decide(2 * time.Second)
			if treatment == "" {
				Expect(f.halts).To(BeEmpty())
				return
			}
			Expect(f.halts).To(ConsistOf(HaveField("Treatment", treatment)))
			f.finish(f.starts[0], model.Stopped)
			Expect(f.decide(0)).To(ConsistOf(HaveField("Request.Team", model.TeamName("b"))))
		},
		Entry("rerun", model.ClassName("batch"), model.Rerun),
		Entry("checkpoint", model.ClassName("nightly"), model.Checkpoint),
		Entry("wait", model.ClassName("once"), model.Treatment("")),
	)

	It("spreads the tasks of a service across racks", func() {
		f := newFixture(newCell(policy.Settings{}), 8)
		f.submit("a", "batch", model.Spec{Kind: model.Service, Tasks: 4})
		used := map[model.EndpointID]bool{}
		for _, start := range f.decide(0) {
			used[start.Endpoint] = true
		}
		Expect(used).To(HaveLen(4))
		for i := range 4 {
			Expect(used).To(Or(HaveKey(fixtureEndpoint(2*i).ID), HaveKey(fixtureEndpoint(2*i+1).ID)))
		}
	})

	It("backfills short work into capacity reserved for a gang and starts the gang on time", func() {
		f := newFixture(newCell(policy.Settings{}), 2)
		f.submit("a", "once", model.Spec{Size: fullSize, Estimate: 5 * time.Minute})
		long := f.decide(0)
		f.confirm(long...)
		gang := f.submit("b", "once", model.Spec{Kind: model.Gang, Tasks: 2, Size: fullSize})
		f.decide(0)
		f.decide(20 * time.Second)
		f.submit("a", "once", model.Spec{Size: fullSize, Estimate: time.Hour})
		short := f.submit("c", "once", model.Spec{Size: fullSize, Estimate: time.Minute})
		backfilled := f.decide(0)
		Expect(backfilled).To(ConsistOf(HaveField("Request.ID", short)))
		f.finish(backfilled[0], model.Succeeded)
		Expect(f.decide(time.Minute)).To(BeEmpty())
		f.finish(long[0], model.Succeeded)
		Expect(f.decide(0)).To(HaveEach(HaveField("Request.ID", gang)))
	})

	It("commits sizes learned from usage, at most the capacity of an endpoint", func() {
		f := newFixture(newCell(policy.Settings{}), 2)
		for range 16 {
			f.submit("a", "batch", model.Spec{})
			start := f.decide(0)[0]
			f.scheduler.Finish(f.now, policy.Finish{
				Attempt: start.Attempt, Outcome: model.Succeeded, Peak: model.Resources{60000, 8192, 0, 1, 1},
			})
		}
		f.submit("a", "batch", model.Spec{})
		size := f.decide(0)[0].Size
		Expect(size[model.CPU]).To(Equal(endpointCapacity[model.CPU]))
		Expect(size[model.Memory]).To(BeNumerically(">=", 8192))
		Expect(size[model.Slots]).To(Equal(int64(1)))
	})

	DescribeTable("halts an attempt that exceeds its size on an overloaded endpoint, as its class specifies",
		func(class model.ClassName, treatment model.Treatment) {
			f := newFixture(newCell(policy.Settings{}), 1)
			f.submit("a", class, model.Spec{Size: model.Resources{8000, 4096, 0, 1, 1}, Tasks: 2})
			starts := f.decide(0)
			usage := model.Resources{12000, 4096, 0, 1, 1}
			for range 2 {
				f.scheduler.ReportUsage(f.now, "e000", []model.Running{
					{Attempt: starts[0].Attempt, Size: starts[0].Size, Usage: usage},
					{Attempt: starts[1].Attempt, Size: starts[1].Size, Usage: starts[1].Size},
				})
			}
			f.decide(0)
			Expect(f.halts).To(ConsistOf(And(
				HaveField("Attempt", starts[0].Attempt), HaveField("Treatment", treatment))))
		},
		Entry("checkpoint", model.ClassName("nightly"), model.Checkpoint),
		Entry("rerun", model.ClassName("batch"), model.Rerun),
		Entry("throttles work that may not be repeated", model.ClassName("once"), model.Throttle),
	)

	It("quarantines an endpoint on which all work fails and reopens it after a probe", func() {
		f := newFixture(newCell(policy.Settings{}), 3)
		failOn := func(id model.EndpointID, rounds int) (used bool) {
			for i := range rounds {
				f.submit([]model.TeamName{"a", "b", "c"}[i%3], "batch", model.Spec{})
				for _, start := range f.decide(time.Second) {
					outcome := model.Succeeded
					if start.Endpoint == id {
						outcome, used = model.Failed, true
					}
					f.finish(start, outcome)
				}
			}
			return used
		}
		Expect(failOn("e000", 8)).To(BeTrue())
		Expect(failOn("e000", 3)).To(BeFalse(), "the endpoint must be quarantined")
		Expect(failOn("", 40)).To(BeFalse())
		Expect(failOn("e000", 1)).To(BeTrue(), "the endpoint must be open after a probe")
	})

	It("quarantines few endpoints when only the work of one team fails", func() {
		f := newFixture(newCell(policy.Settings{Attempts: 2}), 10)
		for range 60 {
			f.submit("a", "batch", model.Spec{})
			for _, start := range f.decide(time.Second) {
				f.finish(start, model.Failed)
			}
		}
		f.decide(time.Hour)
		Expect(f.scheduler.(*cell.Cell).Stats().Quarantined).To(BeNumerically("<=", 2))
	})

	It("limits the queue of each class and team", func() {
		f := newFixture(newCell(policy.Settings{QueueLimit: 3}), 1)
		f.submit("a", "batch", model.Spec{Size: fullSize})
		f.decide(0)
		f.submit("a", "batch", model.Spec{Tasks: 3})
		Expect(f.submitRejected("a", "batch", model.Spec{})).To(Equal(result.QueueFull))
		f.submit("b", "batch", model.Spec{})
	})

	It("rejects work that would wait longer than its class allows, but accepts a burst", func() {
		f := newFixture(newCell(policy.Settings{}), 1)
		for range 12 {
			f.now = f.now.Add(time.Minute)
			f.submit("a", "brief", model.Spec{Size: fullSize})
			f.finish(f.decide(0)[0], model.Succeeded)
		}
		f.now = f.now.Add(time.Hour)
		f.submit("a", "brief", model.Spec{Size: fullSize})
		f.submit("a", "brief", model.Spec{Size: fullSize})
		running := f.decide(0)
		refused := map[result.Code]int{}
		for range 24 {
			for range 2 {
				if err := f.scheduler.Submit(f.now, f.request("a", "brief", model.Spec{Size: fullSize})); err != nil {
					refused[result.Of(err).Code]++
				}
			}
			f.now = f.now.Add(50 * time.Second)
			f.finish(running[0], model.Succeeded)
			running = f.decide(0)
		}
		Expect(refused).To(HaveLen(1))
		Expect(refused).To(HaveKeyWithValue(result.ShortOfCapacity, BeNumerically(">", 5)))
	})

	It("starts a gang despite a continuous load of urgent work", func() {
		f := newFixture(newCell(policy.Settings{}), 2)
		waiting := f.submit("c", "batch", model.Spec{Kind: model.Gang, Tasks: 2, Size: fullSize})
		for range 20 {
			f.submit("a", "urgent", model.Spec{})
		}
		started := false
		for range 1000 {
			for _, start := range f.decide(10 * time.Second) {
				started = started || start.Request.ID == waiting
				f.finish(start, model.Succeeded)
				f.submit("a", "urgent", model.Spec{})
			}
			if started {
				return
			}
		}
		Fail(fmt.Sprintf("request %s never started", waiting))
	})
})
