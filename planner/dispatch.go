package planner

import (
	"slices"
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/fleet"
)

const (
	// maxCheckpointLoss is the upper bound of the work lost by stopping a run
	// with checkpoints: the work since the last checkpoint, and the restart.
	maxCheckpointLoss = 600 * time.Millisecond
	// progressCheckPeriod is how often the progress of runs is checked.
	progressCheckPeriod = 200 * time.Millisecond
	// stuckTimeout is how long a run may show no progress on an endpoint that
	// responds before it is stopped.
	stuckTimeout = 2500 * time.Millisecond
	// maxListingGap is the longest time between two listings that counts as time without
	// progress: an endpoint that responds lists its runs more often.
	maxListingGap = 1200 * time.Millisecond
)

// withdrawStaleReservations cancels reservations that can't be used: the step
// may no longer run on the endpoint, its capacity has shrunk, or the reservation
// is older than reservationTimeout. If some of an endpoint's reservations fit,
// those of the first steps are kept.
func (p *Planner) withdrawStaleReservations() {
	for _, r := range slices.Backward(p.reservedInOrder()) {
		s := r.task.step
		if p.canRun(s, r.endpoint) && r.endpoint.hasPlanned(r) && p.now.Sub(r.enteredAt) < reservationTimeout && !p.hasUnusableTickets(s) {
			continue
		}
		if s.Gang {
			p.recordExpired(s, r)
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

// dispatchReserved starts the reserved runs whose capacity is free and whose
// ticket is valid. A gang starts only as a whole.
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
		if p.hasValidTicket(r) && fits(r.size, r.endpoint.free) && r.endpoint.acceptsStart(s) {
			r.fire(evDispatch)
		}
	}
}

// hasValidTicket reports whether the run has a valid ticket or needs none.
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
		if !fits(s.Committed().Scale(n), e.free) || !e.acceptsStart(s) {
			return
		}
	}
	for _, r := range members {
		r.fire(evDispatch)
	}
}

// CheckStart returns an error if a start that has been planned but not sent must not
// be sent: fleet.ErrRefused if its endpoint has begun to leave, been evacuated or listed
// runs of unknown size since then, fleet.ErrNoCapacity if it has shrunk, and
// fleet.ErrTicket if the ticket has expired.
func (p *Planner) CheckStart(start Start) error {
	r := p.runs[start.Run]
	switch {
	case r == nil || !p.permits(r.task.step, r.endpoint):
		return fleet.ErrRefused
	case !fits(r.size, r.endpoint.free.Add(r.size)):
		return fleet.ErrNoCapacity
	case !p.acceptsTicket(r, start.Ticket):
		return fleet.ErrTicket
	default:
		return nil
	}
}

// acceptsTicket reports whether the endpoint accepts the ticket now, without the margin
// for the time that a start takes.
func (p *Planner) acceptsTicket(r *run, value string) bool {
	queue := p.queueOf(r.task.step.job)
	if queue == nil || queue.Advice == nil {
		return true
	}
	t, found := r.task.step.advice.eligible[r.endpoint.ID]
	return found && t.value == value && t.startedAt == r.endpoint.Born && p.now.Before(t.expires.Add(ticketMargin))
}

// renewTickets requests advice about the endpoints of reservations whose tickets
// have expired. A gang needs all its tickets at the same time, so that one request
// renews all of them.
func (p *Planner) renewTickets() {
	expired := map[*step][]*endpoint{}
	var order []*step
	for _, r := range p.reservedInOrder() {
		s := r.task.step
		if p.hasValidTicket(r) || s.advice.outstanding || p.now.Before(s.adviceRetryAt) {
			continue
		}
		first := expired[s] == nil
		if first {
			order = append(order, s)
		}
		if !s.Gang {
			expired[s] = appendUnique(expired[s], r.endpoint)
		} else if first {
			expired[s] = s.reservedEndpoints()
		}
	}
	for _, s := range order {
		if queue := p.queueOf(s.job); queue != nil && queue.Advice != nil {
			p.requestAdvice(s, queue, expired[s][:min(len(expired[s]), maxAdviceEndpoints)])
		}
	}
}

// reservedEndpoints returns the endpoints of the step's reservations.
func (s *step) reservedEndpoints() []*endpoint {
	var list []*endpoint
	for _, t := range s.tasks {
		for _, r := range t.liveRuns() {
			if r.state == runReserved {
				list = appendUnique(list, r.endpoint)
			}
		}
	}
	return list
}

func appendUnique(list []*endpoint, e *endpoint) []*endpoint {
	for _, other := range list {
		if other == e {
			return list
		}
	}
	return append(list, e)
}

// stuckFor returns for how long listings have shown no progress of the run. Members of
// a gang finish at different times and wait for each other, so a gang makes progress as
// long as any member does.
func (r *run) stuckFor() time.Duration {
	least := r.unchangedFor
	if r.task.step.Gang {
		for _, t := range r.task.step.tasks {
			for _, member := range t.liveRuns() {
				least = min(least, member.unchangedFor)
			}
		}
	}
	return least
}

// stopStuckRuns stops the runs that make no progress. The endpoint of a
// gang's member is not avoided: the gang is stuck as a whole, which does
// not indicate a fault of one endpoint.
func (p *Planner) stopStuckRuns() {
	if p.now.Sub(p.progressCheckedAt) < progressCheckPeriod {
		return
	}
	p.progressCheckedAt = p.now
	for _, r := range p.runs {
		s := r.task.step
		if r.state != runRunning || s.Lasting || !usableStates.Has(r.endpoint.state) {
			continue
		}
		if r.stuckFor() > stuckTimeout {
			if !s.Gang {
				r.endpoint.recordStuck(p.now, later(r.progressAt, r.enteredAt))
			}
			r.stop("shows no progress")
		}
	}
}
