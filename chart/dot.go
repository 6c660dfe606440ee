package chart

import (
	"fmt"
	"io"
	"strings"
)

// Dot writes the chart as Graphviz text to w.
func (c *Chart) Dot(w io.Writer) error {
	out := &strings.Builder{}
	fmt.Fprintf(out, "digraph %q {\n  compound=true;\n", c.name)
	fmt.Fprintf(out, "  start [shape=point];\n  start -> %q;\n", c.enter(c.initial).id)
	for _, n := range c.roots {
		writeNode(out, n, "  ")
	}
	for _, leaf := range c.leaves {
		c.writeEdges(out, leaf)
	}
	out.WriteString("}\n")
	_, err := io.WriteString(w, out.String())
	return err
}

func writeNode(out *strings.Builder, n *node, indent string) {
	if len(n.children) == 0 {
		shape := "box"
		if n.final {
			shape = "doublecircle"
		}
		fmt.Fprintf(out, "%s%q [shape=%s];\n", indent, n.id, shape)
		return
	}
	fmt.Fprintf(out, "%ssubgraph %q {\n%s  label=%q;\n", indent, "cluster_"+n.id, indent, n.id)
	for _, child := range n.children {
		writeNode(out, child, indent+"  ")
	}
	fmt.Fprintf(out, "%s}\n", indent)
}

// writeEdges writes the transitions of the leaf, including those of its ancestors.
func (c *Chart) writeEdges(out *strings.Builder, leaf *node) {
	for _, event := range c.events {
		for _, t := range c.candidates(leaf, event) {
			if t.target == "" {
				continue
			}
			fmt.Fprintf(out, "  %q -> %q [label=%q];\n", leaf.id, c.enter(t.target).id, t.label())
		}
	}
}

func (t transition) label() string {
	label := t.event
	if t.guard != "" && t.negated {
		label += " [!" + t.guard + "]"
	}
	if t.guard != "" && !t.negated {
		label += " [" + t.guard + "]"
	}
	if len(t.actions) > 0 {
		label += " / " + strings.Join(t.actions, ", ")
	}
	return label
}
