package holder

import (
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
)

const (
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 300 * time.Millisecond
)

func (h *Holder) orderStart(s planner.Start) {
	if !h.cell.planner.Ordered(s.Run) {
		// It has been stopped while it was being recorded.
		return
	}
	l := h.cell.links[s.Endpoint]
	if l == nil || l.clock == 0 || l.failures > 0 || !h.mayAct() {
		h.cell.planner.Refused(s.Run, fleet.ErrRefused)
		return
	}
	sent := h.command(l, dispatch.Command{Start: &fleet.Start{
		Target: l.target(), Run: s.Run, Spec: s.Spec, Saved: s.Saved, Ticket: s.Ticket,
		Until: h.lease(l), Epoch: h.cell.epoch,
	}})
	if !sent {
		h.cell.planner.Refused(s.Run, fleet.ErrRefused)
		return
	}
	counts.Add("starts", 1)
	startWaits.Record(string(s.Queue), s.Waited)
	h.Log.Info("run_ordered", slog.String("id", string(s.Run.Task.Job)), slog.String("run", s.Run.String()),
		slog.String("endpoint", string(s.Endpoint)), slog.Duration("waited", s.Waited),
		slog.Duration("listing_age", h.now.Sub(l.clockAt)), slog.Uint64("epoch", h.cell.epoch))
}

func (h *Holder) orderStop(s planner.Stop) {
	l := h.cell.links[s.Endpoint]
	if l == nil || !h.command(l, dispatch.Command{Stop: &fleet.Stop{Target: l.target(), Run: s.Run, Epoch: h.cell.epoch}}) {
		h.retryStop(s.Run)
		return
	}
	counts.Add("stops", 1)
	h.Log.Info("stop_ordered", slog.String("id", string(s.Run.Task.Job)), slog.String("run", s.Run.String()),
		slog.String("endpoint", string(s.Endpoint)), slog.String("reason", s.Reason))
}

// retry is a stop that is to be sent again.
type retry struct {
	run jobs.RunID
	at  time.Time
}

func (h *Holder) retryStop(run jobs.RunID) {
	h.cell.retries = append(h.cell.retries, retry{run: run, at: h.now.Add(stopRetry)})
}

func (h *Holder) retryStops() {
	c := h.cell
	for len(c.retries) > 0 && !h.now.Before(c.retries[0].at) {
		c.planner.Unanswered(c.retries[0].run)
		c.retries = c.retries[1:]
	}
}

// startAnswered takes the outcome of a start.
func (h *Holder) startAnswered(order *fleet.Start, o dispatch.Outcome) {
	planner, err := h.cell.planner, o.Err()
	h.logOrder("start", order.Target, order.Run, err)
	switch {
	case err == nil:
		planner.Started(order.Run)
	case eris.Is(err, fleet.ErrNoAnswer):
		planner.Unanswered(order.Run)
	default:
		planner.Refused(order.Run, err)
	}
}

// stopAnswered takes the outcome of a stop.
func (h *Holder) stopAnswered(order *fleet.Stop, o dispatch.Outcome) {
	planner, err := h.cell.planner, o.Err()
	h.logOrder("stop", order.Target, order.Run, err)
	if err == nil {
		planner.StopConfirmed(order.Run)
	} else if planner.Live(order.Run) {
		h.retryStop(order.Run)
	}
}

// logOrder logs an order that failed.
func (h *Holder) logOrder(kind string, to fleet.Target, run jobs.RunID, err error) {
	if err == nil {
		return
	}
	counts.Add(kind+"s_failed", 1)
	h.Log.Warn("order_failed", slog.String("id", string(run.Task.Job)), slog.String("run", run.String()),
		slog.String("order", kind), slog.String("endpoint", string(to.ID)), slog.Any("error", err))
}
