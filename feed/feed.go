// Package feed follows one table of the platform: it reads all rows once and then
// every change. It reads all rows again when the table no longer keeps the changes
// since the last read. It does not interpret the rows.
package feed

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// defaultWait is how long a call waits for a change, unless Options.Wait is set.
	defaultWait = 1500 * time.Millisecond
	// callTimeout is the time allowed for a call in addition to its wait.
	callTimeout = 900 * time.Millisecond
	// scanTimeout bounds the scan of one prefix. It allows for 6 MB over a network
	// link of 10 Mbit/s.
	scanTimeout = 5 * time.Second
	// maxParallelScans is the number of prefixes that are scanned in parallel: while the table
	// is slow, the rows of many parts would be out of date before the last one is read.
	maxParallelScans = 8
	// slowCallTime is the time beyond its wait from which on a call is slow. The next one does
	// not wait for a change: the rows would be out of date by both times.
	slowCallTime = 200 * time.Millisecond
	// retryPause is the least time between a failed call and the next one.
	retryPause = 200 * time.Millisecond
)

// Update is the result of one read of the table.
type Update struct {
	// Full is set when Changes has all rows: a row that is not among them does
	// not exist any more.
	Full    bool
	Changes []storage.Change
	// RequestedAt is when the call was sent. The rows are at least as recent.
	RequestedAt time.Time
	// Version is the table's version as of the update.
	Version storage.RowVersion
}

// Options configures a feed.
type Options struct {
	// ID is the name of the duty, also used in logs.
	ID string
	// Table is the table to follow. Prefixes are the key prefixes to scan when all
	// rows are read.
	Table    string
	Prefixes []string
	// From is the version to continue from; 0 reads all rows first.
	From storage.RowVersion
	// Pause is the time between the end of a call and the next one; it bounds the
	// rate of calls.
	Pause time.Duration
	// Wait is how long a call waits for a change. It is also the period in which a feed
	// without changes confirms that the table responds.
	Wait   time.Duration
	Source storage.FeedTable
	Clock  clock.Clock
	Log    *logging.Logger
	// Sink is called with each update on the feed's thread. A reply without
	// changes yields an empty update.
	Sink func(Update)
}

// Feed is the duty that follows one table. It receives no messages.
type Feed struct {
	Options
	*duty.Duty[struct{}]
	ctx         context.Context
	cancel      context.CancelFunc
	version     storage.RowVersion
	unavailable bool
	// unconfirmed is set until a call for changes succeeds in time, and after a failed or slow
	// one. The next one does not wait for a change, so that its response shows at once how
	// recent the rows are.
	unconfirmed bool
}

// New returns a feed that has not been started. Cancelling ctx ends its calls.
func New(ctx context.Context, o Options) *Feed {
	f := &Feed{Options: o, version: o.From, unconfirmed: true}
	if f.Wait == 0 {
		f.Wait = defaultWait
	}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.Duty = duty.NewCalling(o.ID, 1, duty.HandlerFunc[struct{}](f.handle))
	return f
}

// Stop ends the feed and cancels a call in flight.
func (f *Feed) Stop() {
	f.cancel()
	f.Duty.Stop()
}

func (f *Feed) handle([]struct{}) time.Duration {
	if f.ctx.Err() != nil {
		return duty.Never
	}
	startedAt := f.Clock.Now()
	err := f.poll()
	if err != nil && f.ctx.Err() == nil {
		f.markUnavailable(err)
		f.unconfirmed = true
		return max(0, retryPause-f.Clock.Now().Sub(startedAt))
	}
	if f.unavailable {
		f.unavailable = false
		f.Log.Info("feed_regained", slog.String("feed", f.ID))
	}
	return f.Pause
}

func (f *Feed) poll() error {
	if f.version == 0 {
		return f.readAll()
	}
	return f.readChanges()
}

func (f *Feed) readAll() error {
	update := Update{Full: true, RequestedAt: f.Clock.Now()}
	parts := make([]storage.Snapshot, len(f.Prefixes))
	err := duty.Each(len(parts), maxParallelScans, func(i int) error {
		var err error
		parts[i], err = f.scan(f.Prefixes[i])
		return err
	})
	if err != nil {
		return err
	}
	for _, found := range parts {
		for _, row := range found.Rows {
			update.Changes = append(update.Changes, storage.Change{Row: row})
		}
		if update.Version == 0 || found.Version < update.Version {
			update.Version = found.Version
		}
	}
	f.version = update.Version
	f.Sink(update)
	return nil
}

// scan reads the rows with the prefix.
func (f *Feed) scan(prefix string) (storage.Snapshot, error) {
	ctx, cancel := context.WithTimeout(f.ctx, scanTimeout)
	defer cancel()
	return f.Source.Scan(ctx, prefix)
}

func (f *Feed) readChanges() error {
	wait := f.Wait
	if f.unconfirmed {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(f.ctx, wait+callTimeout)
	defer cancel()
	requestedAt := f.Clock.Now()
	found, err := f.Source.Watch(ctx, f.Table, f.version, wait)
	if eris.Is(err, storage.ErrHistoryGone) {
		f.Log.Warn("feed_history_gone", slog.String("feed", f.ID), slog.Uint64("version", uint64(f.version)))
		f.version, f.unconfirmed = 0, true
		return nil
	}
	if err != nil {
		return err
	}
	f.version, f.unconfirmed = found.Version, f.Clock.Now().Sub(requestedAt) > wait+slowCallTime
	f.Sink(Update{Changes: found.Changes, RequestedAt: requestedAt, Version: found.Version})
	return nil
}

func (f *Feed) markUnavailable(err error) {
	if !f.unavailable {
		f.unavailable = true
		f.Log.Warn("feed_lost", slog.String("feed", f.ID), slog.Uint64("version", uint64(f.version)), slog.Any("error", err))
	}
}
