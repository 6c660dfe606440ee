package placement

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// Tree is a segment tree over the endpoints in their order. Each inner entry
// holds, for each resource, the most room of any endpoint below it, so that a
// search passes over what is full.
type Tree struct {
	nodes []*work.Node
	rooms []model.Resources
	width int
}

// NewTree returns a tree without endpoints.
func NewTree() *Tree { return &Tree{} }

// Rebuild takes all endpoints in their order and sets their leaves.
func (t *Tree) Rebuild(nodes []*work.Node) {
	t.nodes = append(t.nodes[:0], nodes...)
	t.width = 1
	for t.width < len(nodes) {
		t.width *= 2
	}
	t.rooms = make([]model.Resources, 2*t.width)
	for i := range t.rooms {
		t.rooms[i] = model.Resources{-1, -1, -1, -1, -1}
	}
	for i, n := range nodes {
		n.Leaf = i
		t.rooms[t.width+i] = n.Room()
	}
	for i := t.width - 1; i >= 1; i-- {
		t.rooms[i] = t.rooms[2*i].Max(t.rooms[2*i+1])
	}
}

// Update takes the room of an endpoint.
func (t *Tree) Update(n *work.Node) {
	i := t.width + n.Leaf
	t.rooms[i] = n.Room()
	for i /= 2; i >= 1; i /= 2 {
		room := t.rooms[2*i].Max(t.rooms[2*i+1])
		if room == t.rooms[i] {
			return
		}
		t.rooms[i] = room
	}
}

// First returns the first endpoint with room for w.Size that w allows, or nil.
func (t *Tree) First(w *work.Want) *work.Node {
	if len(t.nodes) == 0 {
		return nil
	}
	return t.search(1, w)
}

func (t *Tree) search(i int, w *work.Want) *work.Node {
	if !fits(&w.Size, &t.rooms[i]) {
		return nil
	}
	if i >= t.width {
		if n := t.nodes[i-t.width]; w.Allows(n) {
			return n
		}
		return nil
	}
	if n := t.search(2*i, w); n != nil {
		return n
	}
	return t.search(2*i+1, w)
}

// fits is Resources.Fits without copies.
func fits(size, room *model.Resources) bool {
	for r := range size {
		if size[r] > room[r] {
			return false
		}
	}
	return true
}
