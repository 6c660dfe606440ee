package planner

import (
	"sort"
	"time"
)

const (
	// failuresTried is how many steps of a priority may find no room before
	// the rest of it is left for the next time.
	failuresTried = 40
	// parkedPeriod is how often the parked steps are put in order.
	parkedPeriod = 500 * time.Millisecond
	// parkedTried is how many of them are tried each time.
	parkedTried = 48
)

// placeAll places the waiting steps in their order. Once several of a priority
// have found no room, the others of it wait for the next time.
func (p *Planner) placeAll() {
	failures := map[int]int{}
	for _, s := range p.inOrder() {
		if failures[s.rank.priority] >= failuresTried {
			continue
		}
		if !p.place(s) {
			failures[s.rank.priority]++
		}
	}
}

// openSteps returns all open steps.
func (p *Planner) openSteps() []*step {
	list := make([]*step, 0, len(p.open)+len(p.parked))
	for s := range p.open {
		list = append(list, s)
	}
	for s := range p.parked {
		list = append(list, s)
	}
	return list
}

// closeStep forgets that the step is open.
func (p *Planner) closeStep(s *step) {
	delete(p.open, s)
	delete(p.parked, s)
}

// inOrder returns the open steps that have pending tasks, the first served
// first.
func (p *Planner) inOrder() []*step {
	var list []*step
	for s := range p.open {
		if len(s.pending) == 0 || s.job.closing() {
			continue
		}
		p.rank(s)
		if s.rank.urgency != inTime {
			delete(p.open, s)
			p.parked[s] = true
			continue
		}
		list = append(list, s)
	}
	sortSteps(list)
	return append(list, p.firstParked()...)
}

func sortSteps(list []*step) {
	sort.Slice(list, func(i, k int) bool { return list[i].rank.before(list[k].rank) })
}

// firstParked returns the first of the parked steps that have pending tasks.
// Their order is looked at from time to time only, since there can be many.
func (p *Planner) firstParked() []*step {
	if p.now.Sub(p.parkedAt) >= parkedPeriod {
		p.parkedAt = p.now
		p.parkedOrder = p.parkedOrder[:0]
		for s := range p.parked {
			p.rank(s)
			p.parkedOrder = append(p.parkedOrder, s)
		}
		sortSteps(p.parkedOrder)
	}
	var list []*step
	for _, s := range p.parkedOrder {
		if len(list) == parkedTried {
			break
		}
		if p.parked[s] && len(s.pending) > 0 && !s.job.closing() {
			list = append(list, s)
		}
	}
	return list
}
