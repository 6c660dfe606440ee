package sched

import (
	"errors"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
)

// deliver takes what came of one Sync.
func (m synced) deliver(s *Shard) {
	s.busy[m.worker]--
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	se := s.sessions[m.id]
	if se == nil {
		return
	}
	se.inflight = false
	if m.withheld {
		se.takeBack(m.request)
		return
	}
	if m.request.Lease > 0 {
		se.leasesUntil = m.sentAt.Add(m.request.Fresh + m.request.Lease)
	}
	se.settle(m)
}

// settle turns the result into an event of the session.
func (se *session) settle(m synced) {
	s := se.shard
	if m.err == nil {
		se.failures = 0
		se.note(m)
		s.proof.Accepted(se.info.ID, m.sentAt)
		se.due = s.now.Add(se.period(m.request))
		se.results(m.reply.Results)
		se.fire(s.sessionChart.answered)
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

// note keeps the endpoint's answer.
func (se *session) note(m synced) {
	if !se.fenced {
		se.fenced = true
		se.adoption = m.reply
	}
	se.last = m.reply
	se.stampedAt = m.endedAt
	se.whole = m.request.Adopt || m.request.Report
	if se.whole {
		se.reportAt = se.shard.now.Add(reportPeriod)
	}
}

// stale reports whether the newest reply is so old that the endpoint might
// reject a Sync that refers to it.
func (se *session) stale() bool {
	return se.shard.now.Sub(se.stampedAt) > se.shard.settings.Fresh/2
}

// period is the time to the next Sync when nothing else asks for one. A Sync
// without a lease is followed by one with it.
func (se *session) period(last endpoint.SyncRequest) time.Duration {
	waits := last.Lease == 0 || len(se.starts) > 0 || len(se.orders) > 0
	if waits && se.shard.now.Before(se.shard.proof.Until()) {
		return 0
	}
	if len(se.attempts) > 0 || len(se.acks) > 0 {
		return se.shard.settings.SyncPeriod
	}
	return se.shard.settings.IdlePeriod
}

// adopted takes the first answer under this epoch, or after a lapse.
func (se *session) adopted() {
	se.place()
	se.news()
}

// news takes the newest answer. Until the shard serves, it is only kept: the
// endpoint repeats what has not been acknowledged.
func (se *session) news() {
	s := se.shard
	if s.chart.settling.Has(s.state) {
		se.apply(se.last, se.whole)
	}
}

// apply takes what the endpoint says of its attempts.
func (se *session) apply(reply endpoint.SyncReply, whole bool) {
	s := se.shard
	for _, f := range reply.Finished {
		s.finish(se, f)
	}
	if whole {
		se.compare(reply.Running)
		s.policy.Report(s.now, se.info.ID, reply.Running)
	}
	if reply.Leaving && !se.info.Leaving {
		se.info.Leaving = true
		se.place()
	}
}

// compare brings what runs there and what should together.
func (se *session) compare(running []model.Running) {
	s := se.shard
	present := make(map[model.AttemptID]bool, len(running))
	for _, r := range running {
		present[r.Attempt] = true
		if a := se.attempts[r.Attempt]; a != nil {
			se.unqueue(a)
			s.confirm(a)
			continue
		}
		se.order(endpoint.Order{Attempt: r.Attempt, Control: endpoint.Stop})
	}
	for id, a := range se.attempts {
		if a.sent && !present[id] {
			se.miss(a)
		}
	}
}

// miss handles an attempt that was sent and that the endpoint does not know.
// One that may run again is sent again under its name, which the endpoint
// starts once at most.
func (se *session) miss(a *attempt) {
	s := se.shard
	if a.confirmed || a.record.request.Spec.NotRepeatable {
		s.loseAttempt(a)
		return
	}
	a.sent = false
	s.settle(a.record)
	se.enqueue(a)
}

// results takes the endpoint's word on the starts.
func (se *session) results(results []endpoint.StartResult) {
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

// requeue keeps the orders and acknowledgements of a failed Sync; both can be
// repeated.
func (se *session) requeue(request endpoint.SyncRequest) {
	for _, o := range request.Orders {
		if !slices.Contains(se.orders, o) {
			se.orders = append(se.orders, o)
		}
	}
	for _, id := range request.Acknowledged {
		se.acknowledge(id)
	}
}

// takeBack undoes a Sync that was not sent.
func (se *session) takeBack(request endpoint.SyncRequest) {
	syncsWithheld.Add(1)
	se.requeue(request)
	se.due = se.shard.now.Add(firstBackoff)
	for _, start := range request.Starts {
		a := se.attempts[start.Attempt]
		if a == nil {
			continue
		}
		a.sent = false
		se.shard.settle(a.record)
		se.starts = append(se.starts, a)
	}
}

// rejectAll takes a Sync that had no effect.
func (se *session) rejectAll(request endpoint.SyncRequest) {
	for _, start := range request.Starts {
		if a := se.attempts[start.Attempt]; a != nil {
			se.shard.reject(a)
		}
	}
}
