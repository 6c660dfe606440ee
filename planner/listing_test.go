package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
)

var _ = Describe("A listing with further pages", func() {
	It("does not end a run whose end is on a later page", func() {
		f := newFixture(1, 1)
		f.submit("j", batch, jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second})
		plan := f.plan()
		Expect(plan.Starts).To(HaveLen(1))
		f.start(plan)

		f.tick(time.Millisecond)
		Expect(f.ApplyListing(endpointID(0), fleet.Listing{Born: 1, More: true}, f.now)).To(BeEmpty())
		Expect(f.plan().Starts).To(BeEmpty(), "the task is not started again")

		f.list(endpointID(0), ended(plan.Starts[0].Run, fleet.Succeeded))
		Expect(f.plan().Outcomes).To(ConsistOf(HaveField("State", jobs.Completed)))
	})
})
