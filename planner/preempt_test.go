package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
)

var _ = Describe("A stop that would end after a waiting task is due", func() {
	It("is not sent for this task", func() {
		for stop, stops := range map[time.Duration]int{100 * time.Millisecond: 1, 2 * time.Second: 0} {
			f := newFixture(1, 1)
			f.SetStopTime(stop)
			f.submit("a", batch, jobs.Step{Count: 4, Size: size(4000, 100), Checkpoints: true, Estimate: time.Minute})
			f.start(f.plan())
			f.tick(300 * time.Millisecond)
			f.submit("b", urgent, jobs.Step{Count: 1, Size: size(4000, 100), Estimate: time.Second})
			f.plan()
			f.tick(200 * time.Millisecond)
			Expect(f.plan().Stops).To(HaveLen(stops), stop.String())
		}
	})
})
