package holder

import (
	"log/slog"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
)

// leaseAttrs describes the lease of an endpoint in a log entry.
func (h *Holder) leaseAttrs(s *session) []slog.Attr {
	attrs := []slog.Attr{
		slog.Int64("born", s.startTime), slog.Duration("lease_left", s.leaseEndsBy.Sub(h.now)),
		slog.String("lease_bound", string(s.leaseBound)), slog.Uint64("epoch", h.cell.epoch),
	}
	if !s.clockReadAt.IsZero() {
		attrs = append(attrs, slog.Duration("listing_age", h.now.Sub(s.clockReadAt)))
	}
	return attrs
}

// logRestart logs that the endpoint has restarted, as source shows.
func (h *Holder) logRestart(s *session, bornBefore int64, source restartSource) {
	counts.Add("endpoints_restarted", 1)
	attrs := append(h.leaseAttrs(s), slog.String("endpoint", string(s.id)), slog.Int64("born_before", bornBefore), slog.String("source", string(source)))
	if !s.leaseArrivesBy.IsZero() {
		attrs = append(attrs, slog.Duration("commands_arrive_within", s.leaseArrivesBy.Sub(h.now)))
	}
	h.Log.Info("endpoint_restarted", attrs...)
}

// logLeaseEnded logs once that the lease of an unresponsive endpoint has ended.
func (h *Holder) logLeaseEnded(s *session) {
	if s.leaseEnded {
		return
	}
	s.leaseEnded = true
	counts.Add("leases_ended_"+string(s.leaseBound), 1)
	h.Log.Info("lease_ended", append(h.leaseAttrs(s), slog.String("endpoint", string(s.id)), slog.Int("failures", s.failures))...)
}

// logOtherIncarnation logs the runs that the listing shows although they were started on
// another incarnation. The planner has not applied the listing.
func (h *Holder) logOtherIncarnation(s *session, listing fleet.Listing) {
	check := func(run jobs.RunID, status string) {
		meant := h.cell.planner.RunBorn(run, s.id)
		if meant == 0 || meant == listing.Born {
			return
		}
		counts.Add("runs_in_other_incarnation", 1)
		h.Log.Warn("run_in_other_incarnation", slog.String("id", string(run.Task.Job)), slog.String("run", run.String()),
			slog.String("endpoint", string(s.id)), slog.Int64("born", listing.Born), slog.Int64("meant_for", meant),
			slog.String("status", status), slog.Uint64("epoch", h.cell.epoch))
	}
	for _, r := range listing.Running {
		check(r.Run, "running")
	}
	for _, e := range listing.Ended {
		check(e.Run, string(e.Outcome))
	}
}
