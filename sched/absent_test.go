package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/shardjournal"
)

var _ = Describe("A take-over", func() {
	DescribeTable("waits for endpoints that the previous holder may still reach",
		func(responding int, least, most time.Duration) {
			h := newTakeoverHarness(4, responding, shardjournal.NewImage())
			begin := h.clock.Now()
			for !h.shard.serving() && h.clock.Now().Sub(begin) <= most {
				h.step()
			}
			Expect(h.shard.serving()).To(BeTrue())
			Expect(h.clock.Now().Sub(begin)).To(BeNumerically(">=", least))
		},
		Entry("all endpoints respond", 4, time.Duration(0), time.Second),
		Entry("a majority responds", 3, 5500*time.Millisecond, 6*time.Second),
		Entry("half respond and the others are off the instance list", 2, absentGrace, absentGrace+time.Second),
	)

	It("never starts work without a majority while the instance list has the others", func() {
		h := newTakeoverHarness(4, 2, shardjournal.NewImage())
		all := h.shard.members
		for range 20 {
			h.shard.Handle([]Message{domainListed{all}})
			for range 1000 {
				h.step()
			}
		}
		Expect(h.shard.serving()).To(BeFalse())
	})
})
