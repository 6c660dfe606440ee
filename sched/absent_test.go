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
			r := newTakeoverHarness(4, responding, shardjournal.NewImage())
			begin := r.clock.Now()
			for !r.shard.serving() && r.clock.Now().Sub(begin) <= most {
				r.step()
			}
			Expect(r.shard.serving()).To(BeTrue())
			Expect(r.clock.Now().Sub(begin)).To(BeNumerically(">=", least))
		},
		Entry("all endpoints respond", 4, time.Duration(0), time.Second),
		Entry("a majority responds", 3, 5500*time.Millisecond, 6*time.Second),
		Entry("half respond and the others are off the instance list", 2, absentGrace, absentGrace+time.Second),
	)

	It("never starts work without a majority while the instance list has the others", func() {
		r := newTakeoverHarness(4, 2, shardjournal.NewImage())
		all := r.shard.members
		for range 20 {
			r.shard.Handle([]Message{domainListed{all}})
			for range 1000 {
				r.step()
			}
		}
		Expect(r.shard.serving()).To(BeFalse())
	})
})
