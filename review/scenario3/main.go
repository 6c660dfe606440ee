//go:build review3

// Command scenario3 runs the cases of the third review: it starts processes of hornbeam-node
// against stand-ins of the platform, the workers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*site) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenario3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(scenario func(*site) (bool, error), record string) int {
	s, err := newSite(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	broken, err := scenario(s)
	switch {
	case err != nil:
		s.log("not run: %v", err)
		return exitNotRun
	case broken:
		s.log("verdict: the rule was broken")
		return exitBroken
	}
	s.log("verdict: the rule held")
	return exitHeld
}
