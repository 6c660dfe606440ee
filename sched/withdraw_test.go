package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/shardjournal"
)

var _ = Describe("A drain", func() {
	It("withdraws starts that can't be sent, so that the successor need not answer unknown", func() {
		r := newServingHarness(1, shardjournal.NewImage())
		once := newSubmit(r.clock, 1)
		once.request.Spec.NotRepeatable = true
		for r.shard.sessions["a000"].inflight {
			r.step()
		}
		r.shard.sessions["a000"].inflight = true
		r.step(once)
		Expect(r.shard.sessions["a000"].starts).To(BeEmpty())
		r.step()
		Expect(r.shard.sessions["a000"].starts).To(HaveLen(1))
		r.shard.Handle([]Message{drain{make(chan struct{})}})
		r.entries = r.entries[:0]
		r.clock.Advance(r.shard.settings.DrainTimeout * 3 / 4)
		r.shard.Handle(nil)
		var withdrawn []string
		for _, m := range r.entries {
			if entry, ok := m.(shardjournal.Append); ok && entry.Entry.Withdrawn != nil {
				withdrawn = append(withdrawn, entry.Entry.Withdrawn.String())
			}
		}
		Expect(withdrawn).To(Equal([]string{"0-1-a.0-1"}))
		r.clock.Advance(time.Millisecond)
		Expect(r.shard.drained()).To(BeFalse(), "the withdrawal is not durable yet")
	})
})
