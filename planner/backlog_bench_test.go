package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
)

// BenchmarkBacklog measures a round of the planner in which 20 tasks end, while a
// full cell of 350 endpoints has a backlog of thousands of steps, most of them overdue.
func BenchmarkBacklog(b *testing.B) {
	gomega.RegisterTestingT(b)
	f := newAdvisedFixture(350, catalog.Advice{BaseTime: 10 * time.Millisecond, PerEndpoint: 100 * time.Microsecond, TicketValidity: time.Hour})
	f.SetAdviceInstances(44)
	f.SetStopTime(900 * time.Millisecond)
	var started []planner.Start
	round := func() {
		plan := f.plan()
		f.start(plan)
		started = append(started, plan.Starts...)
		for _, q := range plan.AdviceRequests {
			tickets := map[model.EndpointID]string{}
			for i, id := range q.Endpoints {
				if i%10 < 7 {
					tickets[id] = "t"
				}
			}
			f.ApplyAdvice(q, tickets, f.now)
		}
	}
	for i := range 2000 {
		f.submit(jobs.ID(fmt.Sprintf("check%04d", i)), urgent, jobs.Step{Count: 3, Size: size(4700, 17000), Estimate: 640 * time.Millisecond, Gang: i%3 == 0})
	}
	for i := range 400 {
		f.submit(jobs.ID(fmt.Sprintf("refit%04d", i)), batch, jobs.Step{Count: 25, Size: size(3300, 6700), Checkpoints: true, Estimate: 2200 * time.Millisecond})
	}
	for range 200 {
		round()
		f.tick(10 * time.Millisecond)
	}
	f.tick(20 * time.Second)
	for i := range 200 {
		f.submit(jobs.ID(fmt.Sprintf("later%04d", i)), batch, jobs.Step{Count: 25, Size: size(3300, 6700), Checkpoints: true, Estimate: 2200 * time.Millisecond})
	}
	for i := range 60 {
		f.submit(jobs.ID(fmt.Sprintf("settle%04d", i)), gangs, jobs.Step{Count: 20, Size: size(9000, 33000), Gang: true, Estimate: 5 * time.Second})
	}
	round()
	b.ResetTimer()
	for i := range b.N {
		for k := range 20 {
			if n := len(started); n > 0 {
				at := (i*31 + k*17) % n
				s := started[at]
				started[at] = started[n-1]
				started = started[:n-1]
				finish(f, s)
			}
		}
		if i%5 == 0 {
			f.submit(jobs.ID(fmt.Sprintf("new%d", i)), urgent, jobs.Step{Count: 3, Size: size(4700, 17000), Estimate: 640 * time.Millisecond})
		}
		f.tick(10 * time.Millisecond)
		round()
	}
}
