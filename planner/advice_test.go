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
	advised := func(n int) *world {
		w := newWorld(1, n)
		c := *w.catalog
		c.Version = 2
		c.Queues = map[jobs.QueueName]*catalog.Queue{}
		for name, q := range w.catalog.Queues {
			copied := *q
			copied.Advice = &catalog.Advice{Decide: 10 * time.Millisecond, PerEndpoint: time.Millisecond, Valid: 2 * time.Second}
			c.Queues[name] = &copied
		}
		w.SetCatalog(&c)
		return w
	}

	It("is asked for before anything starts, and followed", func() {
		w := advised(3)
		w.submit("a", urgent, single)
		plan := w.plan()
		Expect(plan.Starts).To(BeEmpty())
		Expect(plan.Questions).To(HaveLen(1))
		w.Advised(plan.Questions[0], map[model.EndpointID]string{"e01": "ticket"}, w.now)
		start := w.plan().Starts
		Expect(start).To(HaveLen(1))
		Expect(start[0].Endpoint).To(Equal(model.EndpointID("e01")))
		Expect(start[0].Ticket).To(Equal("ticket"))
	})

	It("is asked for again when the tickets have run out, without room being reserved", func() {
		w := advised(1)
		w.submit("full", batch, jobs.Step{Count: 1, Size: size(16000, 100), Estimate: time.Second})
		q := w.plan().Questions[0]
		w.Advised(q, map[model.EndpointID]string{"e00": "t"}, w.now)
		first := w.plan()
		w.start(first)
		w.submit("a", batch, single)
		q = w.plan().Questions[0]
		w.Advised(q, map[model.EndpointID]string{"e00": "t"}, w.now)
		Expect(w.plan().Starts).To(BeEmpty())
		w.tick(3 * time.Second)
		w.list("e00", ended(first.Starts[0].Run, fleet.Succeeded))
		again := w.plan()
		Expect(again.Starts).To(BeEmpty())
		Expect(again.Questions).To(HaveLen(1))
		Expect(w.Stats().Reserved).To(BeZero())
		w.Advised(again.Questions[0], map[model.EndpointID]string{"e00": "u"}, w.now)
		Expect(w.plan().Starts[0].Ticket).To(Equal("u"))
	})

	It("keeps the number of questions under way bounded", func() {
		w := advised(4)
		for i := range 50 {
			w.submit(jobs.ID(rune('a'+i)), urgent, single)
		}
		Expect(w.plan().Questions).To(HaveLen(6), "two for each of three instances")
	})
})
