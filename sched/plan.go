package sched

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// attempt is one attempt that this holder has decided on or inherited.
type attempt struct {
	start  policy.Start
	record *record
	// sent says that the start has left, or may have left, this process.
	sent bool
	// confirmed says that the endpoint has started it.
	confirmed bool
}

// controls are the commands that carry out a treatment.
var controls = map[model.Treatment]endpoint.Control{
	model.Throttle:   endpoint.Throttle,
	model.Checkpoint: endpoint.Checkpoint,
	model.Rerun:      endpoint.Stop,
	model.Refuse:     endpoint.Stop,
}

// decide asks the scheduler what follows and carries it out.
func (s *Shard) decide() {
	due := !s.wake.IsZero() && !s.now.Before(s.wake)
	if !s.serving() || (!s.dirty && !due) {
		return
	}
	s.dirty = false
	s.plan.Reset()
	s.policy.Decide(s.now, &s.plan)
	s.wake = s.plan.Wake
	for _, start := range s.plan.Starts {
		s.start(start)
	}
	for _, halt := range s.plan.Halts {
		s.halt(halt)
	}
	for _, ending := range s.plan.Endings {
		s.end(ending)
	}
	s.endAll()
}

// start puts an attempt on its way. The intent to start work that runs at most
// once is on record before it is sent.
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
		session.enqueue(a)
		return
	}
	intent := shardjournal.Intent{Attempt: start.Attempt, Endpoint: start.Endpoint}
	s.append(shardjournal.Entry{Intent: &intent}, intentDurable{a})
}

// track keeps the attempt until its fate is known.
func (s *Shard) track(a *attempt, session *session) {
	s.attempts[a.start.Attempt] = a
	session.attempts[a.start.Attempt] = a
	a.record.attempts = append(a.record.attempts, a)
}

// markSent says that the start has left, or may have left, this process.
func (a *attempt) markSent() {
	if a.sent {
		return
	}
	a.sent = true
	a.record.exposed = true
	a.record.unsettled++
}

// follow sends the start unless it was withdrawn meanwhile.
func (c intentDurable) follow(s *Shard) {
	a := c.attempt
	session := s.sessions[a.start.Endpoint]
	if s.attempts[a.start.Attempt] != a || session == nil {
		return
	}
	session.enqueue(a)
}

// halt orders the treatment of a running attempt. A start that has not left is
// taken back instead: the endpoint would not know it yet, and start it after.
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
	session.order(endpoint.Order{Attempt: h.Attempt, Control: controls[h.Treatment]})
}

// withdraw takes back the request's starts that have not been sent.
func (s *Shard) withdraw(r *record) {
	for _, a := range slices.Clone(r.attempts) {
		if a.sent {
			continue
		}
		s.drop(a)
		s.policy.Reject(s.now, a.start.Attempt)
	}
}

// reject says that the attempt has not run.
func (s *Shard) reject(a *attempt) {
	s.drop(a)
	s.recordWithdrawal(a)
	if session := s.sessions[a.start.Endpoint]; session != nil {
		session.reportAt = s.now
	}
	s.policy.Reject(s.now, a.start.Attempt)
	s.dirty = true
}

// recordWithdrawal tells a successor that the intended start did not happen, so
// that it need not answer "unknown".
func (s *Shard) recordWithdrawal(a *attempt) {
	if a.record.request.Spec.NotRepeatable && a.record.answer == nil {
		s.append(shardjournal.Entry{Withdrawn: &a.start.Attempt}, nothing{})
	}
}

// drop forgets an attempt whose fate is known.
func (s *Shard) drop(a *attempt) {
	if session := s.sessions[a.start.Endpoint]; session != nil {
		session.forget(a)
	}
	delete(s.attempts, a.start.Attempt)
	a.record.attempts = slices.DeleteFunc(a.record.attempts, func(other *attempt) bool { return other == a })
	if a.sent && !a.confirmed {
		s.settle(a.record)
	}
}

// confirm says that the attempt runs.
func (s *Shard) confirm(a *attempt) {
	if a.confirmed {
		return
	}
	a.markSent()
	a.confirmed = true
	a.record.ran = true
	s.settle(a.record)
	wall := s.now.Round(0)
	a.record.lastStart = wall
	s.waits.record(a.record.request, wall)
	s.policy.Confirm(s.now, a.start.Attempt)
	s.dirty = true
}

// finish takes the end of an attempt that the endpoint reports.
func (s *Shard) finish(session *session, f model.Finished) {
	settled := settledAttempt{session.info.ID, f.Attempt}
	a := s.attempts[f.Attempt]
	if a == nil || a.start.Endpoint != session.info.ID {
		if !s.awaitsRecord(settled) {
			session.acknowledge(f.Attempt)
		}
		return
	}
	s.confirm(a)
	s.drop(a)
	if f.Outcome == model.Succeeded {
		s.keepPart(a.record, f, settled)
	} else if a.record.request.Spec.NotRepeatable {
		a.record.settled = append(a.record.settled, settled)
	} else {
		session.acknowledge(f.Attempt)
	}
	s.policy.Finish(s.now, policy.Finish{
		Attempt: f.Attempt, Outcome: f.Outcome, Elapsed: f.Elapsed, Peak: f.Peak,
	})
	s.dirty = true
}

// awaitsRecord reports whether the attempt is known to have ended and its
// record is on its way.
func (s *Shard) awaitsRecord(settled settledAttempt) bool {
	r := s.records[settled.attempt.Task.Request]
	return r != nil && slices.Contains(r.settled, settled)
}

// keepPart keeps the answer of a task. The endpoint may forget it once it is on
// record: with the request's answer, or before when there are several tasks.
func (s *Shard) keepPart(r *record, f model.Finished, settled settledAttempt) {
	r.settled = append(r.settled, settled)
	part := model.Part{Index: f.Attempt.Task.Index, Output: f.Output}
	if !r.addPart(part) || r.request.Spec.Tasks <= 1 {
		return
	}
	done := shardjournal.Done{Request: r.request.ID, Part: part}
	s.append(shardjournal.Entry{Done: &done}, partDurable{settled})
}

// acknowledge lets the endpoint forget an attempt.
func (s *Shard) acknowledge(settled settledAttempt) {
	if r := s.records[settled.attempt.Task.Request]; r != nil {
		r.settled = slices.DeleteFunc(r.settled, func(other settledAttempt) bool { return other == settled })
	}
	if session := s.sessions[settled.endpoint]; session != nil {
		session.acknowledge(settled.attempt)
	}
}

// loseAttempt says that the attempt does not run any more and that nobody
// knows whether it ran.
func (s *Shard) loseAttempt(a *attempt) {
	if !a.sent {
		s.reject(a)
		return
	}
	a.record.uncertain = a.record.uncertain || !a.confirmed
	s.drop(a)
	startsUnsure.Add(1)
	s.policy.Finish(s.now, policy.Finish{Attempt: a.start.Attempt, Outcome: model.Lapsed, Uncertain: true})
	s.dirty = true
}
