package chart

import (
	"encoding/xml"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// document is the root element of an SCXML file.
type document struct {
	XMLName xml.Name       `xml:"http://www.w3.org/2005/07/scxml scxml"`
	Name    string         `xml:"name,attr"`
	Initial string         `xml:"initial,attr"`
	States  []stateElement `xml:"state"`
	Finals  []stateElement `xml:"final"`
	Unknown []otherElement `xml:",any"`
}

// stateElement is a <state> or <final> element.
type stateElement struct {
	ID          string              `xml:"id,attr"`
	Initial     string              `xml:"initial,attr"`
	OnEntry     []contentElement    `xml:"onentry"`
	OnExit      []contentElement    `xml:"onexit"`
	Transitions []transitionElement `xml:"transition"`
	States      []stateElement      `xml:"state"`
	Finals      []stateElement      `xml:"final"`
	Unknown     []otherElement      `xml:",any"`
}

// transitionElement is a <transition> element. Without target and content it lists
// events that the state ignores.
type transitionElement struct {
	Event   string         `xml:"event,attr"`
	Cond    string         `xml:"cond,attr"`
	Target  string         `xml:"target,attr"`
	Sends   []sendElement  `xml:"send"`
	Unknown []otherElement `xml:",any"`
}

// contentElement is the executable content of <onentry> and <onexit>.
type contentElement struct {
	Sends   []sendElement  `xml:"send"`
	Unknown []otherElement `xml:",any"`
}

// sendElement names an action that the host performs.
type sendElement struct {
	Event string `xml:"event,attr"`
}

// otherElement is an element outside the subset.
type otherElement struct {
	XMLName xml.Name
}

// node is a state of the tree: a leaf, a composite or a final state.
type node struct {
	id          string
	parent      *node
	initial     string
	final       bool
	children    []*node
	onEntry     []string
	onExit      []string
	transitions []transition
	leaf        State
}

// transition is a <transition> element for one of its events.
type transition struct {
	event   string
	guard   string
	negated bool
	target  string
	actions []string
}

// Parse reads the SCXML subset of this package from r, checks it and returns
// the chart. file names the source in errors. Faults of the chart are of type *Error.
func Parse(file string, r io.Reader) (*Chart, error) {
	var doc document
	if err := xml.NewDecoder(r).Decode(&doc); err != nil {
		return nil, eris.Wrapf(err, "chart %s", file)
	}
	b := &builder{file: file, nodes: map[string]*node{}}
	b.reject("", doc.Unknown)
	roots := b.addAll(nil, doc.States, doc.Finals)
	c := &Chart{file: file, name: doc.Name, initial: doc.Initial, roots: roots, nodes: b.nodes}
	if b.err != nil {
		return nil, b.err
	}
	if err := c.number(); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// builder converts elements to nodes and keeps the first error.
type builder struct {
	file  string
	nodes map[string]*node
	err   error
}

func (b *builder) fail(state, problem string) {
	if b.err == nil {
		b.err = &Error{File: b.file, State: state, Problem: problem}
	}
}

func (b *builder) reject(state string, unknown []otherElement) {
	for _, u := range unknown {
		b.fail(state, "element <"+u.XMLName.Local+"> is not in the subset")
	}
}

func (b *builder) addAll(parent *node, states, finals []stateElement) []*node {
	var added []*node
	for i := range states {
		added = append(added, b.add(parent, &states[i], false))
	}
	for i := range finals {
		added = append(added, b.add(parent, &finals[i], true))
	}
	return added
}

func (b *builder) add(parent *node, e *stateElement, final bool) *node {
	n := &node{id: e.ID, parent: parent, initial: e.Initial, final: final}
	if e.ID == "" {
		b.fail("", "a state has no id")
	}
	if b.nodes[e.ID] != nil {
		b.fail(e.ID, "the id is used twice")
	}
	b.nodes[e.ID] = n
	b.reject(e.ID, e.Unknown)
	n.onEntry = b.content(e.ID, e.OnEntry)
	n.onExit = b.content(e.ID, e.OnExit)
	for _, t := range e.Transitions {
		n.transitions = append(n.transitions, b.transitions(e.ID, t)...)
	}
	n.children = b.addAll(n, e.States, e.Finals)
	if final && (len(n.transitions) > 0 || len(n.children) > 0) {
		b.fail(e.ID, "a final state has transitions or children")
	}
	return n
}

func (b *builder) content(state string, elements []contentElement) []string {
	var actions []string
	for _, e := range elements {
		b.reject(state, e.Unknown)
		actions = append(actions, sends(e.Sends)...)
	}
	return actions
}

func (b *builder) transitions(state string, e transitionElement) []transition {
	b.reject(state, e.Unknown)
	events := strings.Fields(e.Event)
	if len(events) == 0 {
		b.fail(state, "a transition names no event")
	}
	guard, negated := strings.CutPrefix(e.Cond, "!")
	var all []transition
	for _, event := range events {
		all = append(all, transition{
			event:   event,
			guard:   guard,
			negated: negated,
			target:  e.Target,
			actions: sends(e.Sends),
		})
	}
	return all
}

func sends(elements []sendElement) []string {
	var names []string
	for _, e := range elements {
		names = append(names, e.Event)
	}
	return names
}
