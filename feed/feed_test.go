package feed

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/storage"
)

// scriptedTable answers reads of its feed after delays, of which it takes one for each
// read; a read whose time runs out before fails.
type scriptedTable struct {
	storage.FeedTable
	clock  *clock.Manual
	delays []time.Duration
	waits  []time.Duration
}

func (t *scriptedTable) Watch(ctx context.Context, _ string, after storage.RowVersion, wait time.Duration) (storage.Changes, error) {
	deadline, _ := ctx.Deadline()
	allowed := time.Until(deadline).Round(10 * time.Millisecond)
	delay := t.delays[0]
	t.delays, t.waits = t.delays[1:], append(t.waits, wait)
	t.clock.Advance(min(delay, allowed))
	if delay > allowed {
		return storage.Changes{}, storage.ErrUnavailable
	}
	return storage.Changes{Version: after}, nil
}

// UNASKED: after a read without a response the next one waited for a change for as long
// as any other, so that the view of the table was confirmed seconds later.
var _ = Describe("A feed", func() {
	const (
		wait  = 400 * time.Millisecond
		never = time.Hour
	)
	var (
		table   *scriptedTable
		updates []Update
		f       *Feed
	)

	start := func(ctx context.Context, delays ...time.Duration) {
		table = &scriptedTable{clock: clock.NewManual(time.Unix(1000, 0)), delays: delays}
		updates = nil
		f = New(ctx, Options{
			ID: "test", Table: "jobs", From: 7, Wait: wait, Source: table, Clock: table.clock, Log: logging.Discard(),
			Sink: func(u Update) { updates = append(updates, u) },
		})
	}

	It("confirms its rows at once when it starts, and then waits for changes", func(ctx SpecContext) {
		start(ctx, 0, wait, wait)
		for range 3 {
			Expect(f.handle(nil)).To(BeZero())
		}
		Expect(table.waits).To(Equal([]time.Duration{0, wait, wait}))
		Expect(updates).To(HaveLen(3))
	})

	It("confirms its rows at once after a read without a response", func(ctx SpecContext) {
		start(ctx, 0, never, 0, wait)
		Expect(f.handle(nil)).To(BeZero())
		Expect(f.handle(nil)).To(BeZero(), "the read has taken longer than the pause")
		Expect(f.handle(nil)).To(BeZero())
		Expect(f.handle(nil)).To(BeZero())
		Expect(table.waits).To(Equal([]time.Duration{0, wait, 0, wait}))
		Expect(updates[1].RequestedAt.Sub(updates[0].RequestedAt)).To(BeNumerically("<=", wait+callTimeout))
	})

	It("confirms its rows at once after it has read all of them again", func(ctx SpecContext) {
		start(ctx, 0, 0, wait)
		f.Prefixes = []string{"jobs//"}
		f.Source = &forgetfulTable{scriptedTable: table, goneAt: 2}
		for range 5 {
			Expect(f.handle(nil)).To(BeZero())
		}
		Expect(updates).To(HaveLen(4))
		Expect(updates[1].Full).To(BeTrue())
		Expect(table.waits).To(Equal([]time.Duration{0, 0, wait}))
	})

	// LOST: at 0.5 s for a call, nothing was started for most of the time, since each read also
	// waited for a change.
	It("does not wait for changes after a slow read", func(ctx SpecContext) {
		start(ctx, 0, wait+500*time.Millisecond, 500*time.Millisecond, 10*time.Millisecond, wait)
		for range 5 {
			Expect(f.handle(nil)).To(BeZero())
		}
		Expect(table.waits).To(Equal([]time.Duration{0, wait, 0, 0, wait}))
	})

	It("pauses after a read that failed quickly", func(ctx SpecContext) {
		start(ctx)
		f.Source = refusingTable{}
		Expect(f.handle(nil)).To(Equal(retryPause))
	})
})

// slowTable takes callTime for each call of a scan. Each call shows an earlier version than the one before.
type slowTable struct {
	storage.FeedTable
	calls atomic.Int64
}

const callTime = 150 * time.Millisecond

func (t *slowTable) Scan(_ context.Context, prefix string) (storage.Snapshot, error) {
	version := storage.RowVersion(100 - t.calls.Add(1))
	time.Sleep(callTime)
	return storage.Snapshot{Version: version, Rows: []storage.Row{{Key: prefix + "a"}}}, nil
}

// LOST: after the table had dropped its history, the holder started nothing while it read one
// part of the jobs after the other.
var _ = Describe("A feed that reads all rows of a slow table", func() {
	It("reads them within 1.8 s, and continues from the earliest version", func(ctx SpecContext) {
		const parts = 48
		var update Update
		options := Options{ID: "slow", Table: "jobs", Source: &slowTable{}, Clock: clock.System{}, Log: logging.Discard(), Sink: func(u Update) { update = u }}
		for part := range parts {
			options.Prefixes = append(options.Prefixes, fmt.Sprintf("jobs/%d/", part))
		}
		New(ctx, options).handle(nil)
		Expect(time.Since(update.RequestedAt)).To(BeNumerically("<", 1800*time.Millisecond))
		Expect(update.Version).To(BeEquivalentTo(100 - parts))
		Expect(update.Changes).To(HaveLen(parts))
		for part, change := range update.Changes {
			Expect(change.Key).To(Equal(options.Prefixes[part] + "a"))
		}
	})
})

type refusingTable struct{ storage.FeedTable }

func (refusingTable) Watch(context.Context, string, storage.RowVersion, time.Duration) (storage.Changes, error) {
	return storage.Changes{}, storage.ErrRefused
}

// forgetfulTable has no history for one read of its feed. Its scans take scanTime.
type forgetfulTable struct {
	*scriptedTable
	goneAt, reads int
}

const scanTime = 3 * time.Second

func (t *forgetfulTable) Watch(ctx context.Context, table string, after storage.RowVersion, wait time.Duration) (storage.Changes, error) {
	t.reads++
	if t.reads == t.goneAt {
		return storage.Changes{}, storage.ErrHistoryGone
	}
	return t.scriptedTable.Watch(ctx, table, after, wait)
}

func (t *forgetfulTable) Scan(context.Context, string) (storage.Snapshot, error) {
	t.clock.Advance(scanTime)
	return storage.Snapshot{Version: 9}, nil
}
