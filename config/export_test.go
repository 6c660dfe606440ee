package config

import "context"

// HeadWrites is headWrites for tests that put a version into the table.
var HeadWrites = headWrites

// RunChange makes the change on the caller's thread.
func RunChange(w *Writer, change Change) Outcome {
	a := &attempt{writer: w, ctx: context.Background(), change: change}
	return a.run()
}
