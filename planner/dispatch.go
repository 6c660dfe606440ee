package planner

import (
	"sort"
	"time"
)

const (
	// checkpointLoss is the work that a stop at a checkpoint throws away at
	// most: what came after the last one, and the restart.
	maxCheckpointLoss = 600 * time.Millisecond
	// watchPeriod is how often the progress of runs is looked at.
	progressCheckPeriod = 200 * time.Millisecond
	// stuckTime is how long a run may show no progress on an endpoint that
	// answers before it is stopped.
	stuckTimeout = 2500 * time.Millisecond
)

// withdrawStale gives up reservations that can't be used: their endpoint is no
// longer usable, or they have waited too long.
func (p *Planner) withdrawStaleReservations() {
	for _, r := range p.reservedInOrder() {
		s := r.task.step
		if p.canRun(s, r.endpoint) && p.now.Sub(r.enteredAt) < reservationTimeout {
			continue
		}
		if s.Gang {
			p.withdrawGangReservations(s)
		} else {
			r.fire(evStop)
		}
	}
}

func (p *Planner) withdrawGangReservations(s *step) {
	for _, t := range s.tasks {
		for _, r := range t.liveRuns() {
			if r.state == runReserved {
				r.fire(evStop)
			}
		}
	}
}

func (p *Planner) reservedInOrder() []*run {
	list := make([]*run, 0, len(p.reserved))
	for r := range p.reserved {
		list = append(list, r)
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i].task.step.rank, list[k].task.step.rank
		if list[i].task.step != list[k].task.step {
			return a.before(b)
		}
		return runLess(list[i], list[k])
	})
	return list
}

// dispatchReserved starts the reserved runs whose room is free and whose ticket
// is valid; a gang starts as a whole.
func (p *Planner) dispatchReserved() {
	gangs := map[*step]bool{}
	for _, r := range p.reservedInOrder() {
		s := r.task.step
		if s.Gang {
			if !gangs[s] {
				gangs[s] = true
				p.dispatchGang(s)
			}
			continue
		}
		if p.hasValidTicket(r) && fits(r.size, r.endpoint.free) {
			r.fire(evDispatch)
		}
	}
}

// ready reports whether the run has the ticket that it needs.
func (p *Planner) hasValidTicket(r *run) bool {
	queue := p.queueOf(r.task.step.job)
	if queue == nil {
		return false
	}
	if queue.Advice == nil {
		return true
	}
	_, valid := r.task.step.ticket(r.endpoint)
	return valid
}

func (p *Planner) dispatchGang(s *step) {
	var members []*run
	needed := map[*endpoint]int64{}
	for _, t := range s.tasks {
		if t.run == nil || t.run.state != runReserved || !p.hasValidTicket(t.run) {
			return
		}
		members = append(members, t.run)
		needed[t.run.endpoint]++
	}
	for e, n := range needed {
		if !fits(s.Committed().Scale(n), e.free) {
			return
		}
	}
	for _, r := range members {
		r.fire(evDispatch)
	}
}

// renewTickets asks again about the endpoints of reservations whose tickets
// have run out.
func (p *Planner) renewTickets() {
	expired := map[*step][]*endpoint{}
	var order []*step
	for _, r := range p.reservedInOrder() {
		s := r.task.step
		if p.hasValidTicket(r) || s.advice.outstanding || p.now.Before(s.adviceRetryAt) {
			continue
		}
		if expired[s] == nil {
			order = append(order, s)
		}
		expired[s] = appendUnique(expired[s], r.endpoint)
	}
	for _, s := range order {
		if queue := p.queueOf(s.job); queue != nil && queue.Advice != nil {
			p.requestAdvice(s, queue, expired[s])
		}
	}
}

func appendUnique(list []*endpoint, e *endpoint) []*endpoint {
	for _, other := range list {
		if other == e {
			return list
		}
	}
	return append(list, e)
}

// lastMoved returns when the run last showed progress. Members of a gang reach
// their ends at different times and wait for each other: the gang stands still
// when none of them moves.
func (r *run) lastProgress() time.Time {
	if !r.task.step.Gang {
		return later(r.progressAt, r.enteredAt)
	}
	var last time.Time
	for _, t := range r.task.step.tasks {
		for _, member := range t.liveRuns() {
			last = later(last, later(member.progressAt, member.enteredAt))
		}
	}
	return last
}

// watchProgress stops runs that stand still. A gang stands still as a whole, so
// that it says nothing of the endpoint of one member.
func (p *Planner) stopStuckRuns() {
	if p.now.Sub(p.progressCheckedAt) < progressCheckPeriod {
		return
	}
	p.progressCheckedAt = p.now
	for _, r := range p.runs {
		s := r.task.step
		if r.state != runRunning || s.Lasting || r.endpoint.state != endpointListed {
			continue
		}
		if p.now.Sub(r.lastProgress()) > stuckTimeout {
			if !s.Gang {
				r.endpoint.quarantine(p.now)
			}
			r.stop("shows no progress")
		}
	}
}
