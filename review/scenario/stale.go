//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["stale"] = staleCommands }

const (
	// freezeTime is how long a machine stands still.
	freezeTime = 3500 * time.Millisecond
	// crashAt is the time from the freeze to the crash of some workers, crashShare their
	// share, restartTime the time until they start again.
	crashAt     = 2500 * time.Millisecond
	crashShare  = 0.14
	restartTime = 600 * time.Millisecond
	// freezes is the number of freezes, freezePeriod the time from one to the next.
	freezes      = 9
	freezePeriod = 9 * time.Second
)

// staleCommands freezes one machine after the other. During each freeze some workers
// crash and start again.
func staleCommands(ctx context.Context, r *record, trouble bool) ([]string, error) {
	s, err := startSite(ctx, r, 3, 104, config(1, map[string]any{}), nil)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	for _, w := range s.workers {
		w.mu.Lock()
		w.behave = func(string) (time.Duration, string) { return 1500 * time.Millisecond, "done" }
		w.mu.Unlock()
	}
	c := newClients(s)
	until := time.Now().Add(5*time.Second + freezes*freezePeriod)
	for i := range 4 {
		s.group.Serve(func(context.Context) error {
			sleep(ctx, time.Duration(i)*400*time.Millisecond)
			for time.Now().Before(until) && ctx.Err() == nil {
				c.submit(ctx, newID(), batchJob("batch", 60, 4500))
				sleep(ctx, 1600*time.Millisecond)
			}
			return nil
		})
	}
	sleep(ctx, 5*time.Second)
	for i := 0; trouble && i < freezes && ctx.Err() == nil; i++ {
		began := time.Now()
		n, err := s.other(i)
		if err != nil {
			return nil, err
		}
		r.add("%s stands still", n.name)
		if err := n.command.Process.Signal(syscall.SIGSTOP); err != nil {
			return nil, err
		}
		sleep(ctx, crashAt)
		s.crashSome(crashShare, restartTime)
		sleep(ctx, time.Until(began.Add(freezeTime)))
		r.add("%s goes on", n.name)
		if err := n.command.Process.Signal(syscall.SIGCONT); err != nil {
			return nil, err
		}
		sleep(ctx, time.Until(began.Add(freezePeriod)))
	}
	sleep(ctx, time.Until(until)+3*time.Second)
	return twice(s), nil
}

// other returns an instance that does not hold the cell.
func (s *site) other(turn int) (*node, error) {
	holder, err := s.holder()
	if err != nil {
		return nil, err
	}
	var others []*node
	for _, n := range s.nodes {
		if n.name != holder {
			others = append(others, n)
		}
	}
	return others[turn%len(others)], nil
}

// holder returns the name of the instance that holds the cell, by the lease row in the
// store.
func (s *site) holder() (string, error) {
	response, err := http.Get("http://" + s.table.Address + "/v1/rows-get?table=holder&part=lease")
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var page struct {
		Rows []struct {
			Value []byte `json:"value"`
		} `json:"rows"`
	}
	var lease struct {
		Node string `json:"node"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil || len(page.Rows) != 1 {
		return "", fmt.Errorf("no lease row: %v", err)
	}
	if err := json.Unmarshal(page.Rows[0].Value, &lease); err != nil {
		return "", err
	}
	return lease.Node, nil
}

// crashSome crashes a share of the workers, each of which starts again under the same id.
func (s *site) crashSome(share float64, down time.Duration) {
	for _, i := range rand.Perm(len(s.workers))[:int(share*float64(len(s.workers)))] {
		w := s.workers[i]
		w.crash()
		s.group.Serve(func(ctx context.Context) error {
			w.reboot(ctx, down)
			return nil
		})
	}
}

// twice returns the tasks of which two runs were at work at the same time on workers that
// were up, or of which a run began after one had ended done.
func twice(s *site) []string {
	var mu sync.Mutex
	var broken []string
	byTask := map[string][]taskRun{}
	for _, run := range s.runs.snapshot() {
		for _, before := range byTask[run.task] {
			if text := conflict(before, run); text != "" {
				mu.Lock()
				broken = append(broken, fmt.Sprintf("TWICE: %s: run %d on %s and run %d on %s: %s", run.task, before.number, before.worker, run.number, run.worker, text))
				mu.Unlock()
			}
		}
		byTask[run.task] = append(byTask[run.task], run)
	}
	return broken
}

// conflict tells why two runs of a task, the first of which began earlier, break the rule.
// A done run counts only if its end was taken note of.
func conflict(first, second taskRun) string {
	switch {
	case first.ended.IsZero() || second.began.Before(first.ended):
		return "at the same time"
	case first.how == "done" && !first.noted.IsZero():
		return "the first one was done and taken note of"
	default:
		return ""
	}
}
