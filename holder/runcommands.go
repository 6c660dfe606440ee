package holder

import (
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
)

const (
	// stopRetryPause is the pause before a stop that got no response is retried.
	stopRetryPause = 300 * time.Millisecond
)

// sendRecordedStarts sends the starts whose runs have been recorded, unless the view from
// which they were decided may be out of date.
func (h *Holder) sendRecordedStarts() {
	r := h.cell.recorder
	if len(r.recordedStarts) == 0 || !h.viewRecent() {
		return
	}
	starts := r.recordedStarts
	r.recordedStarts = nil
	h.sendStarts(starts)
}

// sendStarts sends the starts whose runs have been recorded. Starts that are no
// longer possible are refused before any is sent, so that none of their gangs is
// sent either; the last ones are refused first.
func (h *Holder) sendStarts(starts []planner.Start) {
	p := h.cell.planner
	for _, s := range slices.Backward(starts) {
		if !p.StartPending(s.Run) {
			continue
		}
		if err := p.CheckStart(s); err != nil {
			counts.Add("starts_withdrawn", 1)
			h.Log.Info("start_withdrawn", slog.String("id", string(s.Run.Task.Job)), slog.String("run", s.Run.String()),
				slog.String("endpoint", string(s.Endpoint)), slog.Any("error", err))
			p.StartRefused(s.Run, err)
		}
	}
	for _, s := range starts {
		h.sendStart(s)
	}
}

func (h *Holder) sendStart(start planner.Start) {
	if !h.cell.planner.StartPending(start.Run) {
		// The run was stopped while its start was being recorded.
		return
	}
	s := h.cell.sessions[start.Endpoint]
	if s == nil || s.clock == 0 || s.failures > 0 || h.now.Before(s.formerAcksArriveBy) || !h.mayAct() {
		h.cell.planner.StartRefused(start.Run, fleet.ErrRefused)
		return
	}
	sent := h.sendCommand(s, dispatch.Command{Start: &fleet.Start{
		Target: s.target(), Run: start.Run, Spec: start.Spec, Saved: start.Saved, Ticket: start.Ticket,
		Until: h.startUntil(s), Epoch: h.cell.epoch,
	}})
	if !sent {
		h.cell.planner.StartRefused(start.Run, fleet.ErrRefused)
		return
	}
	h.cell.planner.StartSent(start.Run)
	counts.Add("starts", 1)
	startWaits.Record(string(start.Queue), start.Waited)
	startDelays.Record("recorded", h.now.Sub(start.DecidedAt))
	h.Log.Info("run_ordered", slog.String("id", string(start.Run.Task.Job)), slog.String("run", start.Run.String()),
		slog.String("endpoint", string(start.Endpoint)), slog.Int64("born", s.startTime), slog.Duration("waited", start.Waited),
		slog.Duration("listing_age", h.now.Sub(s.clockReadAt)), slog.Duration("jobs_read_age", h.now.Sub(h.cell.jobsReadAt)),
		slog.Duration("decided_ago", h.now.Sub(start.DecidedAt)), slog.String("checkpoint", start.Saved), slog.Uint64("job_version", h.jobVersion(start.Run.Task.Job)),
		slog.Uint64("epoch", h.cell.epoch))
}

// jobVersion returns the version of the row from which the planner has the job.
func (h *Holder) jobVersion(id jobs.ID) uint64 {
	if job := h.cell.planner.Job(id); job != nil {
		return job.RowVersion
	}
	return 0
}

func (h *Holder) sendStop(stop planner.Stop) {
	s := h.cell.sessions[stop.Endpoint]
	if s == nil || !h.sendCommand(s, dispatch.Command{Stop: &fleet.Stop{Target: s.target(), Run: stop.Run, Epoch: h.cell.epoch}}) {
		h.scheduleStopRetry(stop.Run)
		return
	}
	counts.Add("stops", 1)
	h.Log.Info("stop_ordered", slog.String("id", string(stop.Run.Task.Job)), slog.String("run", stop.Run.String()),
		slog.String("endpoint", string(stop.Endpoint)), slog.Int64("born", s.startTime), slog.String("reason", stop.Reason))
}

// stopRetry is a stop to be retried.
type stopRetry struct {
	run   jobs.RunID
	dueAt time.Time
}

func (h *Holder) scheduleStopRetry(run jobs.RunID) {
	h.cell.stopRetries = append(h.cell.stopRetries, stopRetry{run: run, dueAt: h.now.Add(stopRetryPause)})
}

// retryDueStops reports the due stops to the planner as unanswered, so that the
// next plan contains them again.
func (h *Holder) retryDueStops() {
	c := h.cell
	for len(c.stopRetries) > 0 && !h.now.Before(c.stopRetries[0].dueAt) {
		c.planner.NoResponse(c.stopRetries[0].run)
		c.stopRetries = c.stopRetries[1:]
	}
}

func (h *Holder) handleStartOutcome(start *fleet.Start, o dispatch.Outcome) {
	planner, err := h.cell.planner, o.Err()
	h.logFailedCommand("start", start.Target, start.Run, err)
	switch {
	case err == nil:
		planner.StartConfirmed(start.Run)
	case eris.Is(err, fleet.ErrNoResponse):
		h.cell.cancels.giveUp(start.Run, h.now)
		planner.StartSettled(start.Run)
		planner.NoResponse(start.Run)
	default:
		planner.StartRefused(start.Run, err)
	}
}

func (h *Holder) handleStopOutcome(stop *fleet.Stop, o dispatch.Outcome) {
	planner, err := h.cell.planner, o.Err()
	h.logFailedCommand("stop", stop.Target, stop.Run, err)
	if err == nil {
		planner.StopConfirmed(stop.Run)
	} else if planner.Live(stop.Run) {
		h.scheduleStopRetry(stop.Run)
	}
}

// logFailedCommand counts and logs a start or stop that failed; it ignores a nil
// error.
func (h *Holder) logFailedCommand(kind string, to fleet.Target, run jobs.RunID, err error) {
	if err == nil {
		return
	}
	counts.Add(kind+"s_failed", 1)
	h.Log.Warn("order_failed", slog.String("id", string(run.Task.Job)), slog.String("run", run.String()),
		slog.String("order", kind), slog.String("endpoint", string(to.ID)), slog.Int64("born", to.Born), slog.Any("error", err))
}
