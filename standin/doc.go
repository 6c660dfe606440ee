// Package standin implements stand-ins: in-memory simulations of the platform's
// services and of endpoints, for tests and the demo only.
//
// Each stand-in is a duty that owns all of its state. The table and the fleet
// keep append-only records, and package audit checks a run by these alone. The
// stand-ins can be used in the process (Table.Client, ObjectStore.Client,
// Fleet.Client, Fleet.List) or over HTTP (Server). Faults can be switched on
// and off while they run.
//
// A full input ring rejects messages, so that the caller sees an unavailable
// service, as with an overloaded one.
package standin

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
)

// ringCapacity is the capacity of a stand-in's input ring in messages.
const ringCapacity = 4096

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// postAndWait puts message into d's ring and waits for its reply. ok is false
// when the ring is full or ctx ends first; in the latter case the message may
// still be processed.
func postAndWait[M, R any](ctx context.Context, d *duty.Duty[M], message M, reply <-chan R) (r R, ok bool) {
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

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
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
