package sched

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// attempt is one attempt that this holder has planned or inherited.
type attempt struct {
	start  policy.Start
	record *record
	// sent is set when the start has been sent, or may have been.
	sent bool
	// effectiveUntil is the time on the endpoint's own clock, as in its stamps,
	// after which the endpoint rejects the Sync with the start.
	effectiveUntil int64
	// confirmed is set when the endpoint has reported that it started the
	// attempt.
	confirmed bool
}

// controlFor maps each treatment to the command that applies it.
var controlFor = map[model.Treatment]endpoint.Control{
	model.Throttle:   endpoint.Throttle,
	model.Checkpoint: endpoint.Checkpoint,
	model.Rerun:      endpoint.Stop,
	model.Refuse:     endpoint.Stop,
}

// decide requests a plan from the scheduler when one is due, and executes it.
func (s *Shard) decide() {
	due := !s.wakeAt.IsZero() && !s.now.Before(s.wakeAt)
	if !s.serving() || (!s.dirty && !due) {
		return
	}
	s.dirty = false
	s.plan.Reset()
	s.policy.Decide(s.now, &s.plan)
	s.wakeAt = s.plan.Wake
	for _, start := range s.plan.Starts {
		s.start(start)
	}
	for _, halt := range s.plan.Halts {
		s.halt(halt)
	}
	for _, ending := range s.plan.Endings {
		s.end(ending)
	}
	s.processEndings()
}

// start queues the start of an attempt. For work that runs at most once, the
// intent is made durable before the start is sent.
func (s *Shard) start(start policy.Start) {
	r := s.records[start.Attempt.Task.Request]
	session := s.sessions[start.Endpoint]
	if r == nil || session == nil {
		s.policy.Reject(s.now, start.Attempt)
		return
	}
	a := &attempt{start: start, record: r}
	s.track(a, session)
	if !r.request.Spec.NotRepeatable {
		session.enqueueStart(a)
		return
	}
	intent := shardjournal.Intent{Attempt: start.Attempt, Endpoint: start.Endpoint}
	s.append(shardjournal.Entry{Intent: &intent}, intentDurable{a})
}

// track registers the attempt until its outcome is known.
func (s *Shard) track(a *attempt, session *session) {
	s.attempts[a.start.Attempt] = a
	session.attempts[a.start.Attempt] = a
	a.record.attempts = append(a.record.attempts, a)
}

// markSent records that the start has been sent, or may have been.
func (a *attempt) markSent() {
	if a.sent {
		return
	}
	a.sent = true
	a.record.everSent = true
	a.record.unconfirmed++
}

// onDurable queues the start, unless it has been withdrawn in the meantime.
func (c intentDurable) onDurable(s *Shard) {
	a := c.attempt
	session := s.sessions[a.start.Endpoint]
	if s.attempts[a.start.Attempt] != a || session == nil {
		return
	}
	session.enqueueStart(a)
}

// halt sends the command for the treatment of a running attempt. A start that
// has not been sent is withdrawn instead: the endpoint would ignore a command
// for an attempt that it has not received, and start the attempt afterwards.
func (s *Shard) halt(h policy.Halt) {
	a := s.attempts[h.Attempt]
	if h.Treatment != model.Throttle && a != nil && !a.sent && !a.confirmed {
		s.reject(a)
		return
	}
	session := s.sessions[h.Endpoint]
	if session == nil {
		return
	}
	session.enqueueCommand(endpoint.Order{Attempt: h.Attempt, Control: controlFor[h.Treatment]})
}

// withdraw drops the request's starts that have not been sent.
func (s *Shard) withdraw(r *record) {
	for _, a := range slices.Clone(r.attempts) {
		if a.sent {
			continue
		}
		s.untrack(a)
		s.policy.Reject(s.now, a.start.Attempt)
	}
}

// reject handles an attempt that did not and will not run.
func (s *Shard) reject(a *attempt) {
	s.untrack(a)
	s.recordWithdrawal(a)
	if session := s.sessions[a.start.Endpoint]; session != nil {
		session.reportAt = s.now
	}
	s.policy.Reject(s.now, a.start.Attempt)
	s.dirty = true
}

