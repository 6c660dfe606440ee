package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/jobs"
)

var _ = Describe("A fleet of several hundred endpoints at four fifths of its capacity", func() {
	// Gangs were placed on the endpoints with the least free capacity, including that of
	// runs to stop, although others had room for them.
	It("stops few runs of batch work for gangs, and the gangs are in time", func() {
		r := newReplay(1, 300, largeFleet(300, 1.05))
		r.play(15 * time.Second)
		Expect(r.totals.starts).To(BeNumerically(">", 4000))
		Expect(float64(r.totals.preempted)/float64(r.totals.starts)).To(BeNumerically("<", 0.05), "%s", r.totals)
		for _, queue := range []jobs.QueueName{urgent, gangs, batch} {
			Expect(r.totals.inTime(queue)).To(BeNumerically(">", 0.95), "%s", r.totals)
		}
	})
})

var _ = Describe("A gang that preempts", func() {
	It("takes free capacity first and stops only what the rest of it needs", func() {
		f := newFixture(1, 4)
		f.SetStopTime(100 * time.Millisecond)
		// Two endpoints are full of batch work, one runs two tasks and one none: five of
		// eight members find room.
		f.submit("a", batch, jobs.Step{Count: 18, Size: size(2000, 100), Checkpoints: true, Estimate: time.Minute})
		f.start(f.plan())
		f.tick(100 * time.Millisecond)
		f.submit("b", gangs, jobs.Step{Count: 8, Size: size(5000, 100), Gang: true, Estimate: 5 * time.Second})
		f.plan()
		f.tick(1500 * time.Millisecond)
		Expect(f.plan().Stops).To(HaveLen(7))
		Expect(f.Stats().Reserved).To(Equal(8))
	})
})
