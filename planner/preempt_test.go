package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
)

var _ = Describe("A stop that takes longer than a waiting task has left", func() {
	It("is not ordered for it", func() {
		for stop, stops := range map[time.Duration]int{100 * time.Millisecond: 1, 2 * time.Second: 0} {
			w := newWorld(1, 1)
			w.SetStopTime(stop)
			w.submit("a", batch, jobs.Step{Count: 4, Size: size(4000, 100), Checkpoints: true, Estimate: time.Minute})
			w.start(w.plan())
			w.tick(300 * time.Millisecond)
			w.submit("b", urgent, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
			w.plan()
			w.tick(200 * time.Millisecond)
			Expect(w.plan().Stops).To(HaveLen(stops), stop.String())
		}
	})
})
