package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
)

var _ = Describe("A stop that would end after a waiting task is due", func() {
	It("is not sent for this task", func() {
		for stop, stops := range map[time.Duration]int{100 * time.Millisecond: 1, 2 * time.Second: 0} {
			f := newFixture(1, 1)
			f.SetStopTime(stop)
			f.submit("a", batch, jobs.Step{Count: 4, Size: size(4000, 100), Checkpoints: true, Estimate: time.Minute})
			f.start(f.plan())
			f.tick(300 * time.Millisecond)
			f.submit("b", urgent, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
			f.plan()
			f.tick(200 * time.Millisecond)
			Expect(f.plan().Stops).To(HaveLen(stops), stop.String())
		}
	})
})

var _ = Describe("A run that is expected to end before a stop would", func() {
	// yielding returns a cell whose only endpoint runs a task that has reached 90 %
	// after about a second, and a more urgent task that waits for its capacity.
	yielding := func() (*fixture, planner.Start) {
		f := newFixture(1, 1)
		f.SetStopTime(500 * time.Millisecond)
		f.submit("a", batch, jobs.Step{Count: 1, Size: size(16000, 100), Checkpoints: true, Estimate: 2 * time.Second})
		first := f.plan()
		f.start(first)
		f.list("e00", running(first.Starts[0].Run, 0))
		f.submit("b", gangs, jobs.Step{Count: 1, Size: size(16000, 100), Estimate: 2 * time.Second})
		f.plan()
		f.tick(time.Second)
		f.list("e00", running(first.Starts[0].Run, 90))
		plan := f.plan()
		Expect(plan.Stops).To(BeEmpty())
		Expect(f.Stats().Reserved).To(Equal(1))
		return f, first.Starts[0]
	}

	It("is left to end, and its capacity goes to the more urgent task", func() {
		f, first := yielding()
		f.tick(100 * time.Millisecond)
		f.list("e00", ended(first.Run, fleet.Succeeded))
		plan := f.plan()
		Expect(plan.Stops).To(BeEmpty())
		Expect(plan.Outcomes[0].Job).To(Equal(jobs.ID("a")))
		Expect(plan.Starts[0].Run.Task.Job).To(Equal(jobs.ID("b")))
	})

	It("is stopped if it has not ended by then", func() {
		f, first := yielding()
		f.tick(500 * time.Millisecond)
		Expect(f.plan().Stops[0].Run).To(Equal(first.Run))
	})

	It("goes on if the more urgent task no longer needs its capacity", func() {
		f, _ := yielding()
		f.CancelJob("b")
		f.plan()
		f.tick(time.Second)
		Expect(f.plan().Stops).To(BeEmpty())
	})
})
