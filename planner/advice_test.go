package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

var _ = Describe("Advice", func() {
	advised := func(n int) *fixture {
		f := newFixture(1, n)
		c := *f.catalog
		c.Version = 2
		c.Queues = map[jobs.QueueName]*catalog.Queue{}
		for name, q := range f.catalog.Queues {
			copied := *q
			copied.Advice = &catalog.Advice{BaseTime: 10 * time.Millisecond, PerEndpoint: time.Millisecond, TicketValidity: 2 * time.Second}
			c.Queues[name] = &copied
		}
		f.SetCatalog(&c)
		return f
	}

	It("is requested before anything starts, and decides the endpoint", func() {
		f := advised(3)
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
		f := advised(1)
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
		f := advised(4)
		for i := range 50 {
			f.submit(jobs.ID(rune('a'+i)), urgent, single)
		}
		Expect(f.plan().AdviceRequests).To(HaveLen(6), "two for each of three instances")
	})
})
