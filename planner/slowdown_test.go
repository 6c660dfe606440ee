package planner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// recordRunTimes runs tasks of one second on every endpoint; on slow they take
// the given number of seconds.
func recordRunTimes(f *fixture, endpoints int, slow model.EndpointID, seconds time.Duration) {
	for round := range 6 {
		f.submit(jobs.ID(fmt.Sprintf("learn%d", round)), batch,
			jobs.Step{Count: endpoints, Size: size(9000, 100), Estimate: time.Second, MaxPerEndpoint: 1})
		plan := f.plan()
		Expect(plan.Starts).To(HaveLen(endpoints))
		f.start(plan)
		f.tick(time.Second)
		for _, s := range plan.Starts {
			if s.Endpoint != slow {
				f.list(s.Endpoint, ended(s.Run, fleet.Succeeded))
			}
		}
		f.tick((seconds - 1) * time.Second)
		for _, s := range plan.Starts {
			if s.Endpoint == slow {
				f.list(s.Endpoint, ended(s.Run, fleet.Succeeded))
			}
		}
		f.TakePlan()
	}
}

// placedAt submits a task to the queue and returns the endpoint on which it is
// started.
func placedAt(f *fixture, id jobs.ID, queue jobs.QueueName) model.EndpointID {
	f.submit(id, queue, jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second})
	plan := f.plan()
	Expect(plan.Starts).To(HaveLen(1))
	return plan.Starts[0].Endpoint
}

var _ = Describe("An endpoint on which tasks take longer", func() {
	It("gets no urgent work while others have free capacity", func() {
		f := newFixture(1, 2)
		recordRunTimes(f, 2, "e00", 2)
		Expect(placedAt(f, "u", urgent)).To(Equal(model.EndpointID("e01")))
	})

	It("gets no work at all while it is much slower", func() {
		f := newFixture(1, 2)
		recordRunTimes(f, 2, "e00", 5)
		Expect(placedAt(f, "b", batch)).To(Equal(model.EndpointID("e01")))
	})

	It("is used again after the slowdown has decayed", func() {
		f := newFixture(1, 2)
		smaller := endpointInfo(0)
		smaller.Capacity = size(12000, 65536)
		f.SetEndpoint(smaller)
		recordRunTimes(f, 2, "e00", 5)
		f.tick(time.Minute)
		Expect(placedAt(f, "u", urgent)).To(Equal(model.EndpointID("e00")), "it has the least free capacity")
	})
})
