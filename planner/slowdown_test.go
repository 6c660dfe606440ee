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

// learn runs tasks on every endpoint; on slow they take so many times as long.
func learn(w *world, endpoints int, slow model.EndpointID, times time.Duration) {
	for round := range 6 {
		w.submit(jobs.ID(fmt.Sprintf("learn%d", round)), batch,
			jobs.Step{Count: endpoints, Size: size(9000, 100), Estimate: time.Second, MaxPerEndpoint: 1})
		plan := w.plan()
		Expect(plan.Starts).To(HaveLen(endpoints))
		w.start(plan)
		w.tick(time.Second)
		for _, s := range plan.Starts {
			if s.Endpoint != slow {
				w.list(s.Endpoint, ended(s.Run, fleet.Succeeded))
			}
		}
		w.tick((times - 1) * time.Second)
		for _, s := range plan.Starts {
			if s.Endpoint == slow {
				w.list(s.Endpoint, ended(s.Run, fleet.Succeeded))
			}
		}
		w.Take()
	}
}

// placedAt returns where a task of the queue is started.
func placedAt(w *world, id jobs.ID, queue jobs.QueueName) model.EndpointID {
	w.submit(id, queue, jobs.Step{Count: 1, Size: size(1000, 100), Estimate: time.Second})
	plan := w.plan()
	Expect(plan.Starts).To(HaveLen(1))
	return plan.Starts[0].Endpoint
}

var _ = Describe("An endpoint on which tasks take longer", func() {
	It("gets no urgent work while others have room", func() {
		w := newWorld(1, 2)
		learn(w, 2, "e00", 2)
		Expect(placedAt(w, "u", urgent)).To(Equal(model.EndpointID("e01")))
	})

	It("gets no work at all while it is much slower", func() {
		w := newWorld(1, 2)
		learn(w, 2, "e00", 5)
		Expect(placedAt(w, "b", batch)).To(Equal(model.EndpointID("e01")))
	})

	It("is tried again later", func() {
		w := newWorld(1, 2)
		smaller := endpointInfo(0)
		smaller.Capacity = size(12000, 65536)
		w.SetEndpoint(smaller)
		learn(w, 2, "e00", 5)
		w.tick(time.Minute)
		Expect(placedAt(w, "u", urgent)).To(Equal(model.EndpointID("e00")), "which has less room to spare")
	})
})
