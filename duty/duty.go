// Package duty runs the threads of a process.
//
// A duty is one named thread with one input ring. All state of a duty belongs
// to its handler and is accessed by its thread only. The handler processes the
// messages of the ring in batches and returns the time after which it is to be called
// without a message. No other package starts threads.
//
// A duty made by New has an OS thread to itself. One made by NewCalling mostly waits
// in blocking calls; there are many of these, and they run as goroutines on the Go
// runtime's threads.
package duty

import (
	"context"
	"runtime"
	"time"

	"github.com/hornbeamworks/hornbeam/ring"
)

// minWait is the shortest wait between two calls of a handler without a message. It
// keeps a handler from making its thread spin.
const minWait = time.Millisecond

// Never is the wait of a handler that has nothing to do until a message arrives.
const Never = ring.Forever

// Handler processes the messages of a duty. Its methods run on the duty's thread.
type Handler[M any] interface {
	// Handle processes a batch of messages in order. The batch is reused after the
	// call. An empty batch means that the wait has passed. Handle returns how long
	// to wait for the next message: Never, or a time after which it is called with
	// an empty batch; waits below 1 ms are rounded up. The first call has an empty
	// batch, unless messages are queued already.
	Handle(batch []M) time.Duration
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc[M any] func(batch []M) time.Duration

// Handle calls f.
func (f HandlerFunc[M]) Handle(batch []M) time.Duration { return f(batch) }

// Duty is a named thread with one input ring of messages of type M.
type Duty[M any] struct {
	name string
	// pinned is set when the duty has an OS thread to itself.
	pinned  bool
	in      *ring.Ring[M]
	handler Handler[M]
}

// New returns a duty whose ring holds capacity messages. Group.Start starts it.
func New[M any](name string, capacity int, handler Handler[M]) *Duty[M] {
	d := NewCalling(name, capacity, handler)
	d.pinned = true
	return d
}

// NewCalling returns a duty without an OS thread of its own, for a handler that
// makes blocking calls: waking an OS thread for each response costs more than handling
// the response.
func NewCalling[M any](name string, capacity int, handler Handler[M]) *Duty[M] {
	d := &Duty[M]{name: name, in: ring.New[M](capacity), handler: handler}
	publish(name, d.in.Stats)
	return d
}

// Name returns the name of the duty, which is also that of its thread.
func (d *Duty[M]) Name() string { return d.name }

// Offer queues m for the duty; it returns false when the ring is full or closed.
func (d *Duty[M]) Offer(m M) bool { return d.in.Offer(m) }

// Put queues m for the duty. It waits for free capacity until ctx ends.
func (d *Duty[M]) Put(ctx context.Context, m M) error { return d.in.Put(ctx, m) }

// Stats returns the counters of the duty's ring.
func (d *Duty[M]) Stats() ring.Stats { return d.in.Stats() }

// Stop closes the ring. The duty processes the queued messages and ends.
func (d *Duty[M]) Stop() { d.in.Close() }

// run processes messages until the ring is closed and empty.
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
