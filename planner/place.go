package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// placementRetryDelay is how long a step that found too little capacity
	// is not tried again unless capacity is freed. Quarantines and the wait
	// before preemption end with time alone.
	placementRetryDelay = 100 * time.Millisecond
	// reservationTimeout is the longest time that a reservation is held:
	// stops and advice requests for tickets are complete by then.
	reservationTimeout = 3500 * time.Millisecond
)

// place reserves capacity for the step's pending tasks as far as possible. It
// returns false if there was too little.
func (p *Planner) place(s *step) bool {
	queue := p.queueOf(s.job)
	if queue == nil || p.now.Before(s.adviceRetryAt) {
		s.waitFor(WaitAdvice)
		return true
	}
	if p.now.Before(s.placementRetryAt) && !p.freedSince(s, queue) {
		p.widenAdvice(s, queue)
		return false
	}
	candidates := p.candidates(s, queue)
	if candidates == nil {
		s.waitFor(WaitAdvice)
		return true
	}
	s.waitFor(WaitCapacity)
	placed := false
	if s.Gang {
		placed = p.placeGang(s, candidates)
	} else {
		placed = p.placeTasks(s, candidates)
	}
	if !placed {
		s.failedCapacitySeq, s.placementRetryAt = p.capacitySeq, p.now.Add(placementRetryDelay)
		p.widenAdvice(s, queue)
	}
	return placed
}

// candidates returns the endpoints that the step may run on; nil while advice
// is outstanding.
func (p *Planner) candidates(s *step, queue *catalog.Queue) []*endpoint {
	if queue.Advice != nil && len(s.advice.requested) == 0 {
		if !s.advice.outstanding {
			p.requestAdvice(s, queue, p.adviceCandidates(s, queue))
		}
		return nil
	}
	return p.allowed(s, queue)
}

// allowed returns the endpoints that the advice known so far allows and that can run the
// step, in the order of their names.
func (p *Planner) allowed(s *step, queue *catalog.Queue) []*endpoint {
	if queue.Advice == nil {
		return p.runnable(s, p.sortedEndpoints())
	}
	known := p.eligibleInOrder(s)
	list := make([]*endpoint, 0, len(known))
	for _, e := range known {
		if e.startedAt == e.Born && p.canRun(s, e.endpoint) {
			list = append(list, e.endpoint)
		}
	}
	return list
}

// runnable returns the endpoints that the step may run on.
func (p *Planner) runnable(s *step, endpoints []*endpoint) []*endpoint {
	list := make([]*endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if p.canRun(s, e) {
			list = append(list, e)
		}
	}
	return list
}

// eligibleInOrder returns the endpoints that the advice allows and that are registered,
// also in another incarnation, in the order of their names.
func (p *Planner) eligibleInOrder(s *step) []eligibleEndpoint {
	a := &s.advice
	if a.inOrder == nil || a.inOrderAs != p.endpointChanges {
		a.inOrder, a.inOrderAs = make([]eligibleEndpoint, 0, len(a.eligible)), p.endpointChanges
		for _, id := range slices.Sorted(maps.Keys(a.eligible)) {
			if e := p.endpoints[id]; e != nil {
				a.inOrder = append(a.inOrder, eligibleEndpoint{endpoint: e, startedAt: a.eligible[id].startedAt})
			}
		}
	}
	return a.inOrder
}

// freedSince reports whether capacity has been freed on the step's eligible
// endpoints since it last found too little.
func (p *Planner) freedSince(s *step, queue *catalog.Queue) bool {
	if queue.Advice == nil {
		return p.capacitySeq != s.failedCapacitySeq
	}
	for _, e := range p.eligibleInOrder(s) {
		if e.capacitySeq > s.failedCapacitySeq {
			return true
		}
	}
	return false
}

// placeTasks places single tasks. It returns false if tasks remain for lack
// of capacity.
func (p *Planner) placeTasks(s *step, candidates []*endpoint) bool {
	size := s.Committed()
	usable, expired := p.splitByTicket(s, candidates)
	lacking := false
	for _, t := range slices.Clone(s.pending) {
		if !p.withinLimit(s.job.Team, size) {
			s.waitFor(WaitLimit)
			return true
		}
		apart := p.apart(t, usable)
		e := p.bestEndpoint(s, t, apart)
		if e == nil && len(apart) < len(usable) {
			s.waitFor(WaitTurn)
			continue
		}
		if e == nil && p.bestEndpoint(s, t, expired) != nil {
			p.renewAdvice(s, expired)
			s.waitFor(WaitAdvice)
			return true
		}
		if e == nil && p.mayPreempt(s) {
			e = p.preemptForTask(s, t.returnable(usable))
		}
		if e == nil && len(t.returnable(usable)) < len(usable) {
			// The step's other tasks may use the endpoint that this one has left.
			lacking = true
			continue
		}
		if e == nil {
			return false
		}
		p.newRun(t, e, t.nextRunNumber())
	}
	return !lacking
}

