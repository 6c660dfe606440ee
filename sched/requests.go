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

// cancelWait bounds how long a cancellation waits for the request's answer.
const cancelWait = 5 * time.Second

func (m submit) deliver(s *Shard) {
	if !s.admit(m, m.caller) {
		return
	}
	if r := s.records[m.request.ID]; r != nil {
		s.handleDuplicate(r, m)
		return
	}
	request, refusal := s.accept(m.request)
	if refusal != nil {
		s.refuse(m.caller, m.request.ID, refusal)
		return
	}
	r := s.newRecord(request)
	r.submitters = append(r.submitters, s.keepCaller(m.caller))
	r.fire(s.requestChart.submitted)
	submissions.Add(1)
	// The intent to start work that runs at most once is durable before the
	// start is sent, and the acceptance before the intent, so such work can be
	// planned immediately. While the store is down its start can't be sent, and
	// planning it would only reserve capacity that other work could use.
	if !request.Spec.NotRepeatable || s.storeUp {
		s.handOver(r)
	}
}

// handleDuplicate handles a submission whose request id already exists.
func (s *Shard) handleDuplicate(r *record, m submit) {
	switch {
	case !sameContent(r.request.Spec, m.request.Spec):
		s.refuse(m.caller, m.request.ID, &result.Error{Code: result.KeyReused, Reason: "the key belongs to another request"})
	case r.published:
		m.caller.send(peer.Reply{Answer: *r.answer})
	case s.requestChart.unrecorded.Has(r.state):
		r.submitters = append(r.submitters, s.keepCaller(m.caller))
	default:
		m.caller.send(peer.Reply{Answer: pending(r.request.ID)})
	}
}

// sameContent compares two specs as submitted. NotRepeatable is ignored, since
// it may have been set from the class.
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

// accept validates a new request and sets its window.
func (s *Shard) accept(m peer.SubmitRequest) (*model.Request, *result.Error) {
	if len(s.active) >= s.settings.MaxOpen || s.waitingCallers >= s.settings.MaxWaiters {
		return nil, &result.Error{Code: result.QueueFull, Reason: "the shard has as many open requests as it takes"}
	}
	if s.unrecorded() >= s.settings.MaxUnrecorded {
		return nil, &result.Error{Code: result.StoreUnavailable, Reason: "too much waits to be recorded"}
	}
	if m.ConfigVersion < s.config.Version && !s.homes.AllAtFirstChoice(s.now, routing.PlacementLookback) {
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

// handOver submits the request to the scheduler if the shard is serving.
func (s *Shard) handOver(r *record) {
	if !s.serving() || r.inScheduler {
		return
	}
	r.inScheduler = true
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
	case r.published:
		m.caller.send(peer.Reply{Answer: *r.answer})
	case m.request.Wait <= 0 || s.waitingCallers >= s.settings.MaxWaiters:
		m.caller.send(peer.Reply{Answer: pending(r.request.ID)})
	default:
		r.waiters = append(r.waiters, s.keepCaller(m.caller))
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
	case r.published:
		m.caller.send(peer.Reply{Answer: *r.answer})
	case !s.serving():
		// Which attempts the previous holder started is not known yet.
		s.deferred = append(s.deferred, deferredCall{m, s.keepCaller(m.caller)})
	default:
		m.caller.until = s.now.Add(cancelWait)
		r.waiters = append(r.waiters, s.keepCaller(m.caller))
		s.cancel(r)
	}
}

// cancel ends a request: through the scheduler when the scheduler has it, and
// with the next query to the other shard when it has been moved.
func (s *Shard) cancel(r *record) {
	if s.requestChart.moved.Has(r.state) {
		r.cancelled = true
		return
	}
	if r.inScheduler {
		s.policy.Cancel(s.now, r.request.ID)
		s.dirty = true
		return
	}
	s.endLater(policy.Ending{Request: r.request.ID, Code: result.Cancelled, Reason: "cancelled by the caller"})
}

// endLater queues an ending until the current message has been handled.
func (s *Shard) endLater(e policy.Ending) { s.endings = append(s.endings, e) }

// end sets the request's answer. It is delayed while a start is unconfirmed, so
// that the answer reports correctly whether the work ran.
func (s *Shard) end(e policy.Ending) {
	r := s.records[e.Request]
	if r == nil || r.answer != nil || s.requestChart.moved.Has(r.state) {
		return
	}
	s.withdraw(r)
	if r.unconfirmed > 0 && result.Lookup(e.Code).Ran == model.NotRun && s.now.Before(r.request.Deadline) {
		ending := e
		r.ending = &ending
		return
	}
	answer := r.finalAnswer(e)
	r.answer = &answer
	r.fire(s.requestChart.ended)
	if !s.storeUp {
		r.fire(s.requestChart.storeDown)
	}
}

// resolveUnconfirmed counts one attempt fewer as unconfirmed, and ends the
// request if an ending waited for the last one.
func (s *Shard) resolveUnconfirmed(r *record) {
	r.unconfirmed--
	if r.unconfirmed == 0 && r.ending != nil {
		s.endLater(*r.ending)
		r.ending = nil
	}
}

// sweep checks the active requests for windows that have ended and callers
// that have timed out.
func (s *Shard) sweep() {
	for _, r := range s.active {
		r.submitters = s.expireCallers(r, r.submitters)
		r.waiters = s.expireCallers(r, r.waiters)
		if s.now.Before(r.request.Deadline) {
			continue
		}
		if r.ending != nil {
			s.endLater(*r.ending)
			r.ending = nil
		}
		r.fire(s.requestChart.windowOver)
	}
	s.processEndings()
}

// expireCallers replies to the callers that have timed out that there is no
// answer yet, and returns the others.
func (s *Shard) expireCallers(r *record, callers []caller) []caller {
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

// prune removes answered requests after the retention period.
func (s *Shard) prune() {
	oldest := s.now.Add(-s.settings.Journal.Retention)
	for id, r := range s.records {
		if !s.requestChart.answered.Has(r.state) || !r.answeredAt.Before(oldest) || !r.request.Deadline.Before(oldest) {
			continue
		}
		r.fire(s.requestChart.retentionOver)
		delete(s.records, id)
	}
}
