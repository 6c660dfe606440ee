// Package duty runs the threads of a process.
//
// A duty is one named thread with one input ring. All state of a duty belongs
// to its handler and is touched by its thread alone. The handler takes the
// messages of the ring in batches and says when it wants to be woken without a
// message. No other package starts threads.
//
// A duty made by New has a thread of the operating system to itself. One made by
// NewCalling waits for the answers of blocking calls most of the time; there are
// many of them, and they run on threads of the Go runtime.
package duty

import (
	"context"
	"runtime"
	"time"

	"github.com/hornbeamworks/hornbeam/ring"
)

// minWait is the shortest wait between two calls of a handler without a
// message, so that no handler can make its thread spin.
const minWait = time.Millisecond

// Never is the wait of a handler that has nothing to do until a message comes.
const Never = ring.Forever

// Handler is the work of a duty. Its methods run on the duty's thread.
type Handler[M any] interface {
	// Handle works through one batch of messages in their order. The batch is
	// reused after the call. An empty batch means that the wait has passed.
	// Handle returns how long to wait for the next message: Never, or a time
	// after which it is called with an empty batch; shorter waits than a
	// millisecond are rounded up. The first call has an empty batch.
	Handle(batch []M) time.Duration
}

// HandlerFunc is a function that serves as a Handler.
type HandlerFunc[M any] func(batch []M) time.Duration

// Handle calls f.
func (f HandlerFunc[M]) Handle(batch []M) time.Duration { return f(batch) }

// Duty is a named thread with one input ring of messages of type M.
type Duty[M any] struct {
	name string
	// pinned says that the thread is one of the operating system.
	pinned  bool
	in      *ring.Ring[M]
	handler Handler[M]
}

// New returns a duty whose ring holds capacity messages. It starts in a Group.
func New[M any](name string, capacity int, handler Handler[M]) *Duty[M] {
	d := NewCalling(name, capacity, handler)
	d.pinned = true
	return d
}

// NewCalling returns a duty like New's for a handler that makes blocking calls:
// waking a thread of the operating system for each answer costs more than the
// answer's handling.
func NewCalling[M any](name string, capacity int, handler Handler[M]) *Duty[M] {
	d := &Duty[M]{name: name, in: ring.New[M](capacity), handler: handler}
	publish(name, d.in.Stats)
	return d
}

// Name returns the name of the duty, which is also that of its thread.
func (d *Duty[M]) Name() string { return d.name }

// Offer queues m for the duty or reports false when its ring is full.
func (d *Duty[M]) Offer(m M) bool { return d.in.Offer(m) }

// Put queues m for the duty, waiting for room until ctx ends.
func (d *Duty[M]) Put(ctx context.Context, m M) error { return d.in.Put(ctx, m) }

// Stats returns the counters of the duty's ring.
func (d *Duty[M]) Stats() ring.Stats { return d.in.Stats() }

// Stop closes the ring: the duty works off what is queued and ends.
func (d *Duty[M]) Stop() { d.in.Close() }

// run is the life of the duty's thread.
func (d *Duty[M]) run() error {
	if d.pinned {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		nameThread(d.name)
	}
	var batch []M
	wait := time.Duration(0)
	for {
		taken, open := d.in.Take(batch[:0], wait)
		if !open {
			return nil
		}
		wait = d.handler.Handle(taken)
		if wait != Never {
			wait = max(wait, minWait)
		}
		clear(taken)
		batch = taken
	}
}
