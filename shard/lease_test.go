package shard_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/storage"
)

var id = model.ShardID{Domain: "a"}

var settings = shard.LeaseSettings{
	Lease: 1500 * time.Millisecond, Renew: 500 * time.Millisecond,
	Poll: 100 * time.Millisecond, Timeout: time.Second,
}

// memoryTable is an in-memory table with injectable faults.
type memoryTable struct {
	rows map[string]storage.Row
	// unavailable makes every call fail without effect; the next loseReplies
	// commits take effect and lose their replies.
	unavailable bool
	loseReplies int
	commits     int
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: map[string]storage.Row{}} }

func (r *memoryTable) Get(_ context.Context, key string) (storage.Row, error) {
	if r.unavailable {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, found := r.rows[key]
	if !found {
		return storage.Row{}, storage.ErrNotFound
	}
	return row, nil
}

func (r *memoryTable) List(context.Context, string, string, int) ([]storage.Row, error) {
	return nil, storage.ErrUnavailable
}

func (r *memoryTable) Commit(_ context.Context, txn storage.Txn) error {
	if r.unavailable {
		return storage.ErrUnavailable
	}
	for _, c := range txn.Checks {
		if r.rows[c.Key].Version != c.Version {
			return storage.ErrConflict
		}
	}
	r.commits++
	for _, w := range txn.Writes {
		r.rows[w.Key] = storage.Row{Key: w.Key, Value: w.Value, Version: r.rows[w.Key].Version + 1}
	}
	if r.loseReplies > 0 {
		r.loseReplies--
		return storage.ErrUnavailable
	}
	return nil
}

// candidate is one process and what its lease has reported.
type candidate struct {
	lease    *shard.Lease
	epoch    model.Epoch
	until    time.Time
	losses   int
	released int
	holder   shard.LeaseRow
}

func (c *candidate) Held(epoch model.Epoch, until time.Time) { c.epoch, c.until = epoch, until }
func (c *candidate) Renewed(until time.Time)                 { c.until = until }
func (c *candidate) Lost()                                   { c.epoch, c.losses = 0, c.losses+1 }
func (c *candidate) Released()                               { c.epoch, c.released = 0, c.released+1 }
func (c *candidate) HolderObserved(holder shard.LeaseRow)    { c.holder = holder }

func newCandidate(name model.InstanceID, table storage.Table, source clock.Clock) *candidate {
	c := &candidate{}
	c.lease = shard.NewLease(id, name, string(name)+":1", settings, table, source, c)
	return c
}

var _ = Describe("Lease", func() {
	var (
		table  *memoryTable
		now    *clock.Manual
		first  *candidate
		second *candidate
	)

	BeforeEach(func() {
		table, now = newMemoryTable(), clock.NewManual(time.Unix(1000, 0))
		first, second = newCandidate("one", table, now), newCandidate("two", table, now)
		first.lease.Tick()
		second.lease.Tick()
	})

	// advance moves the clock forward by d; the given candidates tick at each poll.
	advance := func(d time.Duration, ticking ...*candidate) {
		for end := now.Now().Add(d); now.Now().Before(end); now.Advance(settings.Poll) {
			for _, c := range ticking {
				c.lease.Tick()
			}
		}
	}

	It("is acquired by one candidate and counted from before the commit", func() {
		Expect(first.epoch).To(Equal(model.Epoch(1)))
		Expect(first.until).To(Equal(now.Now().Add(settings.Lease * 9 / 10)))
		Expect(second.epoch).To(BeZero())
		Expect(second.holder.Address).To(Equal("one:1"))
	})

	It("stays with a holder that renews it", func() {
		advance(10*settings.Lease, first, second)
		Expect(first.epoch).To(Equal(model.Epoch(1)))
		Expect(first.until.After(now.Now())).To(BeTrue())
		Expect(second.epoch).To(BeZero())
	})

	It("goes to the successor of a dead holder only after it has expired", func() {
		for second.epoch == 0 {
			advance(settings.Poll, second)
			Expect(now.Now().Sub(first.until)).To(BeNumerically("<", settings.Lease), "no successor took over")
		}
		Expect(second.epoch).To(Equal(model.Epoch(2)))
		Expect(now.Now().After(first.until)).To(BeTrue(), "the previous holder's lease has not expired")
	})

	It("reports the loss to a holder that was paused past its lease, at its first renewal", func() {
		advance(2*settings.Lease, second)
		Expect(second.epoch).To(Equal(model.Epoch(2)))
		Expect(now.Now().After(first.until)).To(BeTrue())
		first.lease.Tick()
		Expect(first.losses).To(Equal(1))
		advance(5*settings.Lease, first, second)
		Expect(second.epoch).To(Equal(model.Epoch(2)))
	})

	It("is not taken over after a long outage of the table", func() {
		table.unavailable = true
		advance(20*settings.Lease, first, second)
		table.unavailable = false
		second.lease.Tick()
		Expect(second.epoch).To(BeZero())
		advance(5*settings.Lease, second, first)
		Expect(first.epoch).To(Equal(model.Epoch(1)))
		Expect(first.losses).To(BeZero())
	})

	It("resolves a takeover whose reply was lost from the epoch row", func() {
		table.loseReplies = 1
		advance(2*settings.Lease, second)
		Expect(second.epoch).To(Equal(model.Epoch(2)))
		first.lease.Tick()
		Expect(first.losses).To(Equal(1))
	})

	It("goes to another candidate at once when released, even when that reply is lost", func() {
		table.loseReplies = 1
		first.lease.Resign()
		for !first.lease.Resigned() {
			first.lease.Tick()
		}
		Expect(first.released).To(Equal(1))
		second.lease.Tick()
		Expect(second.epoch).To(Equal(model.Epoch(2)))
		first.lease.Tick()
		Expect(first.holder.Address).To(Equal("two:1"))
		Expect(first.epoch).To(BeZero())
	})

	It("lets only one of two concurrent takeovers succeed", func() {
		third := newCandidate("three", table, now)
		advance(2*settings.Lease, second, third)
		Expect([]model.Epoch{second.epoch, third.epoch}).To(ConsistOf(model.Epoch(2), model.Epoch(0)))
	})
})