// nextRunNumber returns the number of the task's next run. It is higher than that of any
// run that a former holder may have started: an endpoint rejects the others.
func (t *task) nextRunNumber() int {
	return max(t.lastNumber, t.step.inheritedRun, t.step.job.p.epochNumber()) + 1
}

// epochNumber returns the number below the first run number of the epoch.
func (p *Planner) epochNumber() int { return int(p.epoch-1) * runsPerEpoch }

// bestEndpoint returns the endpoint with the lowest score on which the task
// fits; nil if there is none.
func (p *Planner) bestEndpoint(s *step, t *task, candidates []*endpoint) *endpoint {
	var best *endpoint
	bestScore := math.Inf(1)
	for _, e := range candidates {
		if !fits(s.Committed(), e.planned) || s.atEndpointLimit(e) || !t.mayReturn(e) {
			continue
		}
		if score := p.score(s, t, e); score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// The components of an endpoint's score; the lowest score wins. The unit is
// the fraction of an endpoint's processors that stays free.
const (
	// remoteRackPenalty applies to a rack other than that of the step's data.
	remoteRackPenalty = 2.0
	// failedTaskPenalty applies to an endpoint where the task has failed, or that hangs
	// on starts.
	failedTaskPenalty = 4.0
	// cautiousStartPenalty applies to an endpoint that may crash because of a run that it has
	// just started, for each crash of its task.
	cautiousStartPenalty = 3.0
	// expiredTicketPenalty applies to an endpoint whose ticket has expired.
	expiredTicketPenalty = 1.0
	// pendingStopPenalty applies to capacity that is still in use by runs
	// that are being stopped.
	pendingStopPenalty = 0.5
	// slowdownPenalty applies to an endpoint on which tasks take twice as
	// long as usual. Work of the lowest priority, and gangs, which need the
	// capacity, count only the slowdown above toleratedSlowdown, which
	// exceeds the differences between healthy endpoints.
	slowdownPenalty   = 2.0
	toleratedSlowdown = 1.4
)

// score rates an endpoint for a task. Tasks are packed so that capacity
// remains for large ones.
func (p *Planner) score(s *step, t *task, e *endpoint) float64 {
	size := s.Committed()
	score := 0.0
	if total := e.Capacity[model.CPU]; total > 0 {
		score = float64(e.planned[model.CPU]-size[model.CPU]) / float64(total)
	}
	if t.cautious() {
		score = 1 - score
	}
	score += cautiousStartPenalty * float64(p.cautiousStart(e, s.job))
	if s.DataRack != "" && s.DataRack != e.Rack {
		score += remoteRackPenalty
	}
	if e.state == endpointSuspect || slices.Contains(t.avoidedEndpoints, e.ID) {
		score += failedTaskPenalty
	}
	if !fits(size, e.free) {
		score += pendingStopPenalty
	}
	if _, valid := s.ticket(e); !valid && len(s.advice.requested) > 0 {
		score += expiredTicketPenalty
	}
	return score + p.slowdownScore(s, e)
}

// slowdownScore is the component of the score for the endpoint's relative run
// time.
func (p *Planner) slowdownScore(s *step, e *endpoint) float64 {
	slowdown := e.slowdown(p.now)
	if s.Gang || s.rank.priority == p.lowestPriority {
		return slowdownPenalty * max(slowdown-toleratedSlowdown, 0)
	}
	return slowdownPenalty * (slowdown - 1)
}

// atEndpointLimit reports whether the endpoint runs as many tasks of the step
// as its MaxPerEndpoint allows.
func (s *step) atEndpointLimit(e *endpoint) bool {
	return s.MaxPerEndpoint > 0 && s.tasksAt(e) >= s.MaxPerEndpoint
}

func (s *step) tasksAt(e *endpoint) int {
	n := 0
	for r := range e.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}
