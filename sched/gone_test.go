package sched

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/shardjournal"
)

var _ = Describe("A take-over", func() {
	DescribeTable("waits for what the former holder may still reach",
		func(answering int, least, most time.Duration) {
			r := takingOver(4, answering, shardjournal.NewImage())
			begin := r.clock.Now()
			for !r.shard.serving() && r.clock.Now().Sub(begin) <= most {
				r.turn()
			}
			Expect(r.shard.serving()).To(BeTrue())
			Expect(r.clock.Now().Sub(begin)).To(BeNumerically(">=", least))
		},
		Entry("all endpoints answer", 4, time.Duration(0), time.Second),
		Entry("a majority answers", 3, 5500*time.Millisecond, 6*time.Second),
		Entry("half answer and the others are off the list", 2, absentGrace, absentGrace+time.Second),
	)

	It("never starts work without a majority while the list names the others", func() {
		r := takingOver(4, 2, shardjournal.NewImage())
		all := r.shard.members
		for range 20 {
			r.shard.Handle([]Message{listed{all}})
			for range 1000 {
				r.turn()
			}
		}
		Expect(r.shard.serving()).To(BeFalse())
	})
})
