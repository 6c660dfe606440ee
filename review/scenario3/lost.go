//go:build review3

package main

import (
	"fmt"
	"time"
)

func init() {
	cases["rack"] = lostRack
	cases["poison"] = poisonedJob
}

const (
	// restartTime is the time after its last run from which a task that lasts has to run
	// unless there is no capacity, idleTime the time for which it may then not run.
	restartTime = 6 * time.Second
	idleTime    = 3 * time.Second
	// calmTime is the time without a disruption before idleTime.
	calmTime = 4 * time.Second
)

// watchTask watches a task from the given time on and returns for how long it did not run
// while under half of the capacity was in use. each is the size of a task.
func (s *site) watchTask(task string, from time.Time, until time.Duration, each int64) (idle time.Duration) {
	time.Sleep(time.Until(from))
	began := time.Now()
	for time.Since(began) < until {
		runs, total := s.runningAt(task)
		if runs {
			s.log("check: %s runs, %.1f s after the start of the check", task, time.Since(began).Seconds())
			return time.Since(began)
		}
		if s.cpuInUse(each) >= 0.5 {
			s.log("check: half of the capacity is in use (%d tasks); the check begins anew", total)
			began, until = time.Now(), until-time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	_, total := s.runningAt(task)
	s.log("check: %s has not run for %.1f s; %d tasks run on all workers, %.0f%% of the processors are in use",
		task, time.Since(began).Seconds(), total, 100*s.cpuInUse(each))
	return time.Since(began)
}

// lostRack loses one of eight racks for good, on which 45 lasting tasks run that need it, and
// hands in further jobs in the same queue.
func lostRack(s *site) (bool, error) {
	for i := range 16 {
		s.addWorker(fmt.Sprintf("i-%02d", i), "a", fmt.Sprintf("r%d", i/2))
	}
	s.configure(1, route{name: "allergen-screen", prefix: "/screen/", priority: 2, objectiveMS: 3000})
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	small := func(n int) step { return step{Count: n, CPU: 100, Memory: 64} }
	for i := range 45 {
		pinned := small(1)
		pinned.Requires, pinned.Daemon = "r7", true
		if err := s.submit("/screen/", fmt.Sprintf("00000000000001%02x", i), "daemon", pinned); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	if _, total := s.runningAt(""); total != 45 {
		return false, fmt.Errorf("%d of 45 lasting tasks run", total)
	}
	if s.trouble {
		s.log("disruption: rack r7, 2 of 16 workers, is lost for good")
		s.workers[14].end()
		s.workers[15].end()
	}
	// Leases and entries have ended by then, and calmTime has passed.
	time.Sleep(20 * time.Second)
	lasting := small(1)
	lasting.Daemon = true
	if err := s.submit("/screen/", "0000000000000200", "daemon", lasting); err != nil {
		return false, err
	}
	for i := range 4 {
		batch := small(2)
		batch.Estimate = 400
		if err := s.submit("/screen/", fmt.Sprintf("00000000000003%02x", i), "ms=400", batch); err != nil {
			return false, err
		}
	}
	idle := s.watchTask("0000000000000200.0.0.0", time.Now(), 10*time.Second, 100)
	broken := idle > idleTime
	// The traffic has ended; jobs are asked for 14 s later.
	time.Sleep(time.Until(time.Now().Add(14*time.Second - idle)))
	for i := range 4 {
		id := fmt.Sprintf("00000000000003%02x", i)
		_, text := s.call(s.nodes[0], "GET", "/screen/"+id, nil)
		if text != `{"state":"completed"}` {
			s.log("check: job %s has not ended 14 s after the traffic", id)
			broken = true
		}
	}
	return broken, nil
}

// poisonedJob hands in 40 jobs in 3 s, of which one can never be done, while a task that
// lasts fails once.
func poisonedJob(s *site) (bool, error) {
	for i := range 4 {
		s.addWorker(fmt.Sprintf("i-%02d", i), "a", fmt.Sprintf("r%d", i/2))
	}
	s.configure(1, route{name: "allergen-screen", prefix: "/screen/", priority: 2, objectiveMS: 3000},
		route{name: "label-verify", prefix: "/label/", priority: 0, objectiveMS: 250})
	if err := s.startNodes(3); err != nil {
		return false, err
	}
	const size = 890
	lasting := step{Count: 1, CPU: size, Memory: 3300, Daemon: true}
	if err := s.submit("/label/", "0000000000000100", "daemon", lasting); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const task = "0000000000000100.0.0.0"
	if runs, _ := s.runningAt(task); !runs {
		return false, fmt.Errorf("the lasting task does not run")
	}
	began := time.Now()
	spec := "ms=600"
	if s.trouble {
		s.log("disruption: one of 40 jobs within 3 s can never be done")
		spec = "ms=600 fail"
	}
	if err := s.submit("/screen/", "0000000000000200", spec, step{Count: 60, CPU: size, Memory: 3300, Estimate: 600}); err != nil {
		return false, err
	}
	for i := range 39 {
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * 75 * time.Millisecond)))
		if err := s.submit("/screen/", fmt.Sprintf("00000000000003%02x", i), "ms=300", step{Count: 2, CPU: size, Memory: 3300, Estimate: 300}); err != nil {
			return false, err
		}
	}
	s.log("the 40 jobs are handed in")
	// A task that lasts may fail at any time.
	for _, w := range s.workers {
		w.failTask(task)
	}
	failedAt := time.Now()
	idle := s.watchTask(task, failedAt.Add(restartTime), 10*time.Second, size)
	if idle < 100*time.Millisecond {
		s.log("check: the lasting task has been started again within 6 s")
	}
	return idle > idleTime, nil
}
