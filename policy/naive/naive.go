// Package naive assembles the scheduler with linear searches in place of the
// indexes of package cell. It contains no policy of its own and serves as the
// reference in differential tests.
package naive

import (
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// New returns a scheduler that tries every queue in every plan and searches all
// endpoints for each start.
func New(settings cell.Settings) *cell.Cell {
	return cell.Assemble(settings, cell.Indexes{
		Picker:     &picker{},
		Placer:     &placer{},
		Exhaustive: true,
	})
}

// picker searches all queues for the first one.
type picker struct {
	queues []*work.Queue
}

// Update adds the queue if it is new. Next reads the state of all queues.
func (p *picker) Update(q *work.Queue) {
	for _, registered := range p.queues {
		if registered == q {
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

// placer searches all endpoints for the first one with enough available
// capacity.
type placer struct {
	nodes []*work.Node
}

// Rebuild replaces all endpoints, given in order, and sets their Leaf.
func (p *placer) Rebuild(nodes []*work.Node) {
	p.nodes = append(p.nodes[:0], nodes...)
	for i, n := range p.nodes {
		n.Leaf = i
	}
}

// Update does nothing: First reads the available capacity of each endpoint.
func (p *placer) Update(*work.Node) {}

// First returns the first endpoint whose available capacity fits w.Size and
// that w allows, or nil.
func (p *placer) First(w *work.PlacementQuery) *work.Node {
	for _, n := range p.nodes {
		if w.Size.Fits(n.AvailableCapacity()) && w.Allows(n) {
			return n
		}
	}
	return nil
}
