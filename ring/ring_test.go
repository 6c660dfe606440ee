package ring_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/ring"
)

// deadline is reached only when a test fails.
const deadline = 30 * time.Second

var _ = Describe("Ring", func() {
	It("rejects messages beyond its capacity and counts them", func() {
		r := ring.New[int](2)
		Expect(r.Offer(1)).To(BeTrue())
		Expect(r.Offer(2)).To(BeTrue())
		Expect(r.Offer(3)).To(BeFalse())
		batch, open := r.Take(nil, ring.Forever)
		Expect(open).To(BeTrue())
		Expect(batch).To(Equal([]int{1, 2}))
		Expect(r.Stats()).To(Equal(ring.Stats{Capacity: 2, Accepted: 2, Refused: 1}))
	})

	It("blocks writers while it is full and loses no message", func(ctx SpecContext) {
		const writers, each = 8, 500
		r := ring.New[int](4)
		var running sync.WaitGroup
		for range writers {
			running.Go(func() {
				for i := range each {
					if err := r.Put(ctx, i); err != nil {
						return
					}
				}
			})
		}
		sum, count := 0, 0
		var batch []int
		for count < writers*each {
			batch, _ = r.Take(batch[:0], deadline)
			Expect(batch).NotTo(BeEmpty())
			for _, v := range batch {
				sum += v
				count++
			}
		}
		running.Wait()
		Expect(sum).To(Equal(writers * each * (each - 1) / 2))
	}, SpecTimeout(deadline))

	It("unblocks a waiting writer when its context ends", func() {
		r := ring.New[int](1)
		Expect(r.Offer(1)).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(r.Put(ctx, 2)).To(MatchError(context.Canceled))
	})

	It("returns the queued messages after Close and then reports that it is closed", func() {
		r := ring.New[int](2)
		Expect(r.Offer(7)).To(BeTrue())
		r.Close()
		Expect(r.Offer(8)).To(BeFalse())
		Expect(r.Put(context.Background(), 8)).To(MatchError(ring.ErrClosed))
		batch, open := r.Take(nil, ring.Forever)
		Expect(batch).To(Equal([]int{7}))
		Expect(open).To(BeTrue())
		_, open = r.Take(nil, ring.Forever)
		Expect(open).To(BeFalse())
	})

	It("returns an empty batch when the wait has passed", func() {
		batch, open := ring.New[int](1).Take(nil, time.Millisecond)
		Expect(batch).To(BeEmpty())
		Expect(open).To(BeTrue())
	})
})

func BenchmarkOfferTake(b *testing.B) {
	r := ring.New[int](1024)
	batch := make([]int, 0, 1024)
	b.ReportAllocs()
	for i := range b.N {
		if !r.Offer(i) {
			batch, _ = r.Take(batch[:0], 0)
		}
	}
}
