package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/shardjournal"
)

var _ = Describe("A drain", func() {
	It("withdraws starts that can't be sent, so that the successor need not answer unknown", func() {
		h := newServingHarness(1, shardjournal.NewImage())
		once := newSubmit(h.clock, 1)
		once.request.Spec.NotRepeatable = true
		for h.shard.sessions["a000"].inflight {
			h.step()
		}
		h.shard.sessions["a000"].inflight = true
		h.step(once)
		Expect(h.shard.sessions["a000"].starts).To(BeEmpty())
		h.step()
		Expect(h.shard.sessions["a000"].starts).To(HaveLen(1))
		h.shard.Handle([]Message{drain{make(chan struct{})}})
		h.entries = h.entries[:0]
		h.clock.Advance(h.shard.settings.DrainTimeout * 3 / 4)
		h.shard.Handle(nil)
		var withdrawn []string
		for _, m := range h.entries {
			if entry, ok := m.(shardjournal.Append); ok && entry.Entry.Withdrawn != nil {
				withdrawn = append(withdrawn, entry.Entry.Withdrawn.String())
			}
		}
		Expect(withdrawn).To(Equal([]string{"0-1-a.0-1"}))
		h.clock.Advance(time.Millisecond)
		Expect(h.shard.drained()).To(BeFalse(), "the withdrawal is not durable yet")
	})
})
