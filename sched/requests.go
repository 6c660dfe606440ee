package sched

import (
	"errors"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
)

// cancelWait bounds how long the call of a cancellation waits for its answer.
const cancelWait = 5 * time.Second

func (m submit) deliver(s *Shard) {
	if !s.admit(m, m.caller) {
		return
	}
	if r := s.records[m.request.ID]; r != nil {
		s.repeat(r, m)
		return
	}
	request, refusal := s.accept(m.request)
	if refusal != nil {
		s.refuse(m.caller, m.request.ID, refusal)
		return
	}
	r := s.newRecord(request)
	r.submitters = append(r.submitters, s.waiting(m.caller))
	r.fire(s.recordChart.submitted)
	submissions.Add(1)
	// The intent to start work that runs at most once is on record before the
	// start is sent, and the acceptance before the intent: so it can be planned
	// at once. While the store is down it would only keep capacity from others.
	if !request.Spec.NotRepeatable || s.storeUp {
		s.handOver(r)
	}
}

// repeat answers a submission of a request that is known.
func (s *Shard) repeat(r *record, m submit) {
	switch {
	case !sameContent(r.request.Spec, m.request.Spec):
		s.refuse(m.caller, m.request.ID, &result.Error{Code: result.KeyReused, Reason: "the key belongs to another request"})
	case r.told:
		m.caller.send(peer.Reply{Answer: *r.answer})
	case s.recordChart.unrecorded.Has(r.state):
		r.submitters = append(r.submitters, s.waiting(m.caller))
	default:
		m.caller.send(peer.Reply{Answer: pending(r.request.ID)})
	}
}

// sameContent compares what callers asked for; the flag may have come from the
// class.
func sameContent(a, b model.Spec) bool {
	a, b = withDefaults(a), withDefaults(b)
	a.NotRepeatable = b.NotRepeatable
	return a == b
}

func withDefaults(spec model.Spec) model.Spec {
	spec.Tasks = max(spec.Tasks, 1)
	if spec.Kind == "" {
		spec.Kind = model.Batch
	}
	return spec
}

// accept checks a new request and gives it its window.
func (s *Shard) accept(m peer.SubmitRequest) (*model.Request, *result.Error) {
	if len(s.active) >= s.settings.MaxOpen || s.callers >= s.settings.MaxWaiters {
		return nil, &result.Error{Code: result.QueueFull, Reason: "the shard has as many open requests as it takes"}
	}
	if s.unrecorded() >= s.settings.MaxUnrecorded {
		return nil, &result.Error{Code: result.StoreUnavailable, Reason: "too much waits to be recorded"}
	}
	if m.ConfigVersion < s.config.Version && !s.homes.Settled(s.now, routing.PlacementMemory) {
		return nil, &result.Error{Code: result.Busy, Reason: "the entry instance may not know yet which domains are in service"}
	}
	class, known := s.config.Class(m.Spec.Class)
	if !known {
		return nil, s.unknownClass(m)
	}
	spec := withDefaults(m.Spec)
	spec.NotRepeatable = spec.NotRepeatable || !class.Repeatable
	wall := s.now.Round(0)
	request := &model.Request{
		ID: m.ID, Team: m.Team, Key: m.Key, Spec: spec,
		Accepted: wall, Deadline: wall.Add(class.Window),
	}
	if !s.serving() {
		return request, nil
	}
	if err := s.policy.Check(s.now, request); err != nil {
		return nil, result.Of(err)
	}
	return request, nil
}

func (s *Shard) unknownClass(m peer.SubmitRequest) *result.Error {
	if m.ConfigVersion > s.config.Version {
		return &result.Error{Code: result.Busy, Reason: "the configuration of the caller's entry instance is newer"}
	}
	return &result.Error{Code: result.UnknownClass, Reason: "there is no class " + string(m.Spec.Class)}
}

// handOver gives the request to the scheduler, once it may start work.
func (s *Shard) handOver(r *record) {
	if !s.serving() || r.handed {
		return
	}
	r.handed = true
	s.dirty = true
	err := s.policy.Submit(s.now, r.request)
	if err == nil {
		return
	}
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		refusal = result.Of(err)
	}
	s.endLater(policy.Ending{Request: r.request.ID, Code: refusal.Code, Reason: refusal.Reason})
}

