// Package feed follows one table of the platform: it reads the rows once and
// then every change. It starts over when the table no longer has the changes.
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
	// watchTime is how long a call waits for a change; it is also how often an
	// idle feed confirms that the table answers.
	watchTime = 1500 * time.Millisecond
	// callTimeout is allowed for a call beyond its wait.
	callTimeout = 900 * time.Millisecond
	// scanTimeout bounds the reading of one part: an instance with a link of 10
	// Mbit/s reads 6 MB in it.
	scanTimeout = 5 * time.Second
	// retryPause is the pause after a failed call.
	retryPause = 200 * time.Millisecond
)

// Update is what has been read.
type Update struct {
	// Whole says that Changes are all rows: what is not among them is gone.
	Whole   bool
	Changes []storage.Change
	// Asked is when the call was sent: the rows are at least as new.
	Asked time.Time
	// Version is the table's version as of the update.
	Version storage.RowVersion
}

// Options are what a feed needs.
type Options struct {
	// ID is the name of the duty and in logs.
	ID string
	// Table is the table to follow, Prefixes its parts to be read as a whole.
	Table    string
	Prefixes []string
	// From is the version to go on from; 0 reads all rows first.
	From storage.RowVersion
	// Pause is the least time between two calls, which bounds their number.
	Pause  time.Duration
	Source storage.FeedTable
	Clock  clock.Clock
	Log    *logging.Logger
	// Sink takes each update on the feed's thread, an empty one for each answer
	// without changes.
	Sink func(Update)
}

// Feed is the duty that follows one table. It takes no messages.
type Feed struct {
	Options
	*duty.Duty[struct{}]
	ctx     context.Context
	cancel  context.CancelFunc
	version storage.RowVersion
	lost    bool
}

// New returns a feed that has not started; its calls end with ctx.
func New(ctx context.Context, o Options) *Feed {
	f := &Feed{Options: o, version: o.From}
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.Duty = duty.NewCalling(o.ID, 1, duty.HandlerFunc[struct{}](f.handle))
	return f
}

// Stop ends the feed; a call under way is given up.
func (f *Feed) Stop() {
	f.cancel()
	f.Duty.Stop()
}

func (f *Feed) handle([]struct{}) time.Duration {
	if f.ctx.Err() != nil {
		return duty.Never
	}
	err := f.step()
	if err != nil && f.ctx.Err() == nil {
		f.noteLost(err)
		return retryPause
	}
	if f.lost {
		f.lost = false
		f.Log.Info("feed_regained", slog.String("feed", f.ID))
	}
	return f.Pause
}

func (f *Feed) step() error {
	if f.version == 0 {
		return f.readAll()
	}
	return f.readChanges()
}

func (f *Feed) readAll() error {
	update := Update{Whole: true, Asked: f.Clock.Now()}
	for _, prefix := range f.Prefixes {
		found, err := f.scan(prefix)
		if err != nil {
			return err
		}
		for _, row := range found.Rows {
			update.Changes = append(update.Changes, storage.Change{Row: row})
		}
		if update.Version == 0 {
			update.Version = found.Version
		}
	}
	f.version = update.Version
	f.Sink(update)
	return nil
}

// scan reads the rows of one part.
func (f *Feed) scan(prefix string) (storage.Snapshot, error) {
	ctx, cancel := context.WithTimeout(f.ctx, scanTimeout)
	defer cancel()
	return f.Source.Scan(ctx, prefix)
}

func (f *Feed) readChanges() error {
	ctx, cancel := context.WithTimeout(f.ctx, watchTime+callTimeout)
	defer cancel()
	asked := f.Clock.Now()
	found, err := f.Source.Watch(ctx, f.Table, f.version, watchTime)
	if eris.Is(err, storage.ErrHistoryGone) {
		f.Log.Warn("feed_history_gone", slog.String("feed", f.ID), slog.Uint64("version", uint64(f.version)))
		f.version = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.version = found.Version
	f.Sink(Update{Changes: found.Changes, Asked: asked, Version: found.Version})
	return nil
}

func (f *Feed) noteLost(err error) {
	if !f.lost {
		f.lost = true
		f.Log.Warn("feed_lost", slog.String("feed", f.ID), slog.Uint64("version", uint64(f.version)), slog.Any("error", err))
	}
}
