package chart

import (
	"slices"
	"sort"
)

// Guards binds the names of guards to functions of the subject T.
type Guards[T any] map[string]func(*T) bool

// Actions binds the names of actions to functions of the subject T.
type Actions[T any] map[string]func(*T)

// Machine is a chart compiled for subjects of type T. It is immutable and can be
// shared; the owner of a subject stores the subject's State.
type Machine[T any] struct {
	chart   *Chart
	initial State
	entry   []func(*T)
	events  int
	// cells is the transition table: one cell for each pair of leaf and event, at
	// leaf*events+event.
	cells []cell[T]
}

// cell holds the steps of one leaf on one event in the order in which they are
// tried.
type cell[T any] []step[T]

// step is one transition. It is taken when guard is nil or returns want.
type step[T any] struct {
	guard   func(*T) bool
	want    bool
	ignored bool
	target  State
	actions []func(*T)
}

// Bind compiles c for subjects of type T. It returns an *Error when the chart
// uses a guard or action that is not bound, or a bound one is never used.
func Bind[T any](c *Chart, guards Guards[T], actions Actions[T]) (*Machine[T], error) {
	if err := matchNames(c, guards, actions); err != nil {
		return nil, err
	}
	m := &Machine[T]{chart: c, events: len(c.events)}
	start := c.enter(c.initial)
	m.initial = start.leaf
	m.entry = resolve(actions, entryActions(start, nil))
	for _, leaf := range c.leaves {
		for _, event := range c.events {
			m.cells = append(m.cells, compile(c, leaf, event, guards, actions))
		}
	}
	return m, nil
}

// MustBind is Bind for charts embedded in the program. It panics on an error, which
// any test of the binding package would expose.
func MustBind[T any](c *Chart, guards Guards[T], actions Actions[T]) *Machine[T] {
	m, err := Bind(c, guards, actions)
	if err != nil {
		panic(err)
	}
	return m
}

// Start sets s to the initial state and runs its entry actions.
func (m *Machine[T]) Start(s *State, subject *T) {
	*s = m.initial
	for _, act := range m.entry {
		act(subject)
	}
}

// Fire processes event e for the subject in state s. It reports whether a
// transition was taken; false means that the state ignores the event. The
// state is set before the actions run. An action must not fire an event on
// its own subject.
func (m *Machine[T]) Fire(s *State, e Event, subject *T) bool {
	steps := m.cells[int(*s)*m.events+int(e)]
	for i := range steps {
		st := &steps[i]
		if st.guard != nil && st.guard(subject) != st.want {
			continue
		}
		if st.ignored {
			return false
		}
		*s = st.target
		for _, act := range st.actions {
			act(subject)
		}
		return true
	}
	return false
}

// Chart returns the chart that the machine was compiled from.
func (m *Machine[T]) Chart() *Chart { return m.chart }

// MustState returns the leaf state with the given id and panics when the
// chart has none.
func (m *Machine[T]) MustState(id string) State {
	n := m.chart.nodes[id]
	if n == nil || len(n.children) > 0 {
		panic(m.chart.fault(id, "no such leaf state"))
	}
	return n.leaf
}

// MustSet returns the leaves at or below the states with the given ids and
// panics when the chart lacks one.
func (m *Machine[T]) MustSet(ids ...string) StateSet {
	var set StateSet
	for _, id := range ids {
		if m.chart.nodes[id] == nil {
			panic(m.chart.fault(id, "no such state"))
		}
	}
	for _, leaf := range m.chart.leaves {
		for _, n := range leaf.path() {
			if slices.Contains(ids, n.id) {
				set |= 1 << leaf.leaf
			}
		}
	}
	return set
}

// MustEvent returns the event with the given name and panics when the chart
// has none.
func (m *Machine[T]) MustEvent(name string) Event {
	i, found := slices.BinarySearch(m.chart.events, name)
	if !found {
		panic(m.chart.fault("", "no event "+quote(name)))
	}
	return Event(i)
}

// Name returns the id of state s.
func (m *Machine[T]) Name(s State) string { return m.chart.leaves[s].id }

// Final reports whether s is a final state.
func (m *Machine[T]) Final(s State) bool { return m.chart.leaves[s].final }

func compile[T any](c *Chart, leaf *node, event string, guards Guards[T], actions Actions[T]) cell[T] {
	var steps cell[T]
	if leaf.final {
		return nil
	}
	for _, t := range c.candidates(leaf, event) {
		st := step[T]{want: !t.negated, target: leaf.leaf}
		if t.guard != "" {
			st.guard = guards[t.guard]
		}
		st.ignored = t.target == "" && len(t.actions) == 0
		names := t.actions
		if t.target != "" {
			target := c.enter(t.target)
			st.target = target.leaf
			names = moveActions(leaf, target, t)
		}
		st.actions = resolve(actions, names)
		steps = append(steps, st)
	}
	return steps
}

// moveActions returns the actions of a transition from leaf to target: the exit
// actions of the states left, those of the transition, and the entry actions of the
// states entered.
func moveActions(leaf, target *node, t candidate) []string {
	common := commonAncestor(t.source, target)
	var names []string
	for _, n := range leaf.path() {
		if n == common {
			break
		}
		names = append(names, n.onExit...)
	}
	names = append(names, t.actions...)
	return append(names, entryActions(target, common)...)
}

// entryActions returns the entry actions of the states below common down to target,
// outermost first.
func entryActions(target, common *node) []string {
	var entered []*node
	for _, n := range target.path() {
		if n == common {
			break
		}
		entered = append(entered, n)
	}
	slices.Reverse(entered)
	var names []string
	for _, n := range entered {
		names = append(names, n.onEntry...)
	}
	return names
}

// commonAncestor returns the innermost proper ancestor of both, nil for the
// root of the chart.
func commonAncestor(source, target *node) *node {
	for at := source.parent; at != nil; at = at.parent {
		if slices.Contains(target.path()[1:], at) {
			return at
		}
	}
	return nil
}

func resolve[T any](actions Actions[T], names []string) []func(*T) {
	var bound []func(*T)
	for _, name := range names {
		bound = append(bound, actions[name])
	}
	return bound
}

// matchNames checks that the chart uses exactly the bound names.
func matchNames[T any](c *Chart, guards Guards[T], actions Actions[T]) error {
	usedGuards, usedActions := map[string]string{}, map[string]string{}
	for _, n := range c.nodes {
		for _, t := range n.transitions {
			if t.guard != "" {
				usedGuards[t.guard] = n.id
			}
			markUsed(usedActions, t.actions, n.id)
		}
		markUsed(usedActions, n.onEntry, n.id)
		markUsed(usedActions, n.onExit, n.id)
	}
	if err := compareNames(c, "guard", usedGuards, boundNames(guards)); err != nil {
		return err
	}
	return compareNames(c, "action", usedActions, boundNames(actions))
}

func markUsed(used map[string]string, names []string, state string) {
	for _, name := range names {
		used[name] = state
	}
}

func boundNames[F any](functions map[string]F) []string {
	var names []string
	for name := range functions {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func compareNames(c *Chart, kind string, used map[string]string, bound []string) error {
	for _, name := range boundNames(used) {
		if !slices.Contains(bound, name) {
			return c.fault(used[name], "the "+kind+" "+quote(name)+" is unknown")
		}
	}
	for _, name := range bound {
		if used[name] == "" {
			return c.fault("", "the "+kind+" "+quote(name)+" is bound and never used")
		}
	}
	return nil
}
