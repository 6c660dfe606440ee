package config

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// pollPeriod is the time between the starts of two polls of the table.
	pollPeriod = time.Second
	// readTimeout limits one poll. It is shorter than pollPeriod, so that a slow
	// table does not delay the next poll.
	readTimeout = 900 * time.Millisecond
)

// readRequest requests a read before the next poll is due.
type readRequest struct{}

// reader polls the table. It is a duty of its own, since its reads block.
type reader struct {
	table storage.Table
	clock clock.Clock
	view  *View
	post  func(viewUpdate) bool
	next  time.Time
}

func (r *reader) handle(batch []readRequest) time.Duration {
	now := r.clock.Now()
	if len(batch) == 0 && now.Before(r.next) {
		return r.next.Sub(now)
	}
	r.next = now.Add(pollPeriod)
	r.poll()
	return max(r.next.Sub(r.clock.Now()), 0)
}

// poll reads the version and, when it is newer than the view, the configuration.
// It posts the result with the time before the version was requested, since no
// newer version had been accepted by then. A failed read posts nothing, so that
// the age of the view grows.
func (r *reader) poll() {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	sent := r.clock.Now()
	version, err := ReadVersion(ctx, r.table)
	if err != nil {
		return
	}
	if version <= r.view.Version() {
		r.post(viewUpdate{version: version, at: sent})
		return
	}
	head, err := ReadHead(ctx, r.table)
	if err != nil {
		return
	}
	r.post(viewUpdate{config: head.Config, version: head.Config.Version, at: sent})
}
