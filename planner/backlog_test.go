package planner_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
)

// adviseAll answers the plan's advice requests: all endpoints may run the steps.
func (f *fixture) adviseAll(plan planner.Plan) {
	for _, q := range plan.AdviceRequests {
		tickets := map[model.EndpointID]string{}
		for _, id := range q.Endpoints {
			tickets[id] = "t"
		}
		f.ApplyAdvice(q, tickets, f.now)
	}
}

var _ = Describe("A round of the planner in a full cell", func() {
	// Rounds that examine and sort all runs of every endpoint for each waiting step
	// take tens of milliseconds on a slow instance, so that short tasks start late.
	It("allocates little for each step that waits for capacity", func() {
		const endpoints, waiting = 40, 20
		f := newAdvisedFixture(endpoints, catalog.Advice{BaseTime: 10 * time.Millisecond, PerEndpoint: 100 * time.Microsecond, TicketValidity: time.Hour})
		f.SetAdviceInstances(waiting)
		f.submit("fill", batch, jobs.Step{Count: 8 * endpoints, Size: size(2000, 100), Estimate: time.Hour})
		f.adviseAll(f.plan())
		f.start(f.plan())
		Expect(f.Stats().Runs).To(Equal(8 * endpoints))
		for i := range waiting {
			f.submit(jobs.ID(fmt.Sprintf("wait%d", i)), batch, jobs.Step{Count: 2, Size: size(2000, 100), Estimate: 500 * time.Millisecond})
		}
		f.adviseAll(f.plan())
		f.tick(950 * time.Millisecond)
		perRound := testing.AllocsPerRun(10, func() {
			f.tick(110 * time.Millisecond)
			f.Decide()
		})
		Expect(perRound / waiting).To(BeNumerically("<", 50))
		Expect(queueStats(f, batch).Waiting[planner.WaitCapacity]).To(Equal(waiting))
	})
})
