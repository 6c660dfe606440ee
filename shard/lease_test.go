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

// rows is a table in memory that fails as it is told to.
type rows struct {
	kept map[string]storage.Row
	// down lets every call fail without effect; loseReplies lets commits take
	// effect and their replies be lost.
	down        bool
	loseReplies int
	commits     int
}

func newRows() *rows { return &rows{kept: map[string]storage.Row{}} }

func (r *rows) Get(_ context.Context, key string) (storage.Row, error) {
	if r.down {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, found := r.kept[key]
	if !found {
		return storage.Row{}, storage.ErrNotFound
	}
	return row, nil
}

func (r *rows) List(context.Context, string, string, int) ([]storage.Row, error) {
	return nil, storage.ErrUnavailable
}

func (r *rows) Commit(_ context.Context, txn storage.Txn) error {
	if r.down {
		return storage.ErrUnavailable
	}
	for _, c := range txn.Checks {
		if r.kept[c.Key].Version != c.Version {
			return storage.ErrConflict
		}
	}
	r.commits++
	for _, w := range txn.Writes {
		r.kept[w.Key] = storage.Row{Key: w.Key, Value: w.Value, Version: r.kept[w.Key].Version + 1}
	}
	if r.loseReplies > 0 {
		r.loseReplies--
		return storage.ErrUnavailable
	}
	return nil
}

// candidate is one process and what it has heard.
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
func (c *candidate) Seen(holder shard.LeaseRow)              { c.holder = holder }

func join(name model.InstanceID, table storage.Table, source clock.Clock) *candidate {
	c := &candidate{}
	c.lease = shard.NewLease(id, name, string(name)+":1", settings, table, source, c)
	return c
}

var _ = Describe("Lease", func() {
	var (
		table  *rows
		now    *clock.Manual
		first  *candidate
		second *candidate
	)

	BeforeEach(func() {
		table, now = newRows(), clock.NewManual(time.Unix(1000, 0))
		first, second = join("one", table, now), join("two", table, now)
		first.lease.Tick()
		second.lease.Tick()
	})

	// pass lets time pass while the given candidates tick.
	pass := func(d time.Duration, ticking ...*candidate) {
		for end := now.Now().Add(d); now.Now().Before(end); now.Advance(settings.Poll) {
			for _, c := range ticking {
				c.lease.Tick()
			}
		}
	}

	It("is taken by one candidate, which counts it from before the commit", func() {
		Expect(first.epoch).To(Equal(model.Epoch(1)))
		Expect(first.until).To(Equal(now.Now().Add(settings.Lease * 9 / 10)))
		Expect(second.epoch).To(BeZero())
		Expect(second.holder.Address).To(Equal("one:1"))
	})

	It("stays with a holder that renews", func() {
		pass(10*settings.Lease, first, second)
		Expect(first.epoch).To(Equal(model.Epoch(1)))
		Expect(first.until.After(now.Now())).To(BeTrue())
		Expect(second.epoch).To(BeZero())
	})

	It("goes to the successor of a dead holder after its end, never before", func() {
		for second.epoch == 0 {
			pass(settings.Poll, second)
			Expect(now.Now().Sub(first.until)).To(BeNumerically("<", settings.Lease), "the successor must come")
		}
		Expect(second.epoch).To(Equal(model.Epoch(2)))
		Expect(now.Now().After(first.until)).To(BeTrue(), "the former holder's time is over")
	})

	It("tells a holder that was paused past its lease, by its first renewal", func() {
		pass(2*settings.Lease, second)
		Expect(second.epoch).To(Equal(model.Epoch(2)))
		Expect(now.Now().After(first.until)).To(BeTrue())
		first.lease.Tick()
		Expect(first.losses).To(Equal(1))
		pass(5*settings.Lease, first, second)
		Expect(second.epoch).To(Equal(model.Epoch(2)))
	})

	It("is not taken because the table was down for long", func() {
		table.down = true
		pass(20*settings.Lease, first, second)
		table.down = false
		second.lease.Tick()
		Expect(second.epoch).To(BeZero())
		pass(5*settings.Lease, second, first)
		Expect(first.epoch).To(Equal(model.Epoch(1)))
		Expect(first.losses).To(BeZero())
	})

	It("settles a take-over whose reply was lost by the epoch row", func() {
		table.loseReplies = 1
		pass(2*settings.Lease, second)
		Expect(second.epoch).To(Equal(model.Epoch(2)))
		first.lease.Tick()
		Expect(first.losses).To(Equal(1))
	})

	It("goes over at once when it is released, also when that reply is lost", func() {
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

	It("ends one of two take-overs that race", func() {
		third := join("three", table, now)
		pass(2*settings.Lease, second, third)
		Expect([]model.Epoch{second.epoch, third.epoch}).To(ConsistOf(model.Epoch(2), model.Epoch(0)))
	})
})
