// Package ring implements the bounded queue that connects duties.
//
// A ring has any number of writers and one reader. Its capacity is fixed when
// it is created. On a full ring, Offer returns false and Put blocks; the owner of the
// ring states which of the two its writers use. The reader blocks while the ring is
// empty and takes all queued messages in one batch.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Forever makes Take wait without a timeout.
const Forever time.Duration = -1

// Stats holds the counters of a ring since its creation.
type Stats struct {
	// Depth is the current number of queued messages.
	Depth int64
	// Capacity is the largest number of messages that can be queued.
	Capacity int64
	// Accepted counts the messages that were queued.
	Accepted int64
	// Refused counts the messages that Offer rejected.
	Refused int64
	// Waits counts the calls of Put that had to wait for free capacity.
	Waits int64
}

// Ring is a bounded queue of messages of type M for one reader.
type Ring[M any] struct {
	// mu guards slots, head, length and closed. It is held for the copy of one
	// message by a writer and of one batch by the reader, never across a wait.
	mu     sync.Mutex
	slots  []M
	head   int
	length int
	closed bool

	// filled holds a token when the reader has to check the ring again: a message
	// was queued in the empty ring, or the ring was closed.
	filled chan struct{}
	// drained holds a token when a waiting writer has to try again: the full ring was
	// emptied or the ring was closed.
	drained chan struct{}

	accepted atomic.Int64
	refused  atomic.Int64
	waits    atomic.Int64
}

// New returns an empty ring for capacity messages, at least one.
func New[M any](capacity int) *Ring[M] {
	return &Ring[M]{
		slots:   make([]M, max(capacity, 1)),
		filled:  make(chan struct{}, 1),
		drained: make(chan struct{}, 1),
	}
}

// Offer queues m and returns true. It returns false without waiting when the ring is
// full or closed.
func (r *Ring[M]) Offer(m M) bool {
	if r.push(m) {
		return true
	}
	r.refused.Add(1)
	return false
}

// Put queues m and waits for free capacity if it must. It returns the context's
// error when ctx ends first and ErrClosed when the ring is closed.
func (r *Ring[M]) Put(ctx context.Context, m M) error {
	waited := false
	for !r.push(m) {
		if r.Closed() {
			return ErrClosed
		}
		if !waited {
			waited = true
			r.waits.Add(1)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.drained:
		}
	}
	if waited {
		r.wakeNextWriter()
	}
	return nil
}

// Take appends all queued messages to batch and returns it. It waits until there is
// a message, until the wait has passed (Forever sets no timeout) or until the ring is
// closed and empty; open is false in the last case only.
func (r *Ring[M]) Take(batch []M, wait time.Duration) (taken []M, open bool) {
	var timeout <-chan time.Time
	for {
		batch, open = r.pop(batch)
		if len(batch) > 0 || !open || wait == 0 {
			return batch, open
		}
		if timeout == nil && wait > 0 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-r.filled:
		case <-timeout:
			wait = 0
		}
	}
}

// Close makes the ring reject further messages. Queued messages can still be taken.
func (r *Ring[M]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	signal(r.filled)
	signal(r.drained)
}

// Closed reports whether Close was called.
func (r *Ring[M]) Closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// Stats returns the counters of the ring.
func (r *Ring[M]) Stats() Stats {
	r.mu.Lock()
	depth := r.length
	r.mu.Unlock()
	return Stats{
		Depth:    int64(depth),
		Capacity: int64(len(r.slots)),
		Accepted: r.accepted.Load(),
		Refused:  r.refused.Load(),
		Waits:    r.waits.Load(),
	}
}

func (r *Ring[M]) push(m M) bool {
	r.mu.Lock()
	if r.closed || r.length == len(r.slots) {
		r.mu.Unlock()
		return false
	}
	r.slots[(r.head+r.length)%len(r.slots)] = m
	r.length++
	wasEmpty := r.length == 1
	r.mu.Unlock()
	r.accepted.Add(1)
	if wasEmpty {
		signal(r.filled)
	}
	return true
}

func (r *Ring[M]) pop(batch []M) (taken []M, open bool) {
	r.mu.Lock()
	wasFull := r.length == len(r.slots)
	for ; r.length > 0; r.length-- {
		batch = append(batch, r.slots[r.head])
		// Clears the slot so that the garbage collector can free the message.
		var empty M
		r.slots[r.head] = empty
		r.head = (r.head + 1) % len(r.slots)
	}
	open = !r.closed
	r.mu.Unlock()
	if wasFull {
		signal(r.drained)
	}
	return batch, open || len(batch) > 0
}

// wakeNextWriter wakes another waiting writer while there is free capacity, since
// pop adds a single token to drained for a batch of free slots.
func (r *Ring[M]) wakeNextWriter() {
	r.mu.Lock()
	free := r.length < len(r.slots) || r.closed
	r.mu.Unlock()
	if free {
		signal(r.drained)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
