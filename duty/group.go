package duty

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Runner is a duty of any message type, started by a Group.
type Runner interface {
	Name() string
	// Stop makes the duty process its queued messages and end.
	Stop()

	run() error
}

// Group runs the duties of a process and blocking calls of libraries, such as an
// HTTP server's Serve.
type Group struct {
	threads *errgroup.Group
	ctx     context.Context
}

// NewGroup returns an empty group. The group's context ends with ctx or on the first
// error.
func NewGroup(ctx context.Context) *Group {
	threads, inner := errgroup.WithContext(ctx)
	return &Group{threads: threads, ctx: inner}
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Start runs the duties, each on a thread of its own.
func (g *Group) Start(duties ...Runner) {
	for _, d := range duties {
		g.threads.Go(d.run)
	}
}

// Serve runs a library's blocking call until it returns. serve must return
// once the group's context has ended.
func (g *Group) Serve(serve func(ctx context.Context) error) {
	g.threads.Go(func() error { return serve(g.ctx) })
}

// Each calls do for each i in [0, n), at most limit calls at a time, each on a
// thread of its own. It waits for all calls and returns the first error.
func Each(n, limit int, do func(i int) error) error {
	var threads errgroup.Group
	threads.SetLimit(limit)
	for i := range n {
		threads.Go(func() error { return do(i) })
	}
	return threads.Wait()
}

// Wait waits until all duties and calls have ended and returns the first error.
func (g *Group) Wait() error { return g.threads.Wait() }
