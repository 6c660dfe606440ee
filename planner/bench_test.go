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

// BenchmarkJob measures one job of three tasks from its submission to its end,
// while four fifths of the cell are in use and 40 steps wait for capacity.
func BenchmarkJob(b *testing.B) {
	for _, endpoints := range []int{48, 350, 1600} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) { runJobs(b, endpoints) })
	}
}

func runJobs(b *testing.B, endpoints int) {
	gomega.RegisterTestingT(b)
	f := newFixture(1, endpoints)
	fill := jobs.Step{Count: endpoints * 6, Size: size(2000, 1000), Estimate: time.Hour}
	f.submit("fill", batch, fill)
	f.start(f.plan())
	for i := range 40 {
		f.submit(jobs.ID(fmt.Sprintf("wait%d", i)), gangs, jobs.Step{Count: 100_000, Size: size(9000, 1000), Gang: true, Estimate: time.Minute})
	}
	f.plan()
	step := jobs.Step{Count: 3, Size: size(1000, 1000), Estimate: time.Second}
	b.ResetTimer()
	for i := range b.N {
		f.submit(jobs.ID(fmt.Sprintf("job%d", i)), urgent, step)
		plan := f.plan()
		f.start(plan)
		for _, s := range plan.Starts {
			finish(f, s)
		}
		f.plan()
	}
}

// finish lists the successful end of a run. The listing is requested at the zero
// time, so that the endpoint's other runs don't count as absent.
func finish(f *fixture, s planner.Start) {
	f.ends[s.Endpoint]++
	f.tick(time.Millisecond)
	f.ApplyListing(s.Endpoint, fleet.Listing{Born: 1, Ended: []fleet.End{{Number: f.ends[s.Endpoint], Run: s.Run, Outcome: fleet.Succeeded}}}, time.Time{})
}
