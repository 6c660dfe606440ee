//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() { scenarios["service"] = failingService }

const (
	// finish is finish_s of the deployment, idle the span for which a job has nothing
	// running.
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// failingService runs ordinary jobs beside a service whose tasks fail soon after each
// start.
func failingService(ctx context.Context, r *record, trouble bool) ([]string, error) {
	s, err := startSite(ctx, r, 3, 16, config(1, map[string]any{}), nil)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	for _, w := range s.workers {
		w.mu.Lock()
		w.behave = func(spec string) (time.Duration, string) {
			switch spec {
			case "failing service":
				return 100 * time.Millisecond, "failed"
			case "service":
				return time.Hour, "done"
			default:
				return 800 * time.Millisecond, "done"
			}
		}
		w.mu.Unlock()
	}
	c := newClients(s)
	spec := "service"
	if trouble {
		spec = "failing service"
	}
	service := newID()
	c.submit(ctx, service, map[string]any{"spec": spec, "steps": []any{map[string]any{"count": 60, "cpu": 400, "mem-mb": 100, "daemon": true}}})
	delete(c.accepted, service)
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		c.submit(ctx, newID(), batchJob("screen", 2, 1000))
		sleep(ctx, 500*time.Millisecond)
	}
	sleep(ctx, finish)
	return unfinished(s, c), nil
}

// unfinished returns the accepted jobs that are not completed and have had nothing
// running for the idle span, although the workers have room.
func unfinished(s *site, c *clients) []string {
	now := time.Now()
	last, live := map[string]time.Time{}, map[string]bool{}
	for _, run := range s.runs.snapshot() {
		if run.ended.IsZero() {
			live[run.job] = true
		} else if run.ended.After(last[run.job]) {
			last[run.job] = run.ended
		}
	}
	var broken []string
	for _, id := range c.acceptedBefore(now.Add(-idle)) {
		status, state := c.state(id)
		if state == "completed" || live[id] || now.Sub(last[id]) < idle {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: job %s was accepted %.1f s ago, has nothing running and is answered %d %s", id, now.Sub(c.accepted[id]).Seconds(), status, state))
	}
	return broken
}
