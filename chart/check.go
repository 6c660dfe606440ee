package chart

// check returns the first fault of the chart.
func (c *Chart) check() error {
	if c.name == "" {
		return c.fault("", "the chart has no name")
	}
	if c.enter(c.initial) == nil {
		return c.fault("", "the initial state "+quote(c.initial)+" does not exist")
	}
	for _, n := range c.nodes {
		if err := c.checkTargets(n); err != nil {
			return err
		}
	}
	reached := c.reachable()
	for _, leaf := range c.leaves {
		if !reached[leaf] {
			return c.fault(leaf.id, "the state is unreachable")
		}
		if leaf.final {
			continue
		}
		if err := c.checkLeaf(leaf); err != nil {
			return err
		}
	}
	return nil
}

func (c *Chart) checkTargets(n *node) error {
	if len(n.children) > 0 && !n.isChild(c.nodes[n.initial]) {
		return c.fault(n.id, "the initial state "+quote(n.initial)+" is not a child")
	}
	for _, t := range n.transitions {
		if t.target != "" && c.nodes[t.target] == nil {
			return c.fault(n.id, "the target "+quote(t.target)+" does not exist")
		}
	}
	return nil
}

func (n *node) isChild(other *node) bool {
	return other != nil && other.parent == n
}

// checkLeaf requires a transition to another leaf and, for every event of the
// chart, a transition that is taken when all guards fail.
func (c *Chart) checkLeaf(leaf *node) error {
	hasExit := false
	for _, event := range c.events {
		found := c.candidates(leaf, event)
		if len(found) == 0 {
			return c.fault(leaf.id, "the event "+quote(event)+" is neither handled nor ignored")
		}
		if found[len(found)-1].guard != "" {
			return c.fault(leaf.id, "the event "+quote(event)+" is not handled when every guard fails")
		}
		for _, t := range found {
			hasExit = hasExit || (t.target != "" && c.enter(t.target) != leaf)
		}
	}
	if !hasExit {
		return c.fault(leaf.id, "no transition leaves the state")
	}
	return nil
}

// reachable returns the leaves that can be entered from the initial state.
func (c *Chart) reachable() map[*node]bool {
	reached := map[*node]bool{}
	open := []*node{c.enter(c.initial)}
	for len(open) > 0 {
		leaf := open[len(open)-1]
		open = open[:len(open)-1]
		if reached[leaf] {
			continue
		}
		reached[leaf] = true
		for _, event := range c.events {
			for _, t := range c.candidates(leaf, event) {
				if t.target != "" {
					open = append(open, c.enter(t.target))
				}
			}
		}
	}
	return reached
}

func quote(s string) string { return "\"" + s + "\"" }
