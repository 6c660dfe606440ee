package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
)

var _ = Describe("A successor of a holder whose endpoints crashed", func() {
	// successor returns a cell of the next epoch with the recorded progress.
	successor := func(c *crashingCell, job *jobs.Job) *fixture {
		f := newFixture(2, 0)
		f.AddJob(job, c.progress(job.ID))
		for i := range c.endpoints {
			if _, known := c.Endpoint(endpointID(i)); known {
				f.SetEndpoint(endpointInfo(i))
			}
		}
		return f
	}

	It("goes on counting, with the crash that neither holder had observed", func() {
		c := newCrashingCell(2, "a")
		job := c.submit("a", batch, single)
		c.rounds(2)
		start := c.plan().Starts[0]

		f := successor(c, job)
		f.EndpointLapsed(start.Endpoint)
		plan := f.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.Outcomes[0].State).To(Equal(jobs.Failed))
	})

	// An endpoint that did not respond at a take-over seemed to have stopped just after the
	// start of each inherited run.
	It("does not fail a job after two crashes if a former holder has started the second run", func() {
		c := newCrashingCell(2)
		job := c.submit("a", batch, single)
		c.start(c.plan())
		c.crash("e00")
		start := c.plan().Starts[0]
		c.StartConfirmed(start.Run)

		f := successor(c, job)
		f.EndpointUnresponsive(start.Endpoint)
		f.tick(time.Second)
		f.EndpointLapsed(start.Endpoint)
		Expect(f.plan().Outcomes).To(BeEmpty())
		Expect(f.progress("a").Steps[0].Crashes[0]).To(HaveLen(2))
		Expect(f.progress("a").Steps[0].Crashes[0][1].Sole).To(BeFalse())
	})

	It("counts an inherited run if its endpoint has restarted since", func() {
		c := newCrashingCell(1)
		job := c.submit("a", batch, single)
		c.start(c.plan())

		f := successor(c, job)
		f.list("e00", int64(2))
		Expect(f.progress("a").Steps[0].Crashes[0]).To(HaveLen(1))
	})

	It("does not count an inherited run that the same incarnation does not list", func() {
		c := newCrashingCell(1)
		job := c.submit("a", batch, single)
		c.plan()

		f := successor(c, job)
		f.list("e00")
		Expect(f.plan().Starts).To(HaveLen(1))
		Expect(f.progress("a").Steps[0].Crashes).To(BeEmpty())
	})
})
