package duty

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Runner is a duty of any message type.
type Runner interface {
	// Name returns the name of the duty.
	Name() string
	// Stop lets the duty work off its ring and end.
	Stop()

	run() error
}

// Group holds the duties of one process and the blocking calls that libraries
// bring along (an HTTP server's Serve, say).
type Group struct {
	threads *errgroup.Group
	ctx     context.Context
}

// NewGroup returns an empty group. The group's context ends with ctx or with
// the first error.
func NewGroup(ctx context.Context) *Group {
	threads, inner := errgroup.WithContext(ctx)
	return &Group{threads: threads, ctx: inner}
}

// Context returns the context that ends with the group.
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

// Each calls do for each number below n, at most limit at a time, each on a
// thread of its own. It returns once all have returned, with the first error.
func Each(n, limit int, do func(i int) error) error {
	var threads errgroup.Group
	threads.SetLimit(limit)
	for i := range n {
		threads.Go(func() error { return do(i) })
	}
	return threads.Wait()
}

// Wait waits for all threads of the group and returns the first error.
func (g *Group) Wait() error { return g.threads.Wait() }
