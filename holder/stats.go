package holder

import (
	"expvar"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/metrics"
	"github.com/hornbeamworks/hornbeam/planner"
)

const (
	// statsPeriod is how often the state of the cell and of its queues is logged.
	statsPeriod = 5 * time.Second
	// maxStepsLogged bounds the waiting steps that are logged each time. Only
	// steps that have waited for at least longWait are logged.
	maxStepsLogged = 4
	longWait       = 10 * time.Second
	// maxMetricLabels bounds the number of teams and of queues in metrics.
	maxMetricLabels = 128
	// feedLabel is the label of the jobs feed in metrics.
	feedLabel = "jobs"
)

var (
	startWaits = metrics.NewHistograms("start_wait_by_queue", maxMetricLabels)
	jobTimes   = metrics.NewHistograms("job_time_by_queue", maxMetricLabels)
	teamTimes  = metrics.NewHistograms("job_time_by_team", maxMetricLabels)
	waitTimes  = metrics.NewHistograms("job_wait_by_queue_and_cause", maxMetricLabels)
	// startDelays are the times from the decision of a start until it is sent, and from
	// then until its outcome.
	startDelays = metrics.NewHistograms("start_delay_by_phase", maxMetricLabels)
	// jobsReadGaps are the times between the requests of two reads of the jobs feed that
	// have been applied: for as long, a cancel may not be seen.
	jobsReadGaps = metrics.NewHistograms("jobs_read_gap", 1)
	counts       = expvar.NewMap("holder")
	// endpointsOverCapacity is 0 while another instance holds the cell.
	endpointsOverCapacity = expvar.NewInt("endpoints_over_capacity")
	// queueCounts counts the ends of jobs by queue, final state and timeliness.
	queueCounts = expvar.NewMap("queues")
)

func (h *Holder) logOutcome(o planner.Outcome) {
	counts.Add("jobs_"+string(o.State), 1)
	queueCounts.Add(string(o.Queue)+"/"+string(o.State)+"/"+string(o.Timeliness), 1)
	jobTimes.Record(string(o.Queue), o.Took)
	teamTimes.Record(string(o.Team), o.Took)
	attrs := []slog.Attr{
		slog.String("id", string(o.Job)), slog.String("state", string(o.State)),
		slog.String("reason", o.Reason), slog.Bool("inherited", o.Inherited), slog.String("queue", string(o.Queue)), slog.String("team", string(o.Team)),
		slog.Duration("took", o.Took), slog.Uint64("epoch", h.cell.epoch),
		slog.String("timeliness", string(o.Timeliness)), slog.Bool("surplus", o.Surplus),
		slog.Int("preemptions", o.Preemptions), slog.Int("failed_runs", o.FailedRuns),
	}
	for cause, waited := range o.Waits {
		name := planner.WaitCause(cause).String()
		waitTimes.Record(string(o.Queue)+"/"+name, waited)
		attrs = append(attrs, slog.Duration("waited_"+name, waited))
	}
	h.Log.Info("job_decided", attrs...)
}

func (h *Holder) logLoss(loss planner.EndpointLoss) {
	unlisted := 0
	for _, lost := range loss.Runs {
		if !lost.Listed {
			unlisted++
		}
		h.Log.Info("run_lost", slog.String("id", string(lost.Run.Task.Job)), slog.String("run", lost.Run.String()),
			slog.String("endpoint", string(loss.Endpoint)), slog.String("cause", string(loss.Cause)), slog.Duration("age", lost.Age), slog.Bool("inherited", lost.Inherited),
			slog.Bool("listed", lost.Listed), slog.Bool("survived", lost.Survived), slog.Int("crashes", lost.Crashes), slog.Uint64("epoch", h.cell.epoch))
	}
	counts.Add("endpoints_lost", 1)
	counts.Add("runs_lost", int64(len(loss.Runs)))
	counts.Add("runs_lost_unlisted", int64(unlisted))
	h.Log.Warn("runs_lost", slog.String("endpoint", string(loss.Endpoint)), slog.String("cause", string(loss.Cause)),
		slog.Int("runs", len(loss.Runs)), slog.Int("unlisted", unlisted), slog.Uint64("epoch", h.cell.epoch))
}

