package holder

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// removedJobsForEviction is a number of jobs with whose removal the holder used to forget
// the jobs that it had removed long ago.
const removedJobsForEviction = 1024

// testJob returns an accepted job with one task.
func testJob(h *Holder, id jobs.ID) *jobs.Job {
	return &jobs.Job{
		ID: id, Team: "red", Queue: testQueue, Accepted: h.now.UnixMilli(),
		Steps: []jobs.Step{{Count: 1, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second}},
	}
}

// readJobs applies an update of the jobs feed that contains all rows of the table.
func readJobs(h *Holder, version storage.RowVersion, accepted ...*jobs.Job) {
	update := feed.Update{Full: true, Version: version}
	for _, job := range accepted {
		update.Changes = append(update.Changes, storage.Change{Row: storage.Row{
			Key: JobsTable + "//" + string(job.ID), Value: storage.Encode(job), Version: 1,
		}})
	}
	jobsMessage{epoch: h.cell.epoch, update: update}.apply(h)
}

// complete decides the start of the job's only task and lists its end.
func complete(h *Holder, endpoint model.EndpointID) {
	h.cell.planner.Decide()
	plan := h.cell.planner.TakePlan()
	Expect(plan.Starts).To(HaveLen(1))
	s := h.cell.sessions[endpoint]
	h.applyListing(s, h.now, fleet.Listing{Born: s.startTime, Clock: s.clock + 1, Ended: []fleet.End{
		{Number: s.lastListedEnd + 1, Run: plan.Starts[0].Run, Outcome: fleet.Succeeded},
	}})
}

var _ = Describe("A completed job whose row still exists", func() {
	// Deletions pause while the table is slow. The holder forgot completed jobs after 30 s
	// and ran them again when the table discarded its history.
	It("is not run again when all rows are read, however long ago it completed", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		h.state = machine.MustState("deciding")
		job := testJob(h, "0000000000000001")
		readJobs(h, 10, job)
		Expect(h.cell.planner.HasJob(job.ID)).To(BeTrue())
		complete(h, "e")
		h.executePlan(h.cell.planner.TakePlan())

		h.now = h.now.Add(time.Hour)
		for i := range removedJobsForEviction {
			other := testJob(h, jobs.ID(fmt.Sprintf("%016x", 1000+i)))
			other.Cancelled = true
			readJobs(h, 20, other)
			h.executePlan(h.cell.planner.TakePlan())
		}
		readJobs(h, 30, job)
		Expect(h.cell.planner.HasJob(job.ID)).To(BeFalse())
	})

	// The recorder learned of removed jobs only after all messages of a batch, so that a job
	// that had completed in the same batch was taken for a new one.
	It("is not run again when all rows are read in the batch in which it completed", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		h.state = machine.MustState("deciding")
		job := testJob(h, "0000000000000001")
		readJobs(h, 10, job)
		complete(h, "e")
		readJobs(h, 20, job)
		Expect(h.cell.planner.HasJob(job.ID)).To(BeFalse())
	})

	It("is forgotten once the feed has passed the deletion of its row", func(ctx SpecContext) {
		h := newTestHolder(ctx, testEntry("e", 16))
		h.state = machine.MustState("deciding")
		job := testJob(h, "0000000000000001")
		readJobs(h, 10, job)
		complete(h, "e")
		h.executePlan(h.cell.planner.TakePlan())
		removed := &h.cell.recorder.removedJobs

		// The rows were read before the deletion, and applied after it.
		cleanedMessage{epoch: 1, version: 25, jobs: []jobs.ID{job.ID}}.apply(h)
		readJobs(h, 24, job)
		Expect(h.cell.planner.HasJob(job.ID)).To(BeFalse())
		Expect(removed.contains(job.ID)).To(BeTrue())
		readJobs(h, 25)
		Expect(removed.contains(job.ID)).To(BeFalse())
		Expect(removed.deletions).To(BeEmpty())
	})
})
