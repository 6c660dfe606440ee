package config

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// pollPeriod is the time from one read of the table to the next.
	pollPeriod = time.Second
	// readTimeout bounds one poll, so that a slow store does not hold up the
	// next one.
	readTimeout = 900 * time.Millisecond
)

// readNow asks the reader for a read before the next poll is due.
type readNow struct{}

// reader polls the table on a thread of its own, since its reads block.
type reader struct {
	table storage.Table
	clock clock.Clock
	view  *View
	tell  func(news) bool
	next  time.Time
}

func (r *reader) handle(batch []readNow) time.Duration {
	now := r.clock.Now()
	if len(batch) == 0 && now.Before(r.next) {
		return r.next.Sub(now)
	}
	r.next = now.Add(pollPeriod)
	r.poll()
	return max(r.next.Sub(r.clock.Now()), 0)
}

// poll reads the version and, when the view lacks it, the configuration. What
// it read was in force at the time before the read was sent, which is what it
// tells the keeper. A failed read tells nothing: the view then ages.
func (r *reader) poll() {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	sent := r.clock.Now()
	version, err := ReadVersion(ctx, r.table)
	if err != nil {
		return
	}
	if version <= r.view.Version() {
		r.tell(news{version: version, at: sent})
		return
	}
	head, err := ReadHead(ctx, r.table)
	if err != nil {
		return
	}
	r.tell(news{config: head.Config, version: head.Config.Version, at: sent})
}
