package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// preemptionWaitFraction is the part of the time between opening and due
	// time that a step waits for capacity before others are preempted.
	preemptionWaitFraction = 0.2
	// freeCapacityWaitFraction is the part of that time that a gang waits for advice
	// about further endpoints before others are preempted.
	freeCapacityWaitFraction = 0.35
	// maxPreemptions is how often a task may be preempted.
	maxPreemptions = 2
)

// capacityWithPreemption returns the capacity that a step of the priority
// could have on the endpoint by preempting less urgent runs.
func (p *Planner) capacityWithPreemption(e *endpoint, priority int) model.Resources {
	capacity := e.planned
	if priority >= p.lowestPriority {
		return capacity
	}
	return capacity.Add(p.preemptibleAt(e, priority).size)
}

// preemptibleRuns are an endpoint's runs that may be stopped for steps of a priority,
// those that lose the least work first, and their total size. The steps that are tried in
// one phase share them until a run of the endpoint changes its state.
type preemptibleRuns struct {
	priority int
	phase    uint64
	changes  uint64
	runs     []*run
	size     model.Resources
}

// preemptibleAt returns the endpoint's runs that may be stopped for a step of the
// priority. The caller does not modify them.
func (p *Planner) preemptibleAt(e *endpoint, priority int) *preemptibleRuns {
	var cached *preemptibleRuns
	for i := range e.preemptible {
		if e.preemptible[i].priority == priority {
			cached = &e.preemptible[i]
		}
	}
	switch {
	case cached == nil:
		e.preemptible = append(e.preemptible, preemptibleRuns{})
		cached = &e.preemptible[len(e.preemptible)-1]
	case cached.phase == p.phase && cached.changes == e.runChanges:
		return cached
	}
	*cached = preemptibleRuns{priority: priority, phase: p.phase, changes: e.runChanges}
	for r := range e.runs {
		if p.preemptible(r, priority) {
			cached.runs = append(cached.runs, r)
			cached.size = cached.size.Add(r.size)
			r.stopCost = p.preemptionCost(r)
		}
	}
	slices.SortFunc(cached.runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.stopCost, b.stopCost), compareRuns(a, b))
	})
	return cached
}

// mayPreempt reports whether the step has waited long enough for others to be
// preempted: a fraction of its time until due. A single task does not wait
// for a stop that would end after its due time.
func (p *Planner) mayPreempt(s *step) bool {
	if s.rank.urgency != inTime || !s.Gang && p.now.Add(p.stopTime).After(s.rank.due) {
		return false
	}
	return p.hasWaited(s, p.now)
}

// hasWaited reports whether the step will have waited long enough at the time.
func (p *Planner) hasWaited(s *step, at time.Time) bool {
	return !at.Before(s.waitsUntil(preemptionWaitFraction))
}

// waitsUntil returns when the fraction of the time between the step's opening and its
// due time has passed.
func (s *step) waitsUntil(fraction float64) time.Time {
	return s.openedAt.Add(time.Duration(fraction * float64(s.rank.due.Sub(s.openedAt))))
}

// preemptible reports whether the run may be stopped for a step of the
// priority. Gangs are never preempted, since stopping one member ends the
// work of all.
func (p *Planner) preemptible(r *run, priority int) bool {
	s := r.task.step
	if r.state != runRunning || s.Gang || s.Lasting || r.task.preemptions >= maxPreemptions || s.job.closing() ||
		r.task.crashes() >= crashLimit {
		return false
	}
	queue := p.queueOf(s.job)
	return queue != nil && queue.Priority > priority
}

// preemptForTask preempts less urgent runs on the endpoint where that costs
// least, so that one task of the step fits. It returns nil if no endpoint
// qualifies.
func (p *Planner) preemptForTask(s *step, candidates []*endpoint) *endpoint {
	var (
		best      *endpoint
		stops     []*run
		leastCost = float64(0)
	)
	for _, e := range candidates {
		if s.atEndpointLimit(e) {
			continue
		}
		victims, cost, ok := p.victims(s, e, 1)
		if ok && cost <= s.expectedWork(1) && (best == nil || cost < leastCost) {
			best, stops, leastCost = e, victims, cost
		}
	}
	p.preempt(s, stops, time.Time{})
	return best
}

