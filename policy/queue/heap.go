// Package queue orders the queues of classes and teams by the key that decides
// which is served next. It does not compute the keys.
package queue

import "github.com/hornbeamworks/hornbeam/policy/work"

// notInHeap is the Index of a queue that is not in the heap.
const notInHeap = -1

// Heap is a binary heap of the queues that have jobs and are not blocked. An
// update takes time logarithmic in the number of queues, independent of the
// number of jobs in them.
type Heap struct {
	queues []*work.Queue
}

// NewHeap returns an empty heap.
func NewHeap() *Heap { return &Heap{} }

// Update must be called after Key, Blocked or the number of jobs of the queue
// has changed. It adds, moves or removes the queue.
func (h *Heap) Update(q *work.Queue) {
	runnable := q.Len > 0 && !q.Blocked
	switch {
	case runnable && q.Index == notInHeap:
		q.Index = len(h.queues)
		h.queues = append(h.queues, q)
		h.up(q.Index)
	case runnable:
		h.up(q.Index)
		h.down(q.Index)
	case q.Index != notInHeap:
		h.remove(q)
	}
}

// Next returns the first queue, or nil when the heap is empty.
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
	q.Index = notInHeap
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
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.queues); child++ {
			if h.queues[child].Before(h.queues[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return
		}
		h.swap(i, smallest)
		i = smallest
	}
}

func (h *Heap) swap(i, k int) {
	h.queues[i], h.queues[k] = h.queues[k], h.queues[i]
	h.queues[i].Index, h.queues[k].Index = i, k
}
