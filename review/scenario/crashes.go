//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() { scenarios["crashes"] = twoCrashes }

const (
	// crashAfter is the time from the start of a task to the crash of its worker.
	crashAfter = 60 * time.Millisecond
	// downTime is the time that a crashed worker is down.
	downTime = 4500 * time.Millisecond
)

// twoCrashes crashes the worker that runs a job's only task, and some seconds later the
// worker that runs it again. No run of the task fails.
func twoCrashes(ctx context.Context, r *record, trouble bool) ([]string, error) {
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
			if spec == "screen" {
				return 3 * time.Second, "done"
			}
			return 800 * time.Millisecond, "done"
		}
		w.mu.Unlock()
	}
	c := newClients(s)
	s.group.Serve(func(context.Context) error {
		for end := time.Now().Add(45 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
			c.submit(ctx, newID(), batchJob("label", 2, 1000))
			sleep(ctx, 250*time.Millisecond)
		}
		return nil
	})
	sleep(ctx, 3*time.Second)
	id := newID()
	c.submit(ctx, id, batchJob("screen", 1, 1000))
	for number := 1; trouble && number <= 2; number++ {
		run, found := s.awaitRun(ctx, id, number)
		if !found {
			break
		}
		sleep(ctx, time.Until(run.began.Add(crashAfter)))
		if err := s.crash(run.worker); err != nil {
			return nil, err
		}
	}
	sleep(ctx, 42*time.Second)
	return falselyFailed(s, c), nil
}

// awaitRun waits for the job's run with the given position in the order of starts.
func (s *site) awaitRun(ctx context.Context, job string, position int) (taskRun, bool) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && ctx.Err() == nil; {
		n := 0
		for _, run := range s.runs.snapshot() {
			if run.job == job {
				n++
			}
			if n == position {
				return run, true
			}
		}
		sleep(ctx, 5*time.Millisecond)
	}
	return taskRun{}, false
}

// crash crashes the worker and starts it under a new id after downTime.
func (s *site) crash(id string) error {
	for _, w := range s.workers {
		if !w.isUp(id) {
			continue
		}
		w.crash()
		s.group.Serve(func(ctx context.Context) error {
			w.rename()
			w.reboot(ctx, downTime)
			return nil
		})
		return nil
	}
	return fmt.Errorf("no worker %s is up", id)
}

// falselyFailed returns the jobs that are shown as failed although no run of them has
// ended failed, and nobody has cancelled them.
func falselyFailed(s *site, c *clients) []string {
	ends := map[string]string{}
	failed := map[string]bool{}
	for _, run := range s.runs.snapshot() {
		ends[run.job] += " " + run.how
		failed[run.job] = failed[run.job] || run.how == "failed"
	}
	var broken []string
	for _, id := range c.acceptedBefore(time.Now()) {
		if _, state := c.state(id); state == "failed" && !failed[id] {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed, its runs ended%s", id, ends[id]))
		}
	}
	return broken
}
