package planner

import (
	"sort"
	"time"
)

const (
	// maxPlacementFailures is how many steps of a priority may find too
	// little capacity before the remaining ones are left for the next round.
	maxPlacementFailures = 40
	// deferredSortPeriod is how often the deferred steps are sorted.
	deferredSortPeriod = 500 * time.Millisecond
	// urgentSortPeriod is how often the steps of urgent surplus work are sorted. A new
	// step waits for it, so that it is a fifth of the shortest time that urgent queues
	// allow on top of the work, 250 ms.
	urgentSortPeriod = 50 * time.Millisecond
	// maxDeferredTried is how many deferred steps are tried in each round, not
	// counting those that can't be placed now in any case.
	maxDeferredTried = 48
	// urgentTriesFactor is how many times as many steps of urgent surplus work are tried:
	// in a full cell the first ones may be those that fit nowhere.
	urgentTriesFactor = 4
)

// placeAll places the waiting steps in their order. After
// maxPlacementFailures failures in a priority, its other steps wait for the
// next round.
func (p *Planner) placeAll() {
	failures := map[int]int{}
	for _, s := range p.waitingSteps() {
		limit := maxPlacementFailures
		if s.rank.urgency == urgentSurplus {
			limit *= urgentTriesFactor
		}
		if failures[s.rank.priority] >= limit {
			s.waitFor(WaitTurn)
			continue
		}
		if !p.place(s) {
			failures[s.rank.priority]++
		}
	}
}

// deferredSteps is a set of open steps that is sorted only once per sortPeriod, since there
// can be many.
type deferredSteps struct {
	steps      map[*step]bool
	sortPeriod time.Duration
	// order is the order of the steps as of sortedAt.
	order    []*step
	sortedAt time.Time
}

// openSteps returns all open steps, including the deferred ones.
func (p *Planner) openSteps() []*step {
	list := make([]*step, 0, len(p.open)+len(p.urgentSurplus.steps)+len(p.deferred.steps))
	for _, set := range []map[*step]bool{p.open, p.urgentSurplus.steps, p.deferred.steps} {
		for s := range set {
			list = append(list, s)
		}
	}
	return list
}

// closeStep removes the step from the open steps.
func (p *Planner) closeStep(s *step) {
	delete(p.open, s)
	delete(p.urgentSurplus.steps, s)
	delete(p.deferred.steps, s)
}

// waitingSteps returns the open steps that have pending tasks, in the order
// in which they are served. Steps that are no longer in time become deferred.
func (p *Planner) waitingSteps() []*step {
	var list, later []*step
	for s := range p.open {
		if len(s.pending) == 0 || s.job.closing() {
			continue
		}
		p.updateRank(s)
		switch s.rank.urgency {
		case inTime:
			list = append(list, s)
		case relaxed:
			later = append(later, s)
		default:
			delete(p.open, s)
			p.deferStep(s)
			s.waitFor(WaitTurn)
		}
	}
	sortSteps(list)
	sortSteps(later)
	// The two sets share the tries: otherwise other surplus work would fill the gaps while
	// urgent steps beyond the first ones are not tried.
	urgent := p.firstOf(&p.urgentSurplus, urgentTriesFactor*maxDeferredTried)
	list = append(list, urgent...)
	list = append(list, later...)
	return append(list, p.firstOf(&p.deferred, max(maxDeferredTried-len(urgent), 0))...)
}

// deferStep adds the step to the set for its urgency.
func (p *Planner) deferStep(s *step) {
	if s.rank.urgency == urgentSurplus {
		p.urgentSurplus.steps[s] = true
	} else {
		p.deferred.steps[s] = true
	}
}

func sortSteps(list []*step) {
	sort.Slice(list, func(i, k int) bool { return list[i].rank.before(list[k].rank) })
}

// firstOf returns the first steps of the set that have pending tasks, at most n.
func (p *Planner) firstOf(d *deferredSteps, n int) []*step {
	if p.now.Sub(d.sortedAt) >= d.sortPeriod {
		p.sortDeferred(d)
	}
	var list []*step
	for _, s := range d.order {
		if len(list) == n {
			break
		}
		if d.steps[s] && len(s.pending) > 0 && !s.job.closing() && p.mayPlace(s) {
			list = append(list, s)
		}
	}
	return list
}

// sortDeferred updates the order of the set. Steps whose urgency has changed pass to the
// other set.
func (p *Planner) sortDeferred(d *deferredSteps) {
	d.sortedAt = p.now
	d.order = d.order[:0]
	for s := range d.steps {
		p.updateRank(s)
		if s.waitCause != WaitCapacity || !p.now.Before(s.placementRetryAt) {
			s.waitFor(WaitTurn)
		}
		if s.rank.urgency == inTime || s.rank.urgency == relaxed {
			// Its run time is now expected to be longer, so that it is still of use.
			delete(d.steps, s)
			p.open[s] = true
			continue
		}
		if (s.rank.urgency == urgentSurplus) != (d == &p.urgentSurplus) {
			delete(d.steps, s)
			p.deferStep(s)
			continue
		}
		d.order = append(d.order, s)
	}
	sortSteps(d.order)
}

// mayPlace reports whether a try to place the step may succeed: its team is below
// its limit, and it waits neither for advice nor for capacity to be freed.
func (p *Planner) mayPlace(s *step) bool {
	queue := p.queueOf(s.job)
	switch {
	case queue == nil:
		return false
	case !p.withinLimit(s.job.Team, s.Committed()):
		s.waitFor(WaitLimit)
		return false
	case s.advice.outstanding || p.now.Before(s.adviceRetryAt):
		s.waitFor(WaitAdvice)
		return false
	default:
		return !p.now.Before(s.placementRetryAt) || p.freedSince(s, queue)
	}
}
