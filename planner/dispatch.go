package planner

import (
	"sort"
	"time"
)

const (
	// checkpointLoss is the work that a stop at a checkpoint throws away at
	// most: what came after the last one, and the restart.
	checkpointLoss = 600 * time.Millisecond
	// watchPeriod is how often the progress of runs is looked at.
	watchPeriod = 200 * time.Millisecond
	// stuckTime is how long a run may show no progress on an endpoint that
	// answers before it is stopped.
	stuckTime = 2500 * time.Millisecond
)

// withdrawStale gives up reservations that can't be used: their endpoint is no
// longer usable, or they have waited too long.
func (p *Planner) withdrawStale() {
	for _, r := range p.reservedInOrder() {
		s := r.task.step
		if p.suits(s, r.at) && p.now.Sub(r.since) < reservationTime {
			continue
		}
		if s.Gang {
			p.withdrawGang(s)
		} else {
			r.fire(evStop)
		}
	}
}

func (p *Planner) withdrawGang(s *step) {
	for _, t := range s.tasks {
		for _, r := range t.copies() {
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
		return lessRun(list[i], list[k])
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
		if p.ready(r) && sizeFits(r.size, r.at.free) {
			r.fire(evDispatch)
		}
	}
}

// ready reports whether the run has the ticket that it needs.
func (p *Planner) ready(r *run) bool {
	queue := p.queueOf(r.task.step.job)
	if queue == nil {
		return false
	}
	if queue.Advice == nil {
		return true
	}
	_, valid := r.task.step.ticket(r.at)
	return valid
}

func (p *Planner) dispatchGang(s *step) {
	var members []*run
	needed := map[*endpoint]int64{}
	for _, t := range s.tasks {
		if t.run == nil || t.run.state != runReserved || !p.ready(t.run) {
			return
		}
		members = append(members, t.run)
		needed[t.run.at]++
	}
	for e, n := range needed {
		if !sizeFits(s.Committed().Scale(n), e.free) {
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
	lacking := map[*step][]*endpoint{}
	var order []*step
	for _, r := range p.reservedInOrder() {
		s := r.task.step
		if p.ready(r) || s.advice.outstanding || p.now.Before(s.retryAt) {
			continue
		}
		if lacking[s] == nil {
			order = append(order, s)
		}
		lacking[s] = appendNew(lacking[s], r.at)
	}
	for _, s := range order {
		if queue := p.queueOf(s.job); queue != nil && queue.Advice != nil {
			p.ask(s, queue, lacking[s])
		}
	}
}

func appendNew(list []*endpoint, e *endpoint) []*endpoint {
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
func (r *run) lastMoved() time.Time {
	if !r.task.step.Gang {
		return later(r.movedAt, r.since)
	}
	var last time.Time
	for _, t := range r.task.step.tasks {
		for _, member := range t.copies() {
			last = later(last, later(member.movedAt, member.since))
		}
	}
	return last
}

// watchProgress stops runs that stand still. A gang stands still as a whole, so
// that it says nothing of the endpoint of one member.
func (p *Planner) watchProgress() {
	if p.now.Sub(p.watchedAt) < watchPeriod {
		return
	}
	p.watchedAt = p.now
	for _, r := range p.runs {
		s := r.task.step
		if r.state != runRunning || s.Lasting || r.at.state != endpointListed {
			continue
		}
		if p.now.Sub(r.lastMoved()) > stuckTime {
			if !s.Gang {
				r.at.quarantine(p.now)
			}
			r.stop("shows no progress")
		}
	}
}
