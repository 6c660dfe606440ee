//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
)

// A worker is a stand-in of the platform's workers. It runs as a process of its own, so that
// a SIGKILL ends it as a crash does. What a task does follows from its spec: "serve" works
// until it is stopped and is at work startupTime after its start, any other spec is the time
// that the task takes.
type worker struct {
	id    string
	began time.Time

	mu       sync.Mutex
	fence    uint64
	leaseEnd int64
	running  map[string]*activeRun
	highest  map[string]int
	ended    [][5]any
	lastEnd  int64
}

type activeRun struct {
	task  string
	run   int
	began time.Time
	work  time.Duration // 0 for a task that lasts
}

const (
	startupTime = 300 * time.Millisecond
	workerPoll  = 5 * time.Millisecond
	maxLease    = 10 * time.Second
)

type command struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"last-seen"`
	Wait     int    `json:"wait-ms"`
}

// runWorker serves the worker with the ID at the address until the process is killed.
func runWorker(id, address string) error {
	w := &worker{id: id, began: time.Now(), running: map[string]*activeRun{}, highest: map[string]int{}}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.handle(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /v1/hold", w.handle(w.hold))
	fmt.Printf("up %d\n", w.born())
	group := duty.NewGroup(context.Background())
	group.Serve(func(context.Context) error { return w.work() })
	group.Serve(func(context.Context) error { return http.Serve(listener, mux) })
	return group.Wait()
}

func (w *worker) born() int64  { return w.began.UnixMilli() }
func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

func (w *worker) handle(f func(command) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("Expect-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if c.Fence >= w.fence {
			w.fence = c.Fence
			status, body = f(c)
		}
		body["clock-ms"], body["born"] = w.clock(), w.born()
		raw, err := json.Marshal(body)
		w.mu.Unlock()
		if err != nil {
			panic(err)
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_, _ = rw.Write(raw)
	}
}

func (w *worker) extend(until int64) {
	w.leaseEnd = max(w.leaseEnd, min(until, w.clock()+maxLease.Milliseconds()))
}

func (w *worker) start(c command) (int, map[string]any) {
	if c.Until <= w.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	w.extend(c.Until)
	if r := w.running[c.Task]; r != nil && r.run == c.Run {
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= w.highest[c.Task] {
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	w.highest[c.Task] = c.Run
	duration, err := time.ParseDuration(c.Spec)
	if err != nil {
		duration = 0
	}
	w.running[c.Task] = &activeRun{c.Task, c.Run, time.Now(), duration}
	fmt.Printf("start %s %d fence %d\n", c.Task, c.Run, c.Fence)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(c command) (int, map[string]any) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.run == c.Run {
		w.end(r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) end(r *activeRun, how string) {
	delete(w.running, r.task)
	w.lastEnd++
	w.ended = append(w.ended, [5]any{w.lastEnd, r.task, r.run, how, ""})
	fmt.Printf("end %s %d %s\n", r.task, r.run, how)
}

// hold is called with mu, which it releases while it waits.
func (w *worker) hold(c command) (int, map[string]any) {
	w.extend(c.Until)
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= c.LastSeen {
		w.ended = w.ended[1:]
	}
	deadline := time.Now().Add(time.Duration(c.Wait) * time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(deadline) {
		w.mu.Unlock()
		time.Sleep(workerPoll)
		w.mu.Lock()
	}
	running := [][5]any{}
	for _, r := range w.running {
		percent := 0
		if age := time.Since(r.began); r.work > 0 {
			percent = int(100 * age / r.work)
		} else if age >= startupTime {
			percent = 100
		}
		running = append(running, [5]any{r.task, r.run, "", min(percent, 100), 0})
	}
	ended := w.ended
	if ended == nil {
		ended = [][5]any{}
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended[:min(len(ended), 500)]}
}

// work ends the tasks that are done, and all of them when the lease has expired.
func (w *worker) work() error {
	for {
		time.Sleep(workerPoll)
		w.mu.Lock()
		for _, r := range w.running {
			switch {
			case w.leaseEnd <= w.clock():
				w.end(r, "lapsed")
			case r.work > 0 && time.Since(r.began) >= r.work:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func isWorkerLine(line string) bool {
	return strings.HasPrefix(line, "up ") || strings.HasPrefix(line, "start ") || strings.HasPrefix(line, "end ")
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}
