package placement

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// Tree is a segment tree over the endpoints in placement order. Each inner node
// holds, for each resource, the maximum available capacity of the endpoints
// below it, so that a search skips subtrees without enough capacity.
type Tree struct {
	nodes     []*work.Node
	available []model.Resources
	leafCount int
}

// NewTree returns a tree without endpoints.
func NewTree() *Tree { return &Tree{} }

// Rebuild replaces all endpoints, given in order, and sets their Leaf.
func (t *Tree) Rebuild(nodes []*work.Node) {
	t.nodes = append(t.nodes[:0], nodes...)
	t.leafCount = 1
	for t.leafCount < len(nodes) {
		t.leafCount *= 2
	}
	t.available = make([]model.Resources, 2*t.leafCount)
	for i := range t.available {
		t.available[i] = model.Resources{-1, -1, -1, -1, -1}
	}
	for i, n := range nodes {
		n.Leaf = i
		t.available[t.leafCount+i] = n.AvailableCapacity()
	}
	for i := t.leafCount - 1; i >= 1; i-- {
		t.available[i] = t.available[2*i].Max(t.available[2*i+1])
	}
}

// Update must be called after AvailableCapacity of the endpoint has changed. It updates the
// leaf and those ancestors whose maximum changes.
func (t *Tree) Update(n *work.Node) {
	i := t.leafCount + n.Leaf
	t.available[i] = n.AvailableCapacity()
	for i /= 2; i >= 1; i /= 2 {
		available := t.available[2*i].Max(t.available[2*i+1])
		if available == t.available[i] {
			return
		}
		t.available[i] = available
	}
}

// First returns the first endpoint whose available capacity fits w.Size and
// that w allows, or nil.
func (t *Tree) First(w *work.PlacementQuery) *work.Node {
	if len(t.nodes) == 0 {
		return nil
	}
	return t.search(1, w)
}

func (t *Tree) search(i int, w *work.PlacementQuery) *work.Node {
	if !fits(&w.Size, &t.available[i]) {
		return nil
	}
	if i >= t.leafCount {
		if n := t.nodes[i-t.leafCount]; w.Allows(n) {
			return n
		}
		return nil
	}
	if n := t.search(2*i, w); n != nil {
		return n
	}
	return t.search(2*i+1, w)
}

// fits is Resources.Fits without copying its arguments.
func fits(size, available *model.Resources) bool {
	for r := range size {
		if size[r] > available[r] {
			return false
		}
	}
	return true
}
