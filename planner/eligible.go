package planner

import (
	"math"

	"github.com/hornbeamworks/hornbeam/model"
)

// canRun reports whether the step may run on the endpoint, regardless of its
// free capacity.
func (p *Planner) canRun(s *step, e *endpoint) bool {
	return p.permits(s, e) && !p.now.Before(e.excludedUntil) &&
		(!p.now.Before(e.avoidUntil) || !p.runsElsewhere(s))
}

// runsElsewhere reports whether the step may run on endpoints that need not be avoided: a
// task of it, or all members of a gang. A lasting task does not wait for capacity there.
// It searches the endpoints once for each phase of a decision.
func (p *Planner) runsElsewhere(s *step) bool {
	if s.elsewhereAt != p.phase {
		s.elsewhereAt, s.elsewhere = p.phase, p.findElsewhere(s)
	}
	return s.elsewhere
}

func (p *Planner) findElsewhere(s *step) bool {
	needed := 1
	if s.Gang {
		needed = s.Count
	}
	for _, e := range p.endpoints {
		if !p.now.Before(later(e.excludedUntil, e.avoidUntil)) && p.permits(s, e) {
			capacity := e.Capacity
			if s.Lasting {
				capacity = e.planned
			}
			needed -= s.slotsIn(capacity)
		}
		if needed <= 0 {
			return true
		}
	}
	return false
}

// permits is canRun without the temporary exclusions.
func (p *Planner) permits(s *step, e *endpoint) bool {
	queue := p.queueOf(s.job)
	if queue == nil || e.Service != queue.Service || p.evacuated[e.Domain] {
		return false
	}
	if s.Label != "" && !e.HasLabel(s.Label) {
		return false
	}
	return e.usable()
}

// fits reports whether size fits into free. Resources that size does not
// request may be negative in free.
func fits(size, free model.Resources) bool {
	for i, amount := range size {
		if amount > 0 && amount > free[i] {
			return false
		}
	}
	return true
}

// hasPlanned reports whether the run, which is counted in committed, fits on the
// endpoint once all stops are done.
func (e *endpoint) hasPlanned(r *run) bool { return fits(r.size, e.planned.Add(r.size)) }

// slots returns how many tasks of the size fit into free.
func slots(size, free model.Resources) int {
	n := math.MaxInt32
	for i, amount := range size {
		if amount > 0 {
			n = min(n, int(max(free[i], 0)/amount))
		}
	}
	return n
}