// victims returns the runs to stop on the endpoint so that n tasks of the
// step fit, and the work that this loses in core-milliseconds.
func (p *Planner) victims(s *step, e *endpoint, n int) (list []*run, cost float64, ok bool) {
	size := s.Committed().Scale(int64(n))
	if fits(size, e.planned) {
		return nil, 0, true
	}
	if !fits(size, p.capacityWithPreemption(e, s.rank.priority)) {
		return nil, 0, false
	}
	offer := endpointOffer{endpoint: e, planned: e.planned, preemptible: p.preemptibleAt(e, s.rank.priority).runs}
	if !offer.extend(p, size) {
		return nil, 0, false
	}
	return offer.victims, offer.cost, true
}

// preemptionCost returns the work that is lost when the run makes room for others,
// in core-milliseconds.
func (p *Planner) preemptionCost(r *run) float64 {
	if p.endsBeforeStop(r) {
		return 0
	}
	return p.lostWork(r)
}

// lostWork returns the work that stopping the run loses, in
// core-milliseconds.
func (p *Planner) lostWork(r *run) float64 {
	ran := p.now.Sub(r.startedAt)
	if r.task.step.Checkpoints {
		ran = min(ran, maxCheckpointLoss)
	}
	return float64(r.size[model.CPU]) * float64(ran.Milliseconds()) / 1000
}

// preempt frees the capacity of the runs for the step: those that are expected to
// end soon are left to end, the others are stopped. until is when the step's tickets
// expire.
func (p *Planner) preempt(s *step, victims []*run, until time.Time) {
	for _, r := range victims {
		if p.mayYield(s, r, until) {
			r.fire(evYield)
			p.yielding[r] = s
		} else {
			p.stopFor(s, r)
		}
	}
}

// stopFor stops the run to make room for the step.
func (p *Planner) stopFor(s *step, r *run) {
	r.task.preemptions++
	p.recordPreemption(s, r)
	r.stop("makes room for " + s.id.String())
}

// endsBeforeStop reports whether the run is expected to end before a stop of it
// would take effect, by the progress that its endpoint has reported.
func (p *Planner) endsBeforeStop(r *run) bool { return p.endsBefore(r, p.now.Add(p.stopTime)) }

// endsBefore reports whether the run is expected to end before the time.
func (p *Planner) endsBefore(r *run, at time.Time) bool {
	progress, elapsed := r.percent-r.firstPercent, r.progressAt.Sub(r.firstPercentAt)
	if progress <= 0 || elapsed <= 0 {
		return false
	}
	remaining := time.Duration(float64(elapsed) * (100 - r.percent) / progress)
	return r.progressAt.Add(remaining).Before(at)
}

// updateYielding stops the yielding runs that have not ended within the time of a
// stop, and keeps those whose capacity is no longer reserved.
func (p *Planner) updateYielding() {
	for _, r := range slices.SortedFunc(maps.Keys(p.yielding), compareRuns) {
		s := p.yielding[r]
		switch {
		case r.state != runYielding:
			delete(p.yielding, r)
		case !s.hasReservation(r.endpoint):
			delete(p.yielding, r)
			r.fire(evKeep)
		case p.now.Sub(r.enteredAt) >= p.stopTime, p.mustStopNow(s):
			delete(p.yielding, r)
			p.stopFor(s, r)
		}
	}
}

// hasReservation reports whether the step has a reservation on the endpoint.
func (s *step) hasReservation(e *endpoint) bool {
	for r := range e.runs {
		if r.task.step == s && r.state == runReserved {
			return true
		}
	}
	return false
}
