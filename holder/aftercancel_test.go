package holder

import (
	"context"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// readJobAt applies a read of the jobs feed with one version of the job's row.
func (h *Holder) readJobAt(version storage.RowVersion, job jobs.Job) {
	row := storage.Row{Key: h.Parts.Key(JobsTable, job.ID), Value: storage.Encode(job), Version: version}
	jobsMessage{h.cell.epoch, feed.Update{RequestedAt: h.now, Version: version, Changes: []storage.Change{{Row: row}}}}.apply(h)
}

// linesOf returns the lines of the event.
func linesOf(logged *strings.Builder, event string) []string {
	var lines []string
	for _, line := range strings.Split(logged.String(), "\n") {
		if strings.Contains(line, "event="+event+" ") {
			lines = append(lines, line)
		}
	}
	return lines
}

// A record of a cancelled job whose task was started did not tell whether its cancel had been
// read, and whether its start had been given up before it was executed.
var _ = Describe("The log of a cancelled job whose task was started", func() {
	var h *Holder
	var logged strings.Builder
	job := jobs.Job{
		ID: "a", Team: "red", Queue: testQueue, Accepted: 1,
		Steps: []jobs.Step{{Count: 2, Size: model.Resources{model.CPU: 1000}, Estimate: time.Second}},
	}
	cancelled := job
	cancelled.Cancelled = true

	BeforeEach(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		h = newDecidingHolder(ctx)
		logged.Reset()
		h.logTo(&logged)
	})

	// start sends the starts of the job's tasks and returns their runs.
	start := func() []jobs.RunID {
		h.readJobAt(41, job)
		h.cell.planner.Decide()
		h.cell.recorder.startsInWrite = h.cell.planner.TakePlan().Starts
		recordedMessage{1}.apply(h)
		runs := h.sentStarts()["e"]
		Expect(runs).To(HaveLen(2))
		return runs
	}
	answer := func(run jobs.RunID, code dispatch.Code) {
		for id, p := range h.cell.commands.pending {
			if p.command.Start != nil && p.command.Start.Run == run {
				h.cell.commands.handleOutcome(h, dispatch.Outcome{ID: id, Code: code})
			}
		}
	}
	list := func(listing fleet.Listing) {
		h.advance(time.Millisecond)
		listing.Born, listing.Clock = 1, 100
		h.applyListing(h.cell.sessions["e"], h.now, listing)
	}

	It("has the version of the row from which the start was decided, and that of the cancel", func() {
		start()
		for _, line := range linesOf(&logged, "run_ordered") {
			Expect(line).To(ContainSubstring("job_version=41 "))
		}
		Expect(linesOf(&logged, "run_ordered")).To(HaveLen(2))
		h.readJobAt(43, cancelled)
		taken := linesOf(&logged, "job_taken")
		Expect(taken).To(HaveLen(2))
		Expect(taken[0]).To(And(ContainSubstring("cancelled=false"), ContainSubstring("version=41")))
		Expect(taken[1]).To(And(ContainSubstring("cancelled=true"), ContainSubstring("version=43"), ContainSubstring("restored=false")))
	})

	It("has the age of the cancel if its front has recorded the time", func() {
		h.readJobAt(41, job)
		timed := cancelled
		timed.CancelledAt = h.Wall.Now().Add(-time.Minute).UnixMilli()
		h.readJobAt(43, timed)
		taken := linesOf(&logged, "job_taken")
		Expect(taken[0]).NotTo(ContainSubstring("cancel_age_ms"))
		Expect(taken[1]).To(MatchRegexp(`cancel_age_ms=6\d{4} `))
	})

	It("names each run once that is listed for the first time after the cancel", func() {
		runs := start()
		answer(runs[0], dispatch.NoResponse)
		answer(runs[1], dispatch.Executed)
		h.readJobAt(43, cancelled)
		h.advance(300 * time.Millisecond)
		counted := func() string {
			if v := counts.Get("runs_after_cancel"); v != nil {
				return v.String()
			}
			return "0"
		}
		before := counted()
		list(fleet.Listing{Running: []fleet.RunStatus{{Run: runs[0]}, {Run: runs[1]}}})
		list(fleet.Listing{Running: []fleet.RunStatus{{Run: runs[1]}}, Ended: []fleet.End{{Number: 1, Run: runs[0], Outcome: fleet.Succeeded}}})
		lines := linesOf(&logged, "run_after_cancel")
		Expect(lines).To(HaveLen(2))
		Expect(lines[0]).To(And(
			ContainSubstring("id=a "), ContainSubstring("run=\""+runs[0].String()+"\""), ContainSubstring("endpoint=e "), ContainSubstring("epoch=1 "),
			ContainSubstring("job_state=closing"), ContainSubstring("status=running"), ContainSubstring("given_up=true"), ContainSubstring("since_cancel=301ms"),
		))
		Expect(lines[1]).To(And(ContainSubstring("run=\""+runs[1].String()+"\""), ContainSubstring("given_up=false")))
		Expect(counted()).NotTo(Equal(before))
	})

	It("names a run that is listed only as done, after its job has been removed", func() {
		run := jobs.RunID{Task: jobs.TaskID{StepID: jobs.StepID{Job: "a"}}, Number: 1}
		h.readJobAt(41, job)
		h.readJobAt(43, cancelled)
		h.executePlan(h.cell.planner.TakePlan())
		Expect(h.cell.planner.HasJob("a")).To(BeFalse())
		list(fleet.Listing{Ended: []fleet.End{{Number: 1, Run: run, Outcome: fleet.Succeeded}}})
		Expect(linesOf(&logged, "run_after_cancel")).To(ConsistOf(And(
			ContainSubstring("job_state=removed"), ContainSubstring("status=succeeded"), ContainSubstring("live=false"),
		)))
	})

	It("does not name runs that had been listed before the cancel, or that were stopped", func() {
		runs := start()
		list(fleet.Listing{Running: []fleet.RunStatus{{Run: runs[0]}}})
		h.readJobAt(43, cancelled)
		list(fleet.Listing{
			Running: []fleet.RunStatus{{Run: runs[0]}},
			Ended:   []fleet.End{{Number: 1, Run: runs[1], Outcome: fleet.Stopped}},
		})
		Expect(linesOf(&logged, "run_after_cancel")).To(BeEmpty())
	})

	It("has the cancels that a successor has read from the rows", func() {
		read := cancelled
		read.RowVersion = 43
		h.logRestoredCancels(map[jobs.ID]*jobs.Job{"a": &read, "b": {ID: "b", Queue: testQueue}})
		Expect(linesOf(&logged, "job_taken")).To(ConsistOf(And(
			ContainSubstring("id=a "), ContainSubstring("cancelled=true"), ContainSubstring("restored=true"), ContainSubstring("version=43"),
		)))
	})

	It("needs a bounded amount of memory", func() {
		for i := range 2 * maxCancelledJobs {
			h.cell.cancels.add(h.cell.planner, &jobs.Job{ID: jobs.ID(strconv.Itoa(i))}, h.now)
			h.cell.cancels.giveUp(jobs.RunID{Number: i}, h.now)
		}
		Expect(h.cell.cancels.jobs).To(HaveLen(maxCancelledJobs))
		Expect(h.cell.cancels.givenUp).To(HaveLen(maxStartsGivenUp))
		h.advance(cancelRetention + time.Millisecond)
		h.cell.cancels.add(h.cell.planner, &jobs.Job{ID: "a"}, h.now)
		Expect(h.cell.cancels.jobs).To(HaveLen(1))
	})
})
