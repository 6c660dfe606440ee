// Package naive assembles the scheduler with plain loops over everything in
// place of the indexes. It is what the fast one is compared with.
package naive

import (
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// New returns a scheduler that tries every queue in every plan and looks at
// every endpoint for each start.
func New(settings cell.Settings) *cell.Cell {
	return cell.Assemble(settings, cell.Indexes{
		Picker:     &picker{},
		Placer:     &placer{},
		Exhaustive: true,
	})
}

// picker looks at every queue for the first one.
type picker struct {
	queues []*work.Queue
}

// Update remembers the queue.
func (p *picker) Update(q *work.Queue) {
	for _, known := range p.queues {
		if known == q {
			return
		}
	}
	p.queues = append(p.queues, q)
}

// Next returns the first queue that has jobs and is not blocked, or nil.
func (p *picker) Next() *work.Queue {
	var first *work.Queue
	for _, q := range p.queues {
		if q.Len == 0 || q.Blocked {
			continue
		}
		if first == nil || q.Before(first) {
			first = q
		}
	}
	return first
}

// placer looks at every endpoint for the first one with room.
type placer struct {
	nodes []*work.Node
}

// Rebuild takes all endpoints in their order.
func (p *placer) Rebuild(nodes []*work.Node) {
	p.nodes = append(p.nodes[:0], nodes...)
	for i, n := range p.nodes {
		n.Leaf = i
	}
}

// Update has nothing to do: First looks at the endpoints themselves.
func (p *placer) Update(*work.Node) {}

// First returns the first endpoint with room for w.Size that w allows, or nil.
func (p *placer) First(w *work.Want) *work.Node {
	for _, n := range p.nodes {
		if w.Size.Fits(n.Room()) && w.Allows(n) {
			return n
		}
	}
	return nil
}
