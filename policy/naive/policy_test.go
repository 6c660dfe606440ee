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

// createCell makes the fast scheduler of a world.
func createCell(settings policy.Settings) *cell.Cell { return cell.New(settings) }

var _ = Describe("The policy", func() {
	It("starts urgent work before a backlog", func() {
		w := newWorld(createCell(policy.Settings{}), 1)
		for range 50 {
			w.submit("a", "batch", model.Spec{Size: wholeSize})
		}
		first := w.decide(0)
		urgent := w.submit("b", "urgent", model.Spec{Size: wholeSize})
		w.finish(first[0], model.Succeeded)
		starts := w.decide(0)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Request.ID).To(Equal(urgent))
	})

	It("does not let one team's flood of urgent work pass over another's", func() {
		w := newWorld(createCell(policy.Settings{}), 4)
		for range 200 {
			w.submit("a", "urgent", model.Spec{})
		}
		flood := w.decide(0)
		Expect(flood).To(HaveLen(32))
		w.decide(time.Second)
		other := w.submit("b", "urgent", model.Spec{})
		w.finish(flood[0], model.Succeeded)
		starts := w.decide(time.Second)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Request.ID).To(Equal(other))
	})

	DescribeTable("preempts only classes that may, in favour of earlier tiers",
		func(class model.ClassName, treatment model.Treatment) {
			w := newWorld(createCell(policy.Settings{}), 1)
			w.submit("a", class, model.Spec{Size: wholeSize})
			w.confirm(w.decide(0)...)
			w.submit("b", "urgent", model.Spec{Size: wholeSize})
			w.decide(0)
			w.decide(2 * time.Second)
			if treatment == "" {
				Expect(w.halts).To(BeEmpty())
				return
			}
			Expect(w.halts).To(ConsistOf(HaveField("Treatment", treatment)))
			w.finish(w.starts[0], model.Stopped)
			Expect(w.decide(0)).To(ConsistOf(HaveField("Request.Team", model.TeamName("b"))))
		},
		Entry("rerun", model.ClassName("batch"), model.Rerun),
		Entry("checkpoint", model.ClassName("nightly"), model.Checkpoint),
		Entry("wait", model.ClassName("once"), model.Treatment("")),
	)

	It("spreads a service over racks", func() {
		w := newWorld(createCell(policy.Settings{}), 8)
		w.submit("a", "batch", model.Spec{Kind: model.Service, Tasks: 4})
		racks := map[model.EndpointID]bool{}
		for _, start := range w.decide(0) {
			racks[start.Endpoint] = true
		}
		Expect(racks).To(HaveLen(4))
		for i := range 4 {
			Expect(racks).To(Or(HaveKey(worldEndpoint(2*i).ID), HaveKey(worldEndpoint(2*i+1).ID)))
		}
	})

	It("lets short work use what is reserved for a gang, and starts the gang on time", func() {
		w := newWorld(createCell(policy.Settings{}), 2)
		w.submit("a", "once", model.Spec{Size: wholeSize, Estimate: 5 * time.Minute})
		long := w.decide(0)
		w.confirm(long...)
		gang := w.submit("b", "once", model.Spec{Kind: model.Gang, Tasks: 2, Size: wholeSize})
		w.decide(0)
		w.decide(20 * time.Second)
		w.submit("a", "once", model.Spec{Size: wholeSize, Estimate: time.Hour})
		short := w.submit("c", "once", model.Spec{Size: wholeSize, Estimate: time.Minute})
		backfilled := w.decide(0)
		Expect(backfilled).To(ConsistOf(HaveField("Request.ID", short)))
		w.finish(backfilled[0], model.Succeeded)
		Expect(w.decide(time.Minute)).To(BeEmpty())
		w.finish(long[0], model.Succeeded)
		Expect(w.decide(0)).To(HaveEach(HaveField("Request.ID", gang)))
	})

	It("learns sizes and commits them, never above an endpoint", func() {
		w := newWorld(createCell(policy.Settings{}), 2)
		for range 16 {
			w.submit("a", "batch", model.Spec{})
			start := w.decide(0)[0]
			w.scheduler.Finish(w.now, policy.Finish{
				Attempt: start.Attempt, Outcome: model.Succeeded, Peak: model.Resources{60000, 8192, 0, 1, 1},
			})
		}
		w.submit("a", "batch", model.Spec{})
		size := w.decide(0)[0].Size
		Expect(size[model.CPU]).To(Equal(worldCapacity[model.CPU]))
		Expect(size[model.Memory]).To(BeNumerically(">=", 8192))
		Expect(size[model.Slots]).To(Equal(int64(1)))
	})

	DescribeTable("treats what outgrows its size on an overfull endpoint, by class",
		func(class model.ClassName, treatment model.Treatment) {
			w := newWorld(createCell(policy.Settings{}), 1)
			w.submit("a", class, model.Spec{Size: model.Resources{8000, 4096, 0, 1, 1}, Tasks: 2})
			starts := w.decide(0)
			usage := model.Resources{12000, 4096, 0, 1, 1}
			for range 2 {
				w.scheduler.Report(w.now, "e000", []model.Running{
					{Attempt: starts[0].Attempt, Size: starts[0].Size, Usage: usage},
					{Attempt: starts[1].Attempt, Size: starts[1].Size, Usage: starts[1].Size},
				})
			}
			w.decide(0)
			Expect(w.halts).To(ConsistOf(And(
				HaveField("Attempt", starts[0].Attempt), HaveField("Treatment", treatment))))
		},
		Entry("checkpoint", model.ClassName("nightly"), model.Checkpoint),
		Entry("rerun", model.ClassName("batch"), model.Rerun),
		Entry("never stops what may not be repeated", model.ClassName("once"), model.Throttle),
	)

	It("quarantines an endpoint that fails everything and takes it back", func() {
		w := newWorld(createCell(policy.Settings{}), 3)
		failOn := func(id model.EndpointID, rounds int) (used bool) {
			for i := range rounds {
				w.submit([]model.TeamName{"a", "b", "c"}[i%3], "batch", model.Spec{})
				for _, start := range w.decide(time.Second) {
					outcome := model.Succeeded
					if start.Endpoint == id {
						outcome, used = model.Failed, true
					}
					w.finish(start, outcome)
				}
			}
			return used
		}
		Expect(failOn("e000", 8)).To(BeTrue())
		Expect(failOn("e000", 3)).To(BeFalse(), "quarantined")
		Expect(failOn("", 40)).To(BeFalse())
		Expect(failOn("e000", 1)).To(BeTrue(), "taken back after a probe")
	})

	It("keeps the fleet in service when one team's work always fails", func() {
		w := newWorld(createCell(policy.Settings{Attempts: 2}), 10)
		for range 60 {
			w.submit("a", "batch", model.Spec{})
			for _, start := range w.decide(time.Second) {
				w.finish(start, model.Failed)
			}
		}
		w.decide(time.Hour)
		Expect(w.scheduler.(*cell.Cell).Stats().Quarantined).To(BeNumerically("<=", 2))
	})

	It("bounds queues and refuses early what would wait too long", func() {
		w := newWorld(createCell(policy.Settings{QueueLimit: 3}), 1)
		w.submit("a", "batch", model.Spec{Size: wholeSize})
		w.decide(0)
		w.submit("a", "batch", model.Spec{Tasks: 3})
		Expect(w.refused("a", "batch", model.Spec{})).To(Equal(result.QueueFull))
		w.submit("b", "batch", model.Spec{})
	})

	It("refuses early what its class would have wait too long, and takes a burst", func() {
		w := newWorld(createCell(policy.Settings{}), 1)
		for range 12 {
			w.now = w.now.Add(time.Minute)
			w.submit("a", "brief", model.Spec{Size: wholeSize})
			w.finish(w.decide(0)[0], model.Succeeded)
		}
		w.now = w.now.Add(time.Hour)
		w.submit("a", "brief", model.Spec{Size: wholeSize})
		w.submit("a", "brief", model.Spec{Size: wholeSize})
		running := w.decide(0)
		refused := map[result.Code]int{}
		for range 24 {
			for range 2 {
				if err := w.scheduler.Submit(w.now, w.request("a", "brief", model.Spec{Size: wholeSize})); err != nil {
					refused[result.Of(err).Code]++
				}
			}
			w.now = w.now.Add(50 * time.Second)
			w.finish(running[0], model.Succeeded)
			running = w.decide(0)
		}
		Expect(refused).To(HaveLen(1))
		Expect(refused).To(HaveKeyWithValue(result.ShortOfCapacity, BeNumerically(">", 5)))
	})

	It("starts every feasible request under a flood of others", func() {
		w := newWorld(createCell(policy.Settings{}), 2)
		waiting := w.submit("c", "batch", model.Spec{Kind: model.Gang, Tasks: 2, Size: wholeSize})
		for range 20 {
			w.submit("a", "urgent", model.Spec{})
		}
		started := false
		for range 1000 {
			for _, start := range w.decide(10 * time.Second) {
				started = started || start.Request.ID == waiting
				w.finish(start, model.Succeeded)
				w.submit("a", "urgent", model.Spec{})
			}
			if started {
				return
			}
		}
		Fail(fmt.Sprintf("request %s never started", waiting))
	})
})
