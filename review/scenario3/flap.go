//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() { cases["flap"] = flappingWorker }

// flappingWorker restarts one of ten workers and loses it for good a second later, with a
// task that lasts.
func flappingWorker(s *site) (bool, error) {
	for i := range 10 {
		s.addWorker(fmt.Sprintf("i-%02d", i), "a", fmt.Sprintf("r%d", i/2))
	}
	s.configure(1, route{name: "allergen-screen", prefix: "/screen/", priority: 2, objectiveMS: 3000})
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	failing := s.workers[0]
	if s.trouble {
		s.log("disruption: worker %s crashes and starts again", failing.id)
		failing.restart(300 * time.Millisecond)
		time.Sleep(400 * time.Millisecond)
	}
	const size = 890
	if err := s.submit("/screen/", "0000000000000100", "daemon", step{Count: 1, CPU: size, Memory: 3300, Daemon: true}); err != nil {
		return false, err
	}
	const task = "0000000000000100.0.0.0"
	time.Sleep(500 * time.Millisecond)
	if _, here := failing.tasks(task); !here {
		runs, _ := s.runningAt(task)
		return false, fmt.Errorf("the lasting task does not run on %s; elsewhere: %v", failing.id, runs)
	}
	if s.trouble {
		s.log("disruption: worker %s is lost for good", failing.id)
		failing.end()
	}
	idle := s.watchTask(task, time.Now().Add(restartTime), 12*time.Second, size)
	return idle > idleTime, nil
}
