package planner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
)

var _ = Describe("Advice", func() {
	It("is requested before anything starts, and decides the endpoint", func() {
		f := newAdvisedFixture(3, shortAdvice)
		f.submit("a", urgent, single)
		plan := f.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.AdviceRequests).To(HaveLen(1))
		f.ApplyAdvice(plan.AdviceRequests[0], map[model.EndpointID]string{"e01": "ticket"}, f.now)
		start := f.plan().Starts
		Expect(start).To(HaveLen(1))
		Expect(start[0].Endpoint).To(Equal(model.EndpointID("e01")))
		Expect(start[0].Ticket).To(Equal("ticket"))
	})

	It("is requested again when the tickets have expired, without capacity being reserved", func() {
		f := newAdvisedFixture(1, shortAdvice)
		f.submit("full", batch, jobs.Step{Count: 1, Size: size(16000, 100), Estimate: time.Second})
		q := f.plan().AdviceRequests[0]
		f.ApplyAdvice(q, map[model.EndpointID]string{"e00": "t"}, f.now)
		first := f.plan()
		f.start(first)
		f.submit("a", batch, single)
		q = f.plan().AdviceRequests[0]
		f.ApplyAdvice(q, map[model.EndpointID]string{"e00": "t"}, f.now)
		Expect(f.plan().Starts).To(BeEmpty())
		f.tick(3 * time.Second)
		f.list("e00", ended(first.Starts[0].Run, fleet.Succeeded))
		again := f.plan()
		Expect(again.Starts).To(BeEmpty())
		Expect(again.AdviceRequests).To(HaveLen(1))
		Expect(f.Stats().Reserved).To(BeZero())
		f.ApplyAdvice(again.AdviceRequests[0], map[model.EndpointID]string{"e00": "u"}, f.now)
		Expect(f.plan().Starts[0].Ticket).To(Equal("u"))
	})

	It("limits the number of requests in flight", func() {
		f := newAdvisedFixture(4, shortAdvice)
		for i := range 50 {
			f.submit(jobs.ID(rune('a'+i)), urgent, single)
		}
		Expect(f.plan().AdviceRequests).To(HaveLen(6), "two for each of three instances")
	})

	It("is requested for work in time before what its team sent beyond its weight", func() {
		f := newAdvisedFixture(1, shortAdvice)
		f.setTeams(catalog.Team{Name: "red", Weight: 1}, catalog.Team{Name: "blue", Weight: 1})
		for i := range 4 {
			f.submit(jobs.ID(fmt.Sprintf("urgent%d", i)), urgent, single)
		}
		f.AddJob(&jobs.Job{ID: "other", Team: "blue", Queue: batch, Steps: []jobs.Step{single}, Accepted: f.now.UnixMilli()}, nil)
		requests := map[jobs.ID]planner.AdviceRequest{}
		for _, request := range f.plan().AdviceRequests {
			requests[request.Step.Job] = request
		}
		Expect(requests["other"].Before(requests["urgent3"])).To(BeTrue())
		Expect(requests["urgent0"].Before(requests["other"])).To(BeTrue())
	})
})

var _ = Describe("A gang whose tickets expire at different times", func() {
	// Tickets that are renewed one after the other expire in turn: the gang holds
	// its reservation until the timeout, after its victims have been stopped in vain.
	It("starts after one renewal although that takes longer than a ticket is valid", func() {
		slow := catalog.Advice{BaseTime: 450 * time.Millisecond, PerEndpoint: 6500 * time.Microsecond, TicketValidity: 1500 * time.Millisecond}
		f := newAdvisedFixture(1, slow)
		f.submit("a", gangs, jobs.Step{Count: 2, Size: size(16000, 100), Gang: true, Estimate: 5 * time.Second})
		first := f.plan().AdviceRequests[0]
		f.ApplyAdvice(first, map[model.EndpointID]string{"e00": "t0"}, f.now)
		f.SetEndpoint(endpointInfo(1))
		f.list("e01")
		f.tick(700 * time.Millisecond)
		second := f.plan().AdviceRequests[0]
		Expect(second.Endpoints).To(ConsistOf(model.EndpointID("e01")))
		f.tick(700 * time.Millisecond)
		f.ApplyAdvice(second, map[model.EndpointID]string{"e01": "t1"}, f.now)

		Expect(f.plan().Starts).To(BeEmpty(), "the ticket for e00 has expired")
		renewal := f.plan()
		Expect(renewal.AdviceRequests[0].Endpoints).To(ConsistOf(model.EndpointID("e00"), model.EndpointID("e01")))
		f.tick(1300 * time.Millisecond)
		f.ApplyAdvice(renewal.AdviceRequests[0], map[model.EndpointID]string{"e00": "u0", "e01": "u1"}, f.now)
		Expect(f.plan().Starts).To(HaveLen(2))
		Expect(queueStats(f, gangs).WithdrawnRuns).To(BeZero())
	})
})
