package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
)

// BenchmarkJob is the cost of one job of three tasks from its submission to its
// end, while the cell is four fifths full and some steps wait for room.
func BenchmarkJob(b *testing.B) {
	for _, endpoints := range []int{48, 350, 1600} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) { runJobs(b, endpoints) })
	}
}

func runJobs(b *testing.B, endpoints int) {
	gomega.RegisterTestingT(b)
	w := newWorld(1, endpoints)
	fill := jobs.Step{Count: endpoints * 6, Size: size(2000, 1000), Estimate: time.Hour}
	w.submit("fill", batch, fill)
	w.start(w.plan())
	for i := range 40 {
		w.submit(jobs.ID(fmt.Sprintf("wait%d", i)), gangs, jobs.Step{Count: 100_000, Size: size(9000, 1000), Gang: true, Estimate: time.Minute})
	}
	w.plan()
	step := jobs.Step{Count: 3, Size: size(1000, 1000), Estimate: time.Second}
	b.ResetTimer()
	for i := range b.N {
		w.submit(jobs.ID(fmt.Sprintf("job%d", i)), urgent, step)
		plan := w.plan()
		w.start(plan)
		for _, s := range plan.Starts {
			finish(w, s)
		}
		w.plan()
	}
}

// finish lists the end of the run beside what else runs there.
func finish(w *world, s planner.Start) {
	w.ends[s.Endpoint]++
	w.tick(time.Millisecond)
	w.Listed(s.Endpoint, fleet.Listing{Born: 1, Ended: []fleet.End{{Number: w.ends[s.Endpoint], Run: s.Run, Outcome: fleet.Succeeded}}}, time.Time{})
}