// recordWithdrawal journals that the intended start did not happen, so that a
// successor need not answer that the outcome is unknown.
func (s *Shard) recordWithdrawal(a *attempt) {
	if a.record.request.Spec.NotRepeatable && a.record.answer == nil {
		s.append(shardjournal.Entry{Withdrawn: &a.start.Attempt}, noAction{})
	}
}

// untrack removes an attempt whose outcome is known.
func (s *Shard) untrack(a *attempt) {
	if session := s.sessions[a.start.Endpoint]; session != nil {
		session.removeAttempt(a)
	}
	delete(s.attempts, a.start.Attempt)
	a.record.attempts = slices.DeleteFunc(a.record.attempts, func(other *attempt) bool { return other == a })
	if a.sent && !a.confirmed {
		s.resolveUnconfirmed(a.record)
	}
}

// confirm records that the endpoint has started the attempt.
func (s *Shard) confirm(a *attempt) {
	if a.confirmed {
		return
	}
	a.markSent()
	a.confirmed = true
	a.record.ran = true
	s.resolveUnconfirmed(a.record)
	wall := s.now.Round(0)
	a.record.lastStart = wall
	s.waitTimes.record(a.record.request, wall)
	s.policy.Confirm(s.now, a.start.Attempt)
	s.dirty = true
}

// finish handles the end of an attempt that the endpoint reports.
func (s *Shard) finish(session *session, f model.Finished) {
	ended := endedAttempt{session.info.ID, f.Attempt}
	a := s.attempts[f.Attempt]
	if a == nil || a.start.Endpoint != session.info.ID {
		if !s.awaitsDurableEnd(ended) {
			session.acknowledge(f.Attempt)
		}
		return
	}
	s.confirm(a)
	s.untrack(a)
	if f.Outcome == model.Succeeded {
		s.recordPart(a.record, f, ended)
	} else if a.record.request.Spec.NotRepeatable {
		a.record.unacknowledged = append(a.record.unacknowledged, ended)
	} else {
		session.acknowledge(f.Attempt)
	}
	s.policy.Finish(s.now, policy.Finish{
		Attempt: f.Attempt, Outcome: f.Outcome, Elapsed: f.Elapsed, Peak: f.Peak,
	})
	s.dirty = true
}

// awaitsDurableEnd reports whether the end of the attempt has been received
// and its journal entry is not durable yet.
func (s *Shard) awaitsDurableEnd(ended endedAttempt) bool {
	r := s.records[ended.attempt.Task.Request]
	return r != nil && slices.Contains(r.unacknowledged, ended)
}

// recordPart adds the output of a task to its request. The endpoint may discard
// the output once it is durable: with the request's answer, or on its own when
// the request has several tasks.
func (s *Shard) recordPart(r *record, f model.Finished, ended endedAttempt) {
	r.unacknowledged = append(r.unacknowledged, ended)
	part := model.Part{Index: f.Attempt.Task.Index, Output: f.Output}
	if !r.addPart(part) || r.request.Spec.Tasks <= 1 {
		return
	}
	done := shardjournal.Done{Request: r.request.ID, Part: part}
	s.append(shardjournal.Entry{Done: &done}, partDurable{ended})
}

// acknowledge lets the endpoint discard an ended attempt.
func (s *Shard) acknowledge(ended endedAttempt) {
	if r := s.records[ended.attempt.Task.Request]; r != nil {
		r.unacknowledged = slices.DeleteFunc(r.unacknowledged, func(other endedAttempt) bool { return other == ended })
	}
	if session := s.sessions[ended.endpoint]; session != nil {
		session.acknowledge(ended.attempt)
	}
}

// lapseAttempt ends an attempt that does not run any more and whose outcome is
// unknown. An attempt that was never sent is rejected instead.
func (s *Shard) lapseAttempt(a *attempt) {
	if !a.sent {
		s.reject(a)
		return
	}
	a.record.mayHaveRun = a.record.mayHaveRun || !a.confirmed
	s.untrack(a)
	startsAmbiguous.Add(1)
	s.policy.Finish(s.now, policy.Finish{Attempt: a.start.Attempt, Outcome: model.Lapsed, Ambiguous: true})
	s.dirty = true
}
