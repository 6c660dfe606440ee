package sched

import (
	"errors"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
)

// deliver handles the result of one Sync.
func (m syncDone) deliver(s *Shard) {
	s.workerSyncs[m.worker]--
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	se := s.sessions[m.id]
	if se == nil {
		return
	}
	se.inflight = false
	if m.withheld {
		se.revertWithheld(m.request)
		return
	}
	if m.request.Lease > 0 {
		se.leasesUntil = m.sentAt.Add(m.request.Fresh + m.request.Lease)
	}
	se.handleSyncResult(m)
}

// handleSyncResult applies the result and fires the session's event for it.
func (se *session) handleSyncResult(m syncDone) {
	s := se.shard
	if m.err == nil {
		se.failures = 0
		se.recordReply(m)
		s.proof.RecordAcceptance(se.info.ID, m.sentAt)
		se.nextSyncAt = s.now.Add(se.period(m.request))
		se.applyStartResults(m.reply.Results)
		se.fire(s.sessionChart.replied)
		return
	}
	syncsFailed.Add(1)
	se.requeue(m.request)
	if errors.Is(m.err, endpoint.ErrFenced) {
		s.logInfo("endpoint_fenced", endpointAttr(se.info.ID))
		s.fire(s.chart.lost)
		return
	}
	if errors.Is(m.err, endpoint.ErrRejected) {
		se.rejectAll(m.request)
		se.fire(s.sessionChart.rejected)
		return
	}
	se.fire(s.sessionChart.failed)
}

// recordReply stores the endpoint's reply. The previous holder has renewed no
// lease there after an adoption, so that its leases end within one from then.
func (se *session) recordReply(m syncDone) {
	if !se.fenced {
		se.fenced = true
		se.adoption = m.reply
	}
	if until := m.endedAt.Add(se.shard.settings.TaskLease); m.request.Adopt && until.After(se.leasesUntil) {
		se.leasesUntil = until
	}
	se.last = m.reply
	se.repliedAt = m.endedAt
	se.full = m.request.Adopt || m.request.Report
	if se.full {
		se.reportAt = se.shard.now.Add(reportPeriod)
	}
}

// stale reports whether the newest reply is so old that the endpoint might
// reject a Sync that carries its stamp.
func (se *session) stale() bool {
	return se.shard.now.Sub(se.repliedAt) > se.shard.settings.Fresh/2
}

// period returns the time to the next Sync when nothing else makes one due. A
// Sync without a lease, or one that left starts or commands queued, is followed
// immediately by the next while the holder can prove that it holds the shard.
func (se *session) period(last endpoint.SyncRequest) time.Duration {
	immediate := last.Lease == 0 || len(se.starts) > 0 || len(se.commands) > 0
	if immediate && se.shard.now.Before(se.shard.proof.Until()) {
		return 0
	}
	if len(se.attempts) > 0 || len(se.acks) > 0 {
		return se.shard.settings.SyncPeriod
	}
	return se.shard.settings.IdlePeriod
}

// handleAdoption handles the first reply under this epoch, or after a lapse.
func (se *session) handleAdoption() {
	se.addToScheduler()
	se.handleReply()
}

// handleReply applies the newest reply. Until the shard serves, replies are
// only stored: the endpoint repeats what has not been acknowledged.
func (se *session) handleReply() {
	s := se.shard
	if s.chart.applyingReplies.Has(s.state) {
		se.applyReply(se.last, se.full)
	}
}

// applyReply applies the endpoint's report of its attempts.
func (se *session) applyReply(reply endpoint.SyncReply, full bool) {
	s := se.shard
	for _, f := range reply.Finished {
		s.finish(se, f)
	}
	if full {
		se.reconcile(reply.Running)
		s.policy.ReportUsage(s.now, se.info.ID, reply.Running)
	}
	if reply.Leaving && !se.info.Leaving {
		se.info.Leaving = true
		se.addToScheduler()
	}
}

// reconcile compares what runs at the endpoint with what should run there: it
// confirms expected attempts, stops unknown ones and handles missing ones.
func (se *session) reconcile(running []model.Running) {
	s := se.shard
	present := make(map[model.AttemptID]bool, len(running))
	for _, r := range running {
		present[r.Attempt] = true
		if a := se.attempts[r.Attempt]; a != nil {
			se.removeStart(a)
			s.confirm(a)
			continue
		}
		se.enqueueCommand(endpoint.Order{Attempt: r.Attempt, Control: endpoint.Stop})
	}
	for id, a := range se.attempts {
		if a.sent && !present[id] {
			se.handleMissing(a)
		}
	}
}

// handleMissing handles an attempt that was sent and that the endpoint does not
// report. An unconfirmed attempt of repeatable work is sent again under the
// same attempt id, which the endpoint starts at most once. One that may not be
// repeated is kept while the Sync with its start, which the report may have
// overtaken, can still take effect.
func (se *session) handleMissing(a *attempt) {
	s := se.shard
	notRepeatable := a.record.request.Spec.NotRepeatable
	if !a.confirmed && notRepeatable && se.last.Stamp <= a.effectiveUntil {
		se.reportAt = s.now
		return
	}
	if a.confirmed || notRepeatable {
		s.lapseAttempt(a)
		return
	}
	a.sent = false
	s.resolveUnconfirmed(a.record)
	se.enqueueStart(a)
}

// applyStartResults confirms or rejects the attempts according to the
// endpoint's start results.
func (se *session) applyStartResults(results []endpoint.StartResult) {
	s := se.shard
	for _, result := range results {
		a := se.attempts[result.Attempt]
		if a == nil || a.confirmed {
			continue
		}
		if result.Started {
			s.confirm(a)
			continue
		}
		s.reject(a)
	}
}

// requeue queues the commands and acknowledgements of a failed Sync again; both
// are idempotent.
func (se *session) requeue(request endpoint.SyncRequest) {
	for _, o := range request.Orders {
		if !slices.Contains(se.commands, o) {
			se.commands = append(se.commands, o)
		}
	}
	for _, id := range request.Acknowledged {
		se.acknowledge(id)
	}
}

// revertWithheld reverts the state changes of a Sync that was not sent.
func (se *session) revertWithheld(request endpoint.SyncRequest) {
	syncsWithheld.Add(1)
	se.requeue(request)
	se.nextSyncAt = se.shard.now.Add(baseBackoff)
	for _, start := range request.Starts {
		a := se.attempts[start.Attempt]
		if a == nil {
			continue
		}
		a.sent = false
		se.shard.resolveUnconfirmed(a.record)
		se.starts = append(se.starts, a)
	}
}

// rejectAll rejects all starts of a Sync that had no effect.
func (se *session) rejectAll(request endpoint.SyncRequest) {
	for _, start := range request.Starts {
		if a := se.attempts[start.Attempt]; a != nil {
			se.shard.reject(a)
		}
	}
}
