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

// attemptsPerEpoch is the distance between the attempt numbers of two epochs.
const attemptsPerEpoch = 1000

// advance fires what the time and the endpoints' answers have brought about.
func (s *Shard) advance() {
	if s.chart.adopting.Has(s.state) {
		s.advanceTakeover()
	}
	if s.chart.draining.Has(s.state) {
		s.advanceDrain()
	}
	if s.chart.left.Has(s.state) && s.now.After(s.redirectUntil) {
		s.fire(s.chart.stop)
	}
	if !s.holding() {
		return
	}
	for _, se := range s.sessions {
		se.lapseIfOver()
	}
	if s.serving() {
		s.proposeMembers()
	}
}

// absentGrace is how long the instance list, which lags, must have left out an
// endpoint before the endpoint counts as gone.
const absentGrace = 10 * time.Second

// advanceTakeover counts the endpoints that have accepted the epoch. Those that
// are gone accept nothing, from the former holder neither.
func (s *Shard) advanceTakeover() {
	fenced, needed := 0, 0
	for _, m := range s.members {
		se := s.sessions[m.ID]
		if se.fenced {
			fenced++
		}
		if se.fenced || !se.gone() {
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
		s.fire(s.chart.waited)
	}
}

// advanceDrain ends the drain once nothing is under way. Towards its end, starts
// that could not be sent are withdrawn, so that the successor starts them.
func (s *Shard) advanceDrain() {
	if s.now.After(s.drainUntil.Add(-s.settings.DrainTimeout / 3)) {
		s.withdrawUnsent()
	}
	if s.quiet() {
		s.fire(s.chart.quiet)
	}
}

// withdrawUnsent takes back every start that has not been sent.
func (s *Shard) withdrawUnsent() {
	for _, a := range s.attempts {
		if !a.sent {
			s.reject(a)
		}
	}
}

// quiet reports whether nothing is under way that the hand-over would cut off,
// or that the time for it is over.
func (s *Shard) quiet() bool {
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

// handOverAll gives every request to the scheduler: from here on work starts.
func (s *Shard) handOverAll() {
	for _, se := range s.sessions {
		se.place()
		s.inherit(se)
	}
	for _, r := range s.oldestFirst() {
		if s.recordChart.moved.Has(r.state) {
			continue
		}
		if r.former {
			s.adopt(r)
			continue
		}
		s.handOver(r)
	}
	for _, se := range s.sessions {
		if se.fenced {
			se.apply(se.adoption, true)
		}
	}
	s.dirty = true
}

// oldestFirst returns the open requests in the order of their acceptance, in
// which the scheduler's queues take them in at their ends.
func (s *Shard) oldestFirst() []*record {
	return slices.SortedFunc(maps.Values(s.active), func(a, b *record) int {
		return cmp.Or(
			a.request.Accepted.Compare(b.request.Accepted),
			strings.Compare(string(a.request.ID), string(b.request.ID)),
		)
	})
}

// inherit notes what the endpoint runs, or has ended, of open requests.
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
		r = s.restoreEarly(request)
	}
	if r == nil || r.answer != nil || s.recordChart.moved.Has(r.state) || r.hasPart(id.Task.Index) {
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

// restoreEarly makes the record of a request that ran before its acceptance
// was on record.
func (s *Shard) restoreEarly(request *model.Request) *record {
	r := s.newRecord(request)
	r.former = true
	r.recordAcceptance()
	r.fire(s.recordChart.adopted)
	return r
}

// adopt hands a former holder's request to the scheduler.
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
		known := slices.ContainsFunc(adoption.Started, func(id model.AttemptID) bool { return id.Task == intent.Attempt.Task })
		if known || r.hasPart(intent.Attempt.Task.Index) {
			continue
		}
		r.uncertain = true
		adoption.Started = append(adoption.Started, intent.Attempt)
		adoption.Lost = append(adoption.Lost, intent.Attempt)
	}
	if !r.request.Spec.NotRepeatable {
		adoption.Started = append(adoption.Started, s.numberFrom(r)...)
	}
	r.inherited = inheritance{}
	r.handed = true
	s.policy.Adopt(s.now, adoption)
}

// numberFrom lets the attempts of this epoch be numbered above those of any
// former one, which are not on record.
func (s *Shard) numberFrom(r *record) []model.AttemptID {
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

// adoptAttempt takes over an attempt that runs or whose end is not on record.
func (s *Shard) adoptAttempt(r *record, start policy.Start) {
	r.ran = true
	a := &attempt{start: start, record: r, sent: true, confirmed: true}
	s.track(a, s.sessions[start.Endpoint])
}

// hasPart reports whether the task has succeeded.
func (r *record) hasPart(index int) bool {
	return slices.ContainsFunc(r.parts, func(p model.Part) bool { return p.Index == index })
}
