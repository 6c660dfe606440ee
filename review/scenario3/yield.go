//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["yield"] = yieldingHolder }

// holder returns the node that holds the cell by the lease row; nil if there is none.
func (s *site) holder() *node {
	raw, found := s.table.Row("holder", "lease", "lease")
	var lease struct {
		Node string `json:"node"`
	}
	if !found || json.Unmarshal(raw, &lease) != nil {
		return nil
	}
	for _, n := range s.nodes {
		if n.name == lease.Node {
			return n
		}
	}
	return nil
}

// yieldingHolder loses a worker with a lasting task for good, and at the same time the
// instance that holds the cell, the largest one, for 3.5 s.
func yieldingHolder(s *site) (bool, error) {
	for i := range 10 {
		s.addWorker(fmt.Sprintf("i-%02d", i), "a", fmt.Sprintf("r%d", i/2))
	}
	s.configure(1, route{name: "allergen-screen", prefix: "/screen/", priority: 2, objectiveMS: 3000})
	if err := s.startNodesOf("0.8", "0.192", "0.192"); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	const size = 890
	if err := s.submit("/screen/", "0000000000000100", "daemon", step{Count: 1, CPU: size, Memory: 3300, Daemon: true}); err != nil {
		return false, err
	}
	const task = "0000000000000100.0.0.0"
	time.Sleep(2 * time.Second)
	var lost *worker
	for _, w := range s.workers {
		if _, here := w.tasks(task); here {
			lost = w
		}
	}
	holder := s.holder()
	if lost == nil || holder == nil {
		return false, fmt.Errorf("the lasting task does not run, or no instance holds the cell")
	}
	s.log("%s holds the cell", holder.name)
	lastRun := time.Now()
	if s.trouble {
		s.log("disruption: worker %s is lost for good, and %s loses power for 3.5 s", lost.id, holder.name)
		lost.end()
		holder.kill()
		time.Sleep(3500 * time.Millisecond)
		if err := holder.launch(); err != nil {
			return false, err
		}
		s.log("%s is back", holder.name)
	}
	// The task may be away for 6 s, and the disruption has been over for 4 s by then.
	idle := s.watchTask(task, lastRun.Add(restartTime+2*time.Second), 12*time.Second, size)
	if now := s.holder(); now != nil {
		s.log("%s holds the cell", now.name)
	}
	return idle > idleTime, nil
}
