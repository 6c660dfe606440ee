// Package queue keeps the queues of classes and teams in the order in which
// they are served.
package queue

import "github.com/hornbeamworks/hornbeam/policy/work"

// outside is the index of a queue that is not in the heap.
const outside = -1

// Heap is a binary heap of the queues that may start something. A change of
// one queue costs the logarithm of their number, whatever they hold.
type Heap struct {
	queues []*work.Queue
}

// NewHeap returns an empty heap.
func NewHeap() *Heap { return &Heap{} }

// Update takes the queue's state and key.
func (h *Heap) Update(q *work.Queue) {
	runnable := q.Len > 0 && !q.Blocked
	switch {
	case runnable && q.Index == outside:
		q.Index = len(h.queues)
		h.queues = append(h.queues, q)
		h.up(q.Index)
	case runnable:
		h.up(q.Index)
		h.down(q.Index)
	case q.Index != outside:
		h.remove(q)
	}
}

// Next returns the first queue, or nil.
func (h *Heap) Next() *work.Queue {
	if len(h.queues) == 0 {
		return nil
	}
	return h.queues[0]
}

func (h *Heap) remove(q *work.Queue) {
	at, last := q.Index, len(h.queues)-1
	h.swap(at, last)
	h.queues[last] = nil
	h.queues = h.queues[:last]
	q.Index = outside
	if at < last {
		h.up(at)
		h.down(at)
	}
}

func (h *Heap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.queues[i].Before(h.queues[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.queues); child++ {
			if h.queues[child].Before(h.queues[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *Heap) swap(i, k int) {
	h.queues[i], h.queues[k] = h.queues[k], h.queues[i]
	h.queues[i].Index, h.queues[k].Index = i, k
}
