package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
)

// The planner kept the steps of such a job for good, and counted their tasks as pending.
var _ = Describe("A cancelled job whose last run ends as done", func() {
	task := jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second}

	It("opens no further step", func() {
		f := newFixture(1, 1)
		next := task
		next.After = []int{0}
		f.AddJob(&jobs.Job{ID: "j", Team: "red", Queue: batch, Steps: []jobs.Step{task, next}, Accepted: f.now.UnixMilli()}, nil)
		plan := f.plan()
		f.start(plan)
		f.CancelJob("j")
		f.list(endpointID(0), ended(plan.Starts[0].Run, fleet.Succeeded))
		Expect(f.plan().Starts).To(BeEmpty())
		Expect(f.HasJob("j")).To(BeFalse())
		Expect(f.Stats().Pending).To(BeZero())
	})

	It("opens no further occurrence", func() {
		f := newFixture(1, 1)
		f.AddJob(&jobs.Job{
			ID: "j", Team: "red", Queue: batch, Steps: []jobs.Step{task}, Accepted: f.now.UnixMilli(),
			Occurrences: 3, First: f.now.UnixMilli(), Interval: time.Second,
		}, nil)
		plan := f.plan()
		f.start(plan)
		f.CancelJob("j")
		f.tick(1500 * time.Millisecond)
		f.list(endpointID(0), ended(plan.Starts[0].Run, fleet.Succeeded))
		Expect(f.plan().Starts).To(BeEmpty())
		Expect(f.HasJob("j")).To(BeFalse())
		Expect(f.Stats().Pending).To(BeZero())
	})
})
