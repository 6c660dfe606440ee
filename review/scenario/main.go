//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// timeLimit ends a case that takes too long.
	timeLimit = 115 * time.Second
)

// scenario plays a case and returns the descriptions of broken rules. It injects the
// disruption only if trouble is set.
type scenario func(ctx context.Context, r *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenario CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", os.Args[1], trouble)
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	broken, err := scenarios[os.Args[1]](ctx, r, trouble)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	}
	for _, b := range broken {
		r.add("BROKEN %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("%d times broken, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
