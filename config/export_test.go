package config

import "context"

// HeadWrites exports headWrites for tests that write a version into the table.
var HeadWrites = headWrites

// RunChange executes the change on the caller's thread, without a deadline.
func RunChange(w *Writer, change Change) Outcome {
	a := &attempt{writer: w, ctx: context.Background(), change: change}
	return a.run()
}
