package holder

import (
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
)

const (
	// cancelRetention is how long after a cancel was taken the runs of its job are logged.
	cancelRetention = 30 * time.Second
	// maxCancelledJobs and maxStartsGivenUp bound what is kept for that.
	maxCancelledJobs = 8192
	maxStartsGivenUp = 8192
)

// cancelledJobs contains what the log needs of jobs that have been cancelled, also after
// their removal, and of starts without an outcome. No decision depends on it. Only the
// deciding duty uses it. The zero value contains nothing.
type cancelledJobs struct {
	jobs map[jobs.ID]*cancelledJob
	// givenUp contains the runs whose starts have no outcome.
	givenUp map[jobs.RunID]bool
	// jobOrder and runOrder have the keys of both in the order of time.
	jobOrder []timed[jobs.ID]
	runOrder []timed[jobs.RunID]
}

type cancelledJob struct {
	takenAt time.Time
	// shown contains the runs that a listing has shown.
	shown map[jobs.RunID]bool
}

type timed[K comparable] struct {
	key K
	at  time.Time
}

// add records that the cancel of the job has been taken. Its first cancel counts.
func (c *cancelledJobs) add(p *planner.Planner, job *jobs.Job, now time.Time) {
	if c.jobs[job.ID] != nil {
		return
	}
	added := &cancelledJob{takenAt: now, shown: map[jobs.RunID]bool{}}
	for _, run := range p.ListedRuns(job.ID) {
		added.shown[run] = true
	}
	if c.jobs == nil {
		c.jobs = map[jobs.ID]*cancelledJob{}
	}
	c.jobs[job.ID] = added
	c.jobOrder = evict(append(c.jobOrder, timed[jobs.ID]{job.ID, now}), c.jobs, maxCancelledJobs, now)
}

// giveUp records that the start of the run has no outcome.
func (c *cancelledJobs) giveUp(run jobs.RunID, now time.Time) {
	if c.givenUp[run] {
		return
	}
	if c.givenUp == nil {
		c.givenUp = map[jobs.RunID]bool{}
	}
	c.givenUp[run] = true
	c.runOrder = evict(append(c.runOrder, timed[jobs.RunID]{run, now}), c.givenUp, maxStartsGivenUp, now)
}

// evict removes the oldest keys from the map while there are more than most of them, or
// they are older than cancelRetention. It returns the remaining order.
func evict[K comparable, V any](order []timed[K], from map[K]V, most int, now time.Time) []timed[K] {
	for len(order) > 0 && (len(order) > most || now.Sub(order[0].at) > cancelRetention) {
		delete(from, order[0].key)
		order = order[1:]
	}
	return order
}

// logRunsAfterCancel logs the runs of cancelled jobs that the listing is the first to show,
// running or ended as done. The planner has not applied the listing.
func (h *Holder) logRunsAfterCancel(s *session, listing fleet.Listing) {
	if len(h.cell.cancels.jobs) == 0 {
		return
	}
	for _, r := range listing.Running {
		h.logRunAfterCancel(s, r.Run, "running")
	}
	for _, e := range listing.Ended {
		if e.Outcome == fleet.Succeeded {
			h.logRunAfterCancel(s, e.Run, string(e.Outcome))
		}
	}
}

func (h *Holder) logRunAfterCancel(s *session, run jobs.RunID, status string) {
	id, c := run.Task.Job, &h.cell.cancels
	job := c.jobs[id]
	if job == nil || job.shown[run] || h.now.Sub(job.takenAt) > cancelRetention {
		return
	}
	job.shown[run] = true
	state := "removed"
	if h.cell.planner.HasJob(id) {
		state = "closing"
	}
	counts.Add("runs_after_cancel", 1)
	h.Log.Warn("run_after_cancel", slog.String("id", string(id)), slog.String("run", run.String()),
		slog.String("endpoint", string(s.id)), slog.String("status", status), slog.String("job_state", state),
		slog.Duration("since_cancel", h.now.Sub(job.takenAt)), slog.Bool("given_up", c.givenUp[run]),
		slog.Bool("live", h.cell.planner.Live(run)), slog.Uint64("epoch", h.cell.epoch))
}