func (m await) deliver(s *Shard) {
	if !s.admit(m, m.caller) {
		return
	}
	r := s.records[m.request.ID]
	switch {
	case r == nil && m.request.ConfigVersion > s.config.Version:
		s.refuse(m.caller, m.request.ID, &result.Error{Code: result.Busy, Reason: "the scheduler's configuration is older than the caller's entry instance's"})
	case r == nil || r.request.Team != m.request.Team:
		s.refuse(m.caller, m.request.ID, &result.Error{Code: result.UnknownRequest, Reason: "no such request of this team"})
	case r.told:
		m.caller.send(peer.Reply{Answer: *r.answer})
	case m.request.Wait <= 0 || s.callers >= s.settings.MaxWaiters:
		m.caller.send(peer.Reply{Answer: pending(r.request.ID)})
	default:
		r.waiters = append(r.waiters, s.waiting(m.caller))
	}
}

func (m cancel) deliver(s *Shard) {
	if !s.admit(m, m.caller) {
		return
	}
	r := s.records[m.request.ID]
	switch {
	case r == nil || r.request.Team != m.request.Team:
		s.refuse(m.caller, m.request.ID, &result.Error{Code: result.UnknownRequest, Reason: "no such request of this team"})
	case r.told:
		m.caller.send(peer.Reply{Answer: *r.answer})
	case !s.serving():
		// What a former holder has started is not known yet.
		s.deferred = append(s.deferred, deferredCall{m, s.waiting(m.caller)})
	default:
		m.caller.until = s.now.Add(cancelWait)
		r.waiters = append(r.waiters, s.waiting(m.caller))
		s.cancel(r)
	}
}

// cancel ends a request, by the scheduler when it has it.
func (s *Shard) cancel(r *record) {
	if s.recordChart.moved.Has(r.state) {
		r.cancelled = true
		return
	}
	if r.handed {
		s.policy.Cancel(s.now, r.request.ID)
		s.dirty = true
		return
	}
	s.endLater(policy.Ending{Request: r.request.ID, Code: result.Cancelled, Reason: "cancelled by the caller"})
}

// endLater ends the request after the message under way.
func (s *Shard) endLater(e policy.Ending) { s.endings = append(s.endings, e) }

// end gives the request its answer. An attempt whose start is under way is
// waited for, so that the answer says truly whether the work ran.
func (s *Shard) end(e policy.Ending) {
	r := s.records[e.Request]
	if r == nil || r.answer != nil || s.recordChart.moved.Has(r.state) {
		return
	}
	s.withdraw(r)
	if r.unsettled > 0 && result.Lookup(e.Code).Ran == model.NotRun && s.now.Before(r.request.Deadline) {
		ending := e
		r.ending = &ending
		return
	}
	answer := r.truth(e)
	r.answer = &answer
	r.fire(s.recordChart.ended)
	if !s.storeUp {
		r.fire(s.recordChart.storeDown)
	}
}

// settle notes that one attempt's fate is known.
func (s *Shard) settle(r *record) {
	r.unsettled--
	if r.unsettled == 0 && r.ending != nil {
		s.endLater(*r.ending)
		r.ending = nil
	}
}

// sweep looks at every request without an answer: windows and callers end.
func (s *Shard) sweep() {
	for _, r := range s.active {
		r.submitters = s.expire(r, r.submitters)
		r.waiters = s.expire(r, r.waiters)
		if s.now.Before(r.request.Deadline) {
			continue
		}
		if r.ending != nil {
			s.endLater(*r.ending)
			r.ending = nil
		}
		r.fire(s.recordChart.windowOver)
	}
	s.endAll()
}

// expire tells the callers whose time is over that there is no answer yet.
func (s *Shard) expire(r *record, callers []caller) []caller {
	kept := callers[:0]
	for _, c := range callers {
		if s.now.Before(c.until) {
			kept = append(kept, c)
			continue
		}
		s.answerCaller(c, pending(r.request.ID))
	}
	return kept
}

// prune forgets answers that were kept long enough.
func (s *Shard) prune() {
	oldest := s.now.Add(-s.settings.Journal.Retention)
	for id, r := range s.records {
		if !s.recordChart.answered.Has(r.state) || !r.answeredAt.Before(oldest) || !r.request.Deadline.Before(oldest) {
			continue
		}
		r.fire(s.recordChart.retentionOver)
		delete(s.records, id)
	}
}
