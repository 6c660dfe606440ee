// Package chart interprets state charts that are stored in files.
//
// The files are a subset of SCXML (W3C Recommendation of 1 September 2015):
// <scxml>, <state>, <final>, <transition>, <onentry>, <onexit> and <send>.
// States may be nested. A transition's cond names a guard, "!name" its
// negation; <send event="name"/> names an action. Guards and actions are
// functions that the host binds to the names. A transition without target and
// without actions lists events that the state ignores deliberately.
//
// Parse rejects a chart with an unreachable state, a non-final state without a
// transition to another state, or an event that some state neither handles nor
// ignores. Bind compiles the chart to a dense table and rejects names of guards and
// actions that only the chart or only the host has.
package chart

import (
	"slices"
	"sort"
)

// State is a leaf state of a chart, numbered in the order of the file.
type State uint8

// Event is an event of a chart, numbered in the order of its name.
type Event uint8

// maxStates bounds the leaf states of a chart, so that a StateSet fits one word.
const maxStates = 64

// StateSet is a set of leaf states, one bit for each.
type StateSet uint64

// Has reports whether s is in the set.
func (set StateSet) Has(s State) bool { return set&(1<<s) != 0 }

// Error describes a fault in a chart file.
type Error struct {
	File string
	// State is the id of the faulty state; empty when the fault isn't in one state.
	State   string
	Problem string
}

// Error returns file, state and problem in one line.
func (e *Error) Error() string {
	if e.State == "" {
		return "chart " + e.File + ": " + e.Problem
	}
	return "chart " + e.File + ": state " + e.State + ": " + e.Problem
}

// Chart is a parsed and checked state chart.
type Chart struct {
	file    string
	name    string
	initial string
	roots   []*node
	nodes   map[string]*node
	leaves  []*node
	events  []string
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// StateNames returns the ids of the leaf states, indexed by State.
func (c *Chart) StateNames() []string {
	var names []string
	for _, n := range c.leaves {
		names = append(names, n.id)
	}
	return names
}

// EventNames returns the names of the events, indexed by Event.
func (c *Chart) EventNames() []string { return slices.Clone(c.events) }

// number assigns numbers to leaf states and events.
func (c *Chart) number() error {
	named := map[string]bool{}
	var walk func(nodes []*node)
	walk = func(nodes []*node) {
		for _, n := range nodes {
			for _, t := range n.transitions {
				named[t.event] = true
			}
			if len(n.children) == 0 {
				n.leaf = State(len(c.leaves))
				c.leaves = append(c.leaves, n)
			}
			walk(n.children)
		}
	}
	walk(c.roots)
	for event := range named {
		c.events = append(c.events, event)
	}
	sort.Strings(c.events)
	if len(c.leaves) > maxStates {
		return c.fault("", "more than 64 leaf states")
	}
	return nil
}

func (c *Chart) fault(state, problem string) error {
	return &Error{File: c.file, State: state, Problem: problem}
}

// enter returns the leaf that is entered when the state id is the target; nil when
// there is none.
func (c *Chart) enter(id string) *node {
	n := c.nodes[id]
	for n != nil && len(n.children) > 0 {
		n = c.nodes[n.initial]
	}
	return n
}

// candidates returns the transitions of leaf n for event in the order in which
// they are tried: the leaf's own first, then its ancestors'. It ends at the first one
// without a guard, since later ones can't be taken.
func (c *Chart) candidates(n *node, event string) []candidate {
	var found []candidate
	for at := n; at != nil; at = at.parent {
		for _, t := range at.transitions {
			if t.event != event {
				continue
			}
			found = append(found, candidate{source: at, transition: t})
			if t.guard == "" {
				return found
			}
		}
	}
	return found
}

// candidate is a transition with the state that declares it.
type candidate struct {
	source *node
	transition
}

// path returns n and its ancestors, innermost first.
func (n *node) path() []*node {
	var all []*node
	for at := n; at != nil; at = at.parent {
		all = append(all, at)
	}
	return all
}
