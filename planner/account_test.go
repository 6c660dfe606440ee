package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
)

// queueStats returns the stats of one queue.
func queueStats(f *fixture, queue jobs.QueueName) planner.QueueStats {
	for _, stats := range f.QueueStats() {
		if stats.Queue == queue {
			return stats
		}
	}
	return planner.QueueStats{}
}

var _ = Describe("The account of a job", func() {
	It("tells a wait for capacity from one for the team's limit", func() {
		f := newFixture(1, 1)
		f.setTeams(catalog.Team{Name: "red"}, catalog.Team{Name: "blue", Limit: size(1000, 0)})
		f.submit("full", batch, jobs.Step{Count: 1, Size: size(16000, 100), Estimate: time.Second})
		first := f.plan()
		f.start(first)
		f.submit("a", batch, single)
		blue := &jobs.Job{ID: "b", Team: "blue", Queue: batch, Steps: []jobs.Step{single}, Accepted: f.now.UnixMilli()}
		f.AddJob(blue, nil)
		f.plan()
		f.tick(2 * time.Second)
		f.plan()
		stats := queueStats(f, batch)
		Expect(stats.Waiting[planner.WaitCapacity]).To(Equal(1))
		Expect(stats.Waiting[planner.WaitLimit]).To(Equal(1))
		Expect(stats.Waited[planner.WaitCapacity]).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))

		f.list("e00", ended(first.Starts[0].Run, fleet.Succeeded))
		second := f.plan()
		f.start(second)
		f.list("e00", ended(second.Starts[0].Run, fleet.Succeeded))
		outcome := f.plan().Outcomes[0]
		Expect(outcome.Job).To(Equal(jobs.ID("a")))
		Expect(outcome.Timeliness).To(Equal(planner.InTime))
		Expect(outcome.Waits[planner.WaitCapacity]).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
		Expect(outcome.Waits[planner.WaitLimit]).To(BeZero())
	})

	It("counts the runs that were stopped for another queue", func() {
		f := newFixture(1, 1)
		f.submit("a", batch, jobs.Step{Count: 4, Size: size(4000, 100), Checkpoints: true, Estimate: time.Minute})
		f.start(f.plan())
		f.submit("b", gangs, jobs.Step{Count: 2, Size: size(4000, 100), Gang: true, Estimate: time.Second})
		f.plan()
		f.tick(600 * time.Millisecond)
		Expect(f.plan().Stops).To(HaveLen(2))
		Expect(queueStats(f, batch).Preempted).To(Equal(2))
		Expect(queueStats(f, gangs).PreemptedFor).To(Equal(2))
		Expect(queueStats(f, gangs).CPUReserved).To(BeEquivalentTo(8000))
	})

	It("rates a job that ended after the time in which it is of use as overdue", func() {
		f := newFixture(1, 1)
		f.submit("a", urgent, single)
		start := f.plan()
		f.start(start)
		f.tick(time.Minute)
		f.list("e00", ended(start.Starts[0].Run, fleet.Succeeded))
		Expect(f.plan().Outcomes[0].Timeliness).To(Equal(planner.Overdue))
	})
})
