//go:build review

package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["numbers"] = reusedNumbers }

const (
	// serviceTasks is the number of tasks of the service.
	serviceTasks = 2
	// loopRuns is the number of runs of each task after which the service no longer
	// fails, loopTime bounds the time until then.
	loopRuns = 1300
	loopTime = 84 * time.Second
	// restartDelay is the time after which a killed process is started again.
	restartDelay = time.Second
	// settleTime is the time from the kill until the service's tasks end once more.
	settleTime = 8 * time.Second
	// watchTime is how long the service is watched after that.
	watchTime = 12 * time.Second
	// lastingIdle is the time since its last run after which a lasting task has to run,
	// down the time without a run that breaks the rule.
	lastingIdle = 6 * time.Second
	down        = 3 * time.Second
)

// reusedNumbers runs a service on the only worker with a label. Its tasks fail for a
// while and then run well. Then the instance that holds the cell is killed, and some
// seconds later each task ends once.
func reusedNumbers(ctx context.Context, r *record, trouble bool) ([]string, error) {
	s, err := startSite(ctx, r, 3, 48, config(1, map[string]any{}), nil)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	var well, stopped atomic.Bool
	var endAt atomic.Int64
	for i, w := range s.workers {
		w.mu.Lock()
		if i == 0 {
			w.kind = "b"
		}
		w.behave = func(spec string) (time.Duration, string) {
			if spec != "service" {
				return 800 * time.Millisecond, "done"
			}
			if !well.Load() {
				return time.Millisecond, "failed"
			}
			if left := time.Until(time.UnixMilli(endAt.Load())); left > 0 {
				return left, "failed"
			}
			return time.Hour, "done"
		}
		w.mu.Unlock()
	}
	c := newClients(s)
	service := newID()
	c.submit(ctx, service, map[string]any{"spec": "service", "steps": []any{map[string]any{"count": serviceTasks, "cpu": 1000, "mem-mb": 100, "daemon": true, "requires": "b"}}})
	s.group.Serve(func(context.Context) error {
		for ctx.Err() == nil && !stopped.Load() {
			c.submit(ctx, newID(), batchJob("screen", 2, 1000))
			sleep(ctx, 25*time.Millisecond)
		}
		return nil
	})
	for began := time.Now(); time.Since(began) < loopTime && s.fewestRuns(service) < loopRuns && ctx.Err() == nil; {
		sleep(ctx, 200*time.Millisecond)
	}
	endAt.Store(time.Now().Add(2*time.Second + settleTime).UnixMilli())
	well.Store(true)
	r.add("the service no longer fails, after at least %d runs of each task", s.fewestRuns(service))
	sleep(ctx, 2*time.Second)
	if trouble {
		if err := s.killHolder(ctx); err != nil {
			return nil, err
		}
	}
	sleep(ctx, time.Until(time.UnixMilli(endAt.Load()))+watchTime)
	stopped.Store(true)
	return s.downTooLong(service), nil
}

// fewestRuns returns the least number of runs that a task of the job has had.
func (s *site) fewestRuns(job string) int {
	count := map[string]int{}
	for _, run := range s.runs.snapshot() {
		if run.job == job {
			count[run.task]++
		}
	}
	least := 0
	for _, n := range count {
		if least == 0 || n < least {
			least = n
		}
	}
	return least
}

// killHolder kills the instance that holds the cell and starts it again.
func (s *site) killHolder(ctx context.Context) error {
	holder, err := s.holder()
	if err != nil {
		return err
	}
	for _, n := range s.nodes {
		if n.name != holder {
			continue
		}
		s.record.add("%s is killed", n.name)
		if err := n.command.Process.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-n.ended
		sleep(ctx, restartDelay)
		return s.start(n)
	}
	return fmt.Errorf("no node %s", holder)
}

// downTooLong returns the service's tasks that had no run for too long since their last
// one.
func (s *site) downTooLong(service string) []string {
	last := map[string]taskRun{}
	for _, run := range s.runs.snapshot() {
		if run.job == service {
			last[run.task] = run
		}
	}
	var broken []string
	for task, run := range last {
		idle := time.Since(run.ended)
		s.record.add("%s: last run %d ended %q", task, run.number, run.how)
		if !run.ended.IsZero() && idle >= lastingIdle+down {
			broken = append(broken, fmt.Sprintf("LOST: lasting task %s has had no run for %.1f s", task, idle.Seconds()))
		}
	}
	return broken
}
