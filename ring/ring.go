// Package ring is the bounded queue that joins two duties.
//
// A ring has any number of writers and one reader. Its capacity is fixed when
// it is made. A full ring either refuses (Offer) or pushes back (Put); the
// owner of the ring states which of the two its writers use. The reader parks
// while the ring is empty and takes everything that is queued in one batch.
package ring

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Forever is a wait of Take that has no end.
const Forever time.Duration = -1

// Stats are the counters of one ring since it was made.
type Stats struct {
	// Depth is the number of messages queued now.
	Depth int64
	// Capacity is the largest number of messages that can be queued.
	Capacity int64
	// Accepted counts the messages taken in.
	Accepted int64
	// Refused counts the messages that Offer turned away.
	Refused int64
	// Waits counts the calls of Put that had to wait for room.
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

	// filled holds one token while the reader has something to look at.
	filled chan struct{}
	// drained holds one token while a waiting writer may find room.
	drained chan struct{}

	accepted atomic.Int64
	refused  atomic.Int64
	waits    atomic.Int64
}

// New returns an empty ring for capacity messages; capacity is at least one.
func New[M any](capacity int) *Ring[M] {
	return &Ring[M]{
		slots:   make([]M, max(capacity, 1)),
		filled:  make(chan struct{}, 1),
		drained: make(chan struct{}, 1),
	}
}

// Offer queues m and reports true, or reports false at once when the ring is
// full or closed.
func (r *Ring[M]) Offer(m M) bool {
	if r.push(m) {
		return true
	}
	r.refused.Add(1)
	return false
}

// Put queues m, waiting for room. It returns the context's error when ctx ends
// first and ErrClosed when the ring is closed.
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
		r.passRoomOn()
	}
	return nil
}

// Take appends every queued message to batch and returns it. It waits until
// there is a message, until the given time to wait has passed (Forever has no
// end) or until the ring is closed and empty; open is false in the last
// case only.
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

// Close turns further messages away; what is queued can still be taken.
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
	first := r.length == 1
	r.mu.Unlock()
	r.accepted.Add(1)
	if first {
		signal(r.filled)
	}
	return true
}

func (r *Ring[M]) pop(batch []M) (taken []M, open bool) {
	r.mu.Lock()
	wasFull := r.length == len(r.slots)
	for ; r.length > 0; r.length-- {
		batch = append(batch, r.slots[r.head])
		// The slot is cleared so that the ring keeps no message alive.
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

// passRoomOn wakes the next waiting writer while there is still room, since
// one token of drained stands for a whole batch of free slots.
func (r *Ring[M]) passRoomOn() {
	r.mu.Lock()
	room := r.length < len(r.slots) || r.closed
	r.mu.Unlock()
	if room {
		signal(r.drained)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
