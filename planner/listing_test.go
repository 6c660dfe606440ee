package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
)

var _ = Describe("A listing with further ends", func() {
	It("does not show that a run is gone whose end is on a later page", func() {
		w := newWorld(1, 1)
		w.submit("j", batch, jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second})
		plan := w.plan()
		Expect(plan.Starts).To(HaveLen(1))
		w.start(plan)

		w.tick(time.Millisecond)
		Expect(w.Listed(endpointID(0), fleet.Listing{Born: 1, More: true}, w.now)).To(BeEmpty())
		Expect(w.plan().Starts).To(BeEmpty(), "the task is not started again")

		w.list(endpointID(0), ended(plan.Starts[0].Run, fleet.Succeeded))
		Expect(w.plan().Outcomes).To(ConsistOf(HaveField("State", jobs.Completed)))
	})
})