func (h *Holder) logRelocation(r planner.Relocation) {
	counts.Add("runs_relocated", 1)
	h.Log.Info("run_relocated", slog.String("id", string(r.Run.Task.Job)), slog.String("run", r.Run.String()), slog.String("queue", string(r.Queue)),
		slog.String("endpoint", string(r.Endpoint)), slog.String("target", string(r.Target)), slog.Float64("slowdown", r.Slowdown), slog.Float64("percent", r.Percent),
		slog.Duration("stay", r.Stay), slog.Duration("move", r.Move), slog.Duration("others", r.Others), slog.Duration("following", r.Following),
		slog.Duration("age", r.Age), slog.Duration("objective", r.Objective), slog.Uint64("epoch", h.cell.epoch))
}

// logViewAge logs that the planner's view has become too old to start tasks, or recent again.
func (h *Holder) logViewAge() {
	c := h.cell
	if c.viewOld == !h.viewRecent() {
		return
	}
	c.viewOld = !c.viewOld
	if c.viewOld {
		counts.Add("views_too_old", 1)
	}
	attrs := []slog.Attr{
		slog.Uint64("epoch", c.epoch), slog.Bool("too_old", c.viewOld), slog.Duration("jobs_read_age", h.now.Sub(c.jobsReadAt)),
		slog.Duration("operators_read_age", h.now.Sub(h.operatorsReadAt)), slog.Int("recorded_starts", len(c.recorder.recordedStarts)),
	}
	if !c.registryReadAt.IsZero() {
		attrs = append(attrs, slog.Duration("registry_read_age", h.now.Sub(c.registryReadAt)))
	}
	h.Log.Warn("view_age", attrs...)
}

func (h *Holder) logStats() {
	c := h.cell
	if h.now.Sub(c.statsLoggedAt) < statsPeriod {
		return
	}
	c.statsLoggedAt = h.now
	stats := c.planner.Stats()
	endpointsOverCapacity.Set(int64(stats.OverCapacity))
	h.Log.Info("cell", slog.Uint64("epoch", c.epoch), slog.Int("jobs", stats.Jobs), slog.Int("runs", stats.Runs),
		slog.Int("reserved", stats.Reserved), slog.Int("pending", stats.Pending), slog.Int("usable", stats.Usable),
		slog.Int("endpoints", stats.Endpoints), slog.Int("over_capacity", stats.OverCapacity), slog.Int64("cpu_used", stats.CPUUsed), slog.Int64("cpu_total", stats.CPUTotal),
		slog.Int("questions", c.adviceQueue.waiting()), slog.Duration("lease_left", h.actUntil.Sub(h.now)),
		slog.Duration("jobs_read_age", h.now.Sub(c.jobsReadAt)))
	for _, queue := range c.planner.QueueStats() {
		h.logQueue(queue)
		h.logEstimate(queue.Queue)
	}
	for _, waiting := range c.planner.LongestWaiting(maxStepsLogged) {
		if waiting.Since < longWait {
			continue
		}
		h.Log.Info("step_waits", slog.String("id", string(waiting.Step.Job)), slog.String("step", waiting.Step.String()),
			slog.String("queue", string(waiting.Queue)), slog.Duration("since", waiting.Since), slog.Int("pending", waiting.Pending),
			slog.Int("tasks", waiting.Count), slog.String("reason", waiting.Reason), slog.Int("asked", waiting.Requested), slog.Int("good", waiting.Eligible))
	}
}

func (h *Holder) logQueue(q planner.QueueStats) {
	attrs := []slog.Attr{
		slog.Uint64("epoch", h.cell.epoch), slog.String("queue", string(q.Queue)), slog.Int("jobs", q.Jobs),
		slog.Int("in_time", q.InTime), slog.Int("surplus", q.Surplus), slog.Int("overdue", q.Overdue),
		slog.Int64("cpu_used", q.CPUUsed), slog.Int64("cpu_reserved", q.CPUReserved),
		slog.Float64("reserved_core_ms", q.Reserved), slog.Float64("withdrawn_core_ms", q.Withdrawn),
		slog.Int("withdrawn_runs", q.WithdrawnRuns), slog.Int("preempted", q.Preempted), slog.Int("preempted_for", q.PreemptedFor),
		slog.Int("gangs_over_share", q.GangsOverShare), slog.Int("gangs_expired", q.GangsExpired),
		slog.Float64("lost_core_ms", q.LostWork),
		slog.Int("relocated", q.Relocated), slog.Float64("relocation_lost_core_ms", q.RelocationLoss), slog.Int("advice_requests", q.AdviceRequests), slog.Duration("advice_time", q.AdviceTime),
	}
	for cause, steps := range q.Waiting {
		name := planner.WaitCause(cause).String()
		attrs = append(attrs, slog.Int("waiting_"+name, steps), slog.Duration("waited_"+name, q.Waited[cause]))
	}
	h.Log.Info("queue", attrs...)
}
