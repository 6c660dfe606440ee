//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

// chaos is a search, not a case: jobs of all kinds beside kills and restarts.
func chaos(s *site) (bool, error) {
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	for i := range 8 {
		s.addWorker(fmt.Sprintf("i-%02d", i), []string{"a", "b"}[i%2], fmt.Sprintf("r%d", i/2))
	}
	s.configure(1, route{name: "allergen-screen", prefix: "/screen/", priority: 2, objectiveMS: 3000},
		route{name: "label-verify", prefix: "/label/", priority: 0, objectiveMS: 250})
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	type sent struct {
		path, id string
		body     map[string]any
	}
	var all []sent
	begin := time.Now()
	next := 0
	kill := time.Now().Add(4 * time.Second)
	crash := time.Now().Add(3 * time.Second)
	for time.Since(begin) < 30*time.Second {
		next++
		id := fmt.Sprintf("%016x", next)
		path := []string{"/screen/", "/label/"}[r.IntN(2)]
		st := map[string]any{"count": 1 + r.IntN(5), "cpu": 200 + r.IntN(2000), "mem-mb": 100, "est-ms": 300}
		switch r.IntN(4) {
		case 0:
			st["requires"] = []string{"a", "b", "r0", "r1", "r2", "r3"}[r.IntN(6)]
		case 1:
			st["anti-affinity"] = 1
		case 2:
			st["speculative"] = true
		}
		body := map[string]any{"spec": fmt.Sprintf("ms=%d", 100+r.IntN(800)), "steps": []any{st}}
		if r.IntN(3) == 0 {
			body["steps"] = []any{st, map[string]any{"count": 2, "cpu": 300, "mem-mb": 64, "est-ms": 300, "after": []int{0}}}
		}
		if r.IntN(4) == 0 {
			body["max-runs"], body["initial-ms"], body["interval-ms"] = 3+r.IntN(40), time.Now().UnixMilli()+int64(r.IntN(2000)), 100+r.IntN(400)
		}
		n := s.nodes[r.IntN(len(s.nodes))]
		for range 8 {
			status, _ := s.call(n, "POST", path+id, body)
			if status == 200 {
				all = append(all, sent{path, id, body})
				break
			}
			n = s.nodes[r.IntN(len(s.nodes))]
			time.Sleep(150 * time.Millisecond)
		}
		if s.trouble && time.Now().After(kill) {
			kill = time.Now().Add(time.Duration(3+r.IntN(4)) * time.Second)
			n := s.nodes[r.IntN(len(s.nodes))]
			if r.IntN(3) == 0 {
				n.signal(syscall.SIGSTOP)
				time.AfterFunc(time.Duration(500+r.IntN(3500))*time.Millisecond, func() { n.signal(syscall.SIGCONT) })
				s.log("stop %s", n.name)
			} else {
				s.log("kill %s", n.name)
				n.kill()
				time.Sleep(300 * time.Millisecond)
				if err := n.launch(); err != nil {
					return false, err
				}
			}
		}
		if s.trouble && time.Now().After(crash) {
			crash = time.Now().Add(time.Duration(2+r.IntN(4)) * time.Second)
			w := s.workers[r.IntN(len(s.workers))]
			down := time.Duration(r.IntN(2500)) * time.Millisecond
			time.AfterFunc(0, func() { w.restart(down) })
		}
		time.Sleep(time.Duration(30+r.IntN(120)) * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	bad := 0
	for _, j := range all {
		_, text := s.call(s.nodes[0], "GET", j.path+j.id, nil)
		if text != `{"state":"completed"}` {
			raw, _ := json.Marshal(j.body)
			s.log("BAD job %s is %s: %s", j.id, text, raw)
			bad++
		}
	}
	raw, err := os.ReadFile(os.Args[2])
	if err != nil {
		return false, err
	}
	// Two runs of a task at the same time, or a start after an end as done.
	live, done := map[string]string{}, map[string]bool{}
	noted := map[string]bool{}
	for _, line := range strings.Split(string(raw), "\n") {
		if f := strings.Fields(line); len(f) == 6 && f[4] == "noted" {
			noted[f[3]] = true
		}
	}
	for _, line := range strings.Split(string(raw), "\n") {
		f := strings.Fields(line)
		if len(f) < 5 || f[1] != "worker" {
			continue
		}
		task, run, _ := strings.Cut(f[3], "#")
		switch {
		case f[4] == "starts":
			if live[task] != "" {
				s.log("BAD twice at once: %s, also %s", line, live[task])
				bad++
			}
			if done[task] {
				s.log("BAD start after an end as done that is noted: %s", line)
				bad++
			}
			live[task] = run + f[2]
		case f[4] == "ends":
			if live[task] == run+f[2] {
				delete(live, task)
			}
			if len(f) > 5 && f[5] == "done" && noted[f[3]] {
				done[task] = true
			}
		}
	}
	s.log("%d jobs, %d bad", len(all), bad)
	return bad > 0, nil
}
