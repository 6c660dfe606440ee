package planner

import (
	"sort"
	"time"
)

const (
	// failuresTried is how many steps of a priority may find no room before
	// the rest of it is left for the next time.
	maxPlacementFailures = 40
	// parkedPeriod is how often the parked steps are put in order.
	deferredSortPeriod = 500 * time.Millisecond
	// parkedTried is how many of them are tried each time.
	maxDeferredTried = 48
)

// placeAll places the waiting steps in their order. Once several of a priority
// have found no room, the others of it wait for the next time.
func (p *Planner) placeAll() {
	failures := map[int]int{}
	for _, s := range p.waitingSteps() {
		if failures[s.rank.priority] >= maxPlacementFailures {
			continue
		}
		if !p.place(s) {
			failures[s.rank.priority]++
		}
	}
}

// openSteps returns all open steps.
func (p *Planner) openSteps() []*step {
	list := make([]*step, 0, len(p.open)+len(p.deferred))
	for s := range p.open {
		list = append(list, s)
	}
	for s := range p.deferred {
		list = append(list, s)
	}
	return list
}

// closeStep forgets that the step is open.
func (p *Planner) closeStep(s *step) {
	delete(p.open, s)
	delete(p.deferred, s)
}

// inOrder returns the open steps that have pending tasks, the first served
// first.
func (p *Planner) waitingSteps() []*step {
	var list []*step
	for s := range p.open {
		if len(s.pending) == 0 || s.job.closing() {
			continue
		}
		p.updateRank(s)
		if s.rank.urgency != inTime {
			delete(p.open, s)
			p.deferred[s] = true
			continue
		}
		list = append(list, s)
	}
	sortSteps(list)
	return append(list, p.firstDeferred()...)
}

func sortSteps(list []*step) {
	sort.Slice(list, func(i, k int) bool { return list[i].rank.before(list[k].rank) })
}

// firstParked returns the first of the parked steps that have pending tasks.
// Their order is looked at from time to time only, since there can be many.
func (p *Planner) firstDeferred() []*step {
	if p.now.Sub(p.deferredSortedAt) >= deferredSortPeriod {
		p.deferredSortedAt = p.now
		p.deferredOrder = p.deferredOrder[:0]
		for s := range p.deferred {
			p.updateRank(s)
			p.deferredOrder = append(p.deferredOrder, s)
		}
		sortSteps(p.deferredOrder)
	}
	var list []*step
	for _, s := range p.deferredOrder {
		if len(list) == maxDeferredTried {
			break
		}
		if p.deferred[s] && len(s.pending) > 0 && !s.job.closing() {
			list = append(list, s)
		}
	}
	return list
}
