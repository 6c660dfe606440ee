package sched

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
)

// attemptsPerEpoch is the range of attempt numbers that each epoch has for a
// task of repeatable work.
const attemptsPerEpoch = 1000

// advance fires the events that depend on the time and on the endpoints'
// replies.
func (s *Shard) advance() {
	if s.chart.adopting.Has(s.state) {
		s.advanceTakeover()
	}
	if s.chart.draining.Has(s.state) {
		s.advanceDrain()
	}
	if s.chart.resigning.Has(s.state) && s.now.After(s.redirectUntil) {
		s.fire(s.chart.redirectTimeout)
	}
	if !s.holding() {
		return
	}
	for _, se := range s.sessions {
		se.lapseIfExpired()
	}
	if s.serving() {
		s.proposeMembers()
	}
}

// absentGrace is how long an endpoint must be missing from the instance list,
// which lags, before it counts as removed.
const absentGrace = 10 * time.Second

// advanceTakeover counts the endpoints that have accepted the epoch. Removed
// endpoints need not accept it: they accept nothing, not from the previous
// holder either.
func (s *Shard) advanceTakeover() {
	fenced, needed := 0, 0
	for _, m := range s.members {
		se := s.sessions[m.ID]
		if se.fenced {
			fenced++
		}
		if se.fenced || !se.absent() {
			needed++
		}
	}
	if fenced == needed {
		s.fire(s.chart.allFenced)
		return
	}
	if fenced > needed/2 {
		s.fire(s.chart.majorityFenced)
	}
	if !s.waitUntil.IsZero() && s.now.After(s.waitUntil) {
		s.fire(s.chart.waitOver)
	}
}

// advanceDrain ends the drain once it is complete. In its last third, starts
// that could not be sent are withdrawn, so that the successor starts them.
func (s *Shard) advanceDrain() {
	if s.now.After(s.drainUntil.Add(-s.settings.DrainTimeout / 3)) {
		s.withdrawUnsent()
	}
	if s.drained() {
		s.fire(s.chart.drained)
	}
}

// withdrawUnsent rejects every start that has not been sent.
func (s *Shard) withdrawUnsent() {
	for _, a := range s.attempts {
		if !a.sent {
			s.reject(a)
		}
	}
}

// drained reports whether no Sync, start or journal entry is pending that the
// hand-over would interrupt, or whether the time for the drain is over.
func (s *Shard) drained() bool {
	if s.now.After(s.drainUntil) {
		return true
	}
	for _, se := range s.sessions {
		if se.inflight || len(se.starts) > 0 {
			return false
		}
	}
	for _, a := range s.attempts {
		if a.sent && !a.confirmed {
			return false
		}
	}
	return s.unrecorded() == 0
}

// handOverAll gives every request to the scheduler, which may start work from
// now on.
func (s *Shard) handOverAll() {
	for _, se := range s.sessions {
		se.addInherited()
		se.addToScheduler()
		s.inherit(se)
	}
	for _, r := range s.oldestFirst() {
		if s.requestChart.moved.Has(r.state) {
			continue
		}
		if r.fromPreviousHolder {
			s.adopt(r)
			continue
		}
		s.handOver(r)
	}
	for _, se := range s.sessions {
		if se.fenced {
			se.applyReply(se.adoption, true)
		}
		if s.sessionChart.lapsed.Has(se.state) {
			se.markLapsed()
		}
	}
	s.dirty = true
}

// oldestFirst returns the open requests in the order of their acceptance, since
// the scheduler appends each to its queue.
func (s *Shard) oldestFirst() []*record {
	return slices.SortedFunc(maps.Values(s.active), func(a, b *record) int {
		return cmp.Or(
			a.request.Accepted.Compare(b.request.Accepted),
			strings.Compare(string(a.request.ID), string(b.request.ID)),
		)
	})
}

// inherit records which attempts of open requests the endpoint runs or has
// ended.
func (s *Shard) inherit(se *session) {
	for _, r := range se.adoption.Running {
		if r.Request != nil {
			s.inheritAttempt(se, r.Attempt, r.Size, r.Request)
		}
	}
	for _, f := range se.adoption.Finished {
		if f.Request != nil {
			s.inheritAttempt(se, f.Attempt, f.Request.Spec.Size, f.Request)
		}
	}
}

func (s *Shard) inheritAttempt(se *session, id model.AttemptID, size model.Resources, request *model.Request) {
	r := s.records[request.ID]
	if r == nil && !request.Spec.NotRepeatable {
		r = s.restoreUnrecorded(request)
	}
	if r == nil || r.answer != nil || s.requestChart.moved.Has(r.state) || r.hasPart(id.Task.Index) {
		return
	}
	start := policy.Start{Attempt: id, Endpoint: se.info.ID, Size: size, Request: r.request}
	for i, other := range r.inherited.running {
		if other.Attempt.Task != id.Task {
			continue
		}
		if other.Attempt.Number < id.Number {
			r.inherited.running[i] = start
		}
		return
	}
	r.inherited.running = append(r.inherited.running, start)
}

// restoreUnrecorded creates the record of a request that was started before
// its acceptance was durable, and journals the acceptance.
func (s *Shard) restoreUnrecorded(request *model.Request) *record {
	r := s.newRecord(request)
	r.fromPreviousHolder = true
	r.recordAcceptance()
	r.fire(s.requestChart.adopted)
	return r
}

// adopt gives a request of the previous holder to the scheduler.
func (s *Shard) adopt(r *record) {
	adoption := policy.Adoption{Request: r.request, Running: r.inherited.running}
	for _, p := range r.parts {
		adoption.Done = append(adoption.Done, p.Index)
	}
	for _, start := range adoption.Running {
		adoption.Started = append(adoption.Started, start.Attempt)
		s.adoptAttempt(r, start)
	}
	for _, intent := range r.inherited.intents {
		running := slices.ContainsFunc(adoption.Started, func(id model.AttemptID) bool { return id.Task == intent.Attempt.Task })
		if running || r.hasPart(intent.Attempt.Task.Index) {
			continue
		}
		r.mayHaveRun = true
		adoption.Started = append(adoption.Started, intent.Attempt)
		adoption.Lost = append(adoption.Lost, intent.Attempt)
	}
	if !r.request.Spec.NotRepeatable {
		adoption.Started = append(adoption.Started, s.firstNumbers(r)...)
	}
	r.inherited = inheritance{}
	r.inScheduler = true
	s.policy.Adopt(s.now, adoption)
}

// firstNumbers returns, for each task that neither runs nor has succeeded, the
// attempt id that the numbers of this epoch follow. They are above those of any
// previous epoch, which are not journaled.
func (s *Shard) firstNumbers(r *record) []model.AttemptID {
	var from []model.AttemptID
	for index := range r.request.Spec.Tasks {
		task := model.TaskID{Request: r.request.ID, Index: index}
		running := slices.ContainsFunc(r.inherited.running, func(start policy.Start) bool { return start.Attempt.Task == task })
		if !running && !r.hasPart(index) {
			from = append(from, model.AttemptID{Task: task, Number: int(s.epoch) * attemptsPerEpoch})
		}
	}
	return from
}

// adoptAttempt tracks an inherited attempt that runs or whose end is not
// durable.
func (s *Shard) adoptAttempt(r *record, start policy.Start) {
	r.ran = true
	a := &attempt{start: start, record: r, sent: true, confirmed: true}
	s.track(a, s.sessions[start.Endpoint])
}

// hasPart reports whether the task has succeeded.
func (r *record) hasPart(index int) bool {
	return slices.ContainsFunc(r.parts, func(p model.Part) bool { return p.Index == index })
}
