//go:build review2

package main

import (
	"fmt"
	"net/http"
	"time"
)

// routeRemoved removes a route by a new configuration while a job that was accepted on it is
// running; without trouble the configuration changes the route's time-out.
func routeRemoved(s *site, trouble bool) (string, error) {
	const id, path = "5c0e7a21d94b36f8", "/batch/5c0e7a21d94b36f8"
	keep := route("line-check", "/check/", 3000)
	s.configure(1, keep, route("recipe-batch", "/batch/", 3000))
	if err := s.start(3, 8); err != nil {
		return "", err
	}
	status, _ := s.call(s.nodes[0], http.MethodPost, path, map[string]any{
		"spec": "2s", "steps": []any{step(4, nil), step(4, map[string]any{"after": []int{0}})},
	})
	if status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	if !await(5*time.Second, func() bool { return len(s.runsOf(id+".0.0.")) == 4 }) {
		return "", fmt.Errorf("the first step has not started")
	}
	if trouble {
		s.configure(4, keep)
	} else {
		s.configure(4, keep, route("recipe-batch", "/batch/", 2500))
	}
	done := func(prefix string) (n int) {
		for _, r := range s.runsOf(prefix) {
			if r.how == "done" {
				n++
			}
		}
		return n
	}
	if !await(15*time.Second, func() bool { return done(id+".0.0.") == 4 }) {
		return "the first step of an accepted job has not ended", nil
	}
	s.note("all tasks of step 0 have ended done; nothing else runs on the 8 workers")
	// The rule allows 3 s; finish_s is 14 s.
	const limit = 14 * time.Second
	if !await(limit, func() bool { return len(s.runsOf(id+".0.1.")) > 0 }) {
		status, state := s.call(s.nodes[1], http.MethodGet, path, nil)
		return fmt.Sprintf("no task of step 1 was started within %v after its turn had come, with all workers idle; GET: %d %s", limit, status, state), nil
	}
	if !await(10*time.Second, func() bool {
		_, state := s.call(s.nodes[1], http.MethodGet, path, nil)
		time.Sleep(500 * time.Millisecond)
		return state == "completed"
	}) {
		return "the job was not completed", nil
	}
	return "", nil
}

// daemonFailed crashes the worker of a task that lasts, soon after each of its first five
// starts.
func daemonFailed(s *site, trouble bool) (string, error) {
	const id, path, task = "a1b2c3d4e5f60718", "/serve/a1b2c3d4e5f60718", "a1b2c3d4e5f60718.0.0.0"
	const (
		crashes    = 5
		crashAfter = 400 * time.Millisecond
		down       = time.Second
	)
	s.configure(1, route("line-monitor", "/serve/", 3000))
	if err := s.start(3, 8); err != nil {
		return "", err
	}
	status, _ := s.call(s.nodes[0], http.MethodPost, path, map[string]any{
		"spec": "serve", "steps": []any{step(1, map[string]any{"daemon": true})},
	})
	if status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	for i := range crashes {
		if !await(15*time.Second, func() bool { return len(s.runsOf(task)) > i }) {
			break
		}
		if !trouble {
			break
		}
		run := s.runsOf(task)[i]
		time.Sleep(crashAfter - time.Since(run.began))
		if err := s.worker(run.worker).crash(down); err != nil {
			return "", err
		}
	}
	s.note("no more disruptions; 8 of 8 workers are up and idle")
	// The rule allows 6 s after the last run, once 3 s and the 4 s before them are calm.
	const calm = 20 * time.Second
	working := func() bool {
		runs := s.runsOf(task)
		return len(runs) > 0 && runs[len(runs)-1].ended.IsZero()
	}
	if !await(calm, working) {
		_, state := s.call(s.nodes[1], http.MethodGet, path, nil)
		return fmt.Sprintf("the task that lasts was not started again within %v, after %d runs of which none ended failed; the job is shown as %q", calm, len(s.runsOf(task)), state), nil
	}
	time.Sleep(3 * time.Second)
	if _, state := s.call(s.nodes[1], http.MethodGet, path, nil); state != "running" || !working() {
		return fmt.Sprintf("the task that lasts does not run, the job is shown as %q", state), nil
	}
	return "", nil
}
