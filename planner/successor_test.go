package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

var _ = Describe("A successor", func() {
	It("waits for the runs that were recorded, wherever they may be", func() {
		old := newWorld(1, 2)
		job := old.submit("a", batch, single)
		order := old.plan().Starts[0]

		w := newWorld(2, 0)
		w.AddJob(job, old.progress("a"))
		w.SetEndpoint(endpointInfo(0))
		w.SetEndpoint(endpointInfo(1))
		other := model.EndpointID("e00")
		if order.Endpoint == other {
			other = "e01"
		}
		w.list(other)
		Expect(w.plan().Starts).To(BeEmpty())
		w.list(order.Endpoint, running(order.Run, 30))
		Expect(w.plan().Starts).To(BeEmpty())
		w.list(order.Endpoint, ended(order.Run, fleet.Succeeded))
		Expect(w.plan().Outcomes[0].State).To(Equal(jobs.Completed))
	})

	It("takes the ends of an endpoint whose entry it has not read yet", func() {
		old := newWorld(1, 1)
		job := old.submit("a", batch, single)
		order := old.plan().Starts[0]

		w := newWorld(2, 0)
		w.SetEndpoint(fleet.Endpoint{ID: "e00", Leaving: true})
		w.AddJob(job, old.progress("a"))
		w.list("e00", ended(order.Run, fleet.Succeeded))
		Expect(w.plan().Outcomes[0].State).To(Equal(jobs.Completed))
	})

	It("starts again what the endpoint does not list, under a higher number", func() {
		old := newWorld(1, 1)
		job := old.submit("a", batch, single)
		order := old.plan().Starts[0]

		w := newWorld(2, 0)
		w.AddJob(job, old.progress("a"))
		w.SetEndpoint(endpointInfo(0))
		w.list("e00")
		again := w.plan().Starts
		Expect(again).To(HaveLen(1))
		Expect(again[0].Run.Number).To(BeNumerically(">", order.Run.Number))
	})

	It("does not run again what was recorded as done, nor forget failures", func() {
		old := newWorld(1, 2)
		job := old.submit("a", batch, jobs.Step{Count: 2, Size: size(1000, 100), Estimate: time.Second})
		plan := old.plan()
		old.start(plan)
		old.list(plan.Starts[0].Endpoint, ended(plan.Starts[0].Run, fleet.Succeeded), ended(plan.Starts[1].Run, fleet.RunFailed))
		recorded := old.progress("a")
		Expect(recorded.Steps[0].Done).To(HaveLen(1))
		Expect(recorded.Steps[0].Failures).To(HaveLen(1))

		w := newWorld(2, 2)
		w.AddJob(job, recorded)
		again := w.plan()
		Expect(again.Starts).To(HaveLen(1))
		Expect(again.Starts[0].Run.Task).To(Equal(plan.Starts[1].Run.Task))
	})

	It("keeps a state that was decided", func() {
		w := newWorld(2, 1)
		job := &jobs.Job{ID: "a", Team: "red", Queue: batch, Steps: []jobs.Step{single}}
		w.AddJob(job, &jobs.Progress{Outcome: jobs.Cancelled})
		plan := w.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.Removed).To(HaveLen(1))
	})
})
