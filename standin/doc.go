// Package standin holds small stand-ins for the platform's services and for
// endpoints, for tests and the demo only.
//
// Each stand-in is a duty that owns all of its state and keeps an append-only
// record of what it did; package audit judges a run by these records alone.
// The stand-ins can be used in the process (Table.Client, ObjectStore.Client,
// Fleet.Client, Fleet.List) or by HTTP (Server). Faults are switched on and
// off while they run.
//
// The input ring of every stand-in refuses when it is full: the caller sees an
// unavailable service, as it would of an overloaded one.
package standin

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
)

// ringCapacity is the number of messages that wait for a stand-in.
const ringCapacity = 4096

// millis returns ms milliseconds.
func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// ask queues message for d and waits for its reply. ok is false when the ring
// is full or ctx ends first; the message may then still be worked through.
func ask[M, R any](ctx context.Context, d *duty.Duty[M], message M, reply <-chan R) (r R, ok bool) {
	if !d.Offer(message) {
		return r, false
	}
	select {
	case r = <-reply:
		return r, true
	case <-ctx.Done():
		return r, false
	}
}

// pause waits for d and reports false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
