//go:build review2

// Command scenario2 plays the scripts of the second review: it starts hornbeam-node and
// workers as processes against stand-ins of the platform, and judges what clients and workers
// have seen.
//
//	scenario2 CASE RECORD    exit code 0: the rule held, 1: it was broken, 2: not played
//	scenario2 worker ID ADDRESS
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// scenarios play a case. They return why the rule is broken; empty if it held.
var scenarios = map[string]func(s *site, trouble bool) (string, error){
	"route-removed": routeRemoved,
	"daemon-failed": daemonFailed,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		fatal(runWorker(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fatal(errors.New("usage: scenario2 CASE RECORD"))
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSite(os.Args[2])
	if err != nil {
		fatal(err)
	}
	broken, err := scenarios[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		s.note("not played: %v", err)
	case broken != "":
		s.note("broken: %s", broken)
	default:
		s.note("held")
	}
	s.close()
	switch {
	case err != nil:
		fatal(err)
	case broken != "":
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}

// start starts the nodes and the workers, and waits until they are ready for clients.
func (s *site) start(nodes, workers int) error {
	for range workers {
		if err := s.addWorker(); err != nil {
			return err
		}
	}
	for range nodes {
		if err := s.addNode(); err != nil {
			return err
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	// A holder is elected meanwhile.
	time.Sleep(3 * time.Second)
	return nil
}

// await waits until the condition holds, for the given time at most.
func await(most time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(most); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func step(count int, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": 1000, "mem-mb": 256, "est-ms": 1500}
	for k, v := range more {
		s[k] = v
	}
	return s
}
