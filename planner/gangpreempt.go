package planner

import (
	"cmp"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
)

// endpointOffer is the capacity for one more task of a step on an endpoint, with the
// runs that have to be stopped for it.
type endpointOffer struct {
	endpoint *endpoint
	score    float64
	// planned is the capacity that the tasks that have been taken leave, including that
	// of their victims. preemptible are the runs that may still be stopped, the cheapest
	// first.
	planned     model.Resources
	preemptible []*run
	// slots is the number of tasks that have been taken.
	slots int
	// victims are the runs to stop for the next task, cost is the work that this
	// loses in core-milliseconds.
	victims []*run
	cost    float64
}

// extend selects the cheapest victims for another task of the size. It returns false
// if the task does not fit by stopping all preemptible runs.
func (o *endpointOffer) extend(p *Planner, size model.Resources) bool {
	o.victims, o.cost = nil, 0
	capacity := o.planned
	for i := 0; !fits(size, capacity); i++ {
		if i == len(o.preemptible) {
			return false
		}
		capacity = capacity.Add(o.preemptible[i].size)
		o.victims = append(o.victims, o.preemptible[i])
	}
	// A run that was selected later may have made earlier ones unnecessary.
	for i := len(o.victims) - 1; i >= 0; i-- {
		if without := capacity.Sub(o.victims[i].size); fits(size, without) {
			capacity = without
			o.victims = slices.Delete(o.victims, i, i+1)
		}
	}
	for _, r := range o.victims {
		o.cost += p.preemptionCost(r)
	}
	return true
}

// take takes the offered task.
func (o *endpointOffer) take(size model.Resources) {
	for _, r := range o.victims {
		o.planned = o.planned.Add(r.size)
	}
	o.preemptible = slices.DeleteFunc(slices.Clone(o.preemptible), func(r *run) bool { return slices.Contains(o.victims, r) })
	o.planned = o.planned.Sub(size)
	o.slots++
}

// before reports whether the offer is taken before the other one: capacity that is free
// first, then what loses the least work, then by the endpoints' scores.
func (o *endpointOffer) before(other *endpointOffer) bool {
	if free, otherFree := len(o.victims) == 0, len(other.victims) == 0; free != otherFree {
		return free
	}
	return cmp.Or(cmp.Compare(o.cost, other.cost), cmp.Compare(o.score, other.score)) < 0
}

// gangPreemption is a placement of a gang that stops runs of less urgent steps.
type gangPreemption struct {
	endpoints []*endpoint
	victims   []*run
	cost      float64
}

// gangPlacementByPreemption returns an endpoint for each task of the gang and
// preempts less urgent runs there, or returns nil. A gang that prefers a single rack
// gets the one where that loses the least work.
func (p *Planner) gangPlacementByPreemption(s *step, candidates []*endpoint) []*endpoint {
	best := p.bestPreemption(s, candidates)
	if best == nil {
		return nil
	}
	p.preempt(s, best.victims, s.ticketsUntil(best.endpoints))
	return best.endpoints
}

// bestPreemption returns the placement that loses the least work; nil if that is more
// than the work of the gang.
func (p *Planner) bestPreemption(s *step, candidates []*endpoint) *gangPreemption {
	var best *gangPreemption
	if s.SameRack {
		for _, rack := range racksOf(candidates) {
			if found := p.cheapestPreemption(s, onRack(candidates, rack)); found != nil && (best == nil || found.cost < best.cost) {
				best = found
			}
		}
	}
	if best == nil {
		best = p.cheapestPreemption(s, candidates)
	}
	if best == nil || best.cost > s.expectedWork(s.Count) {
		return nil
	}
	return best
}

// cheapestPreemption places the gang task by task where that loses the least work;
// nil if it does not fit by stopping all preemptible runs.
func (p *Planner) cheapestPreemption(s *step, candidates []*endpoint) *gangPreemption {
	size := s.Committed()
	offers := p.offers(s, candidates)
	if offers == nil {
		return nil
	}
	found := &gangPreemption{}
	for len(found.endpoints) < s.Count {
		best := -1
		for i, o := range offers {
			if best < 0 || o.before(offers[best]) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		o := offers[best]
		found.endpoints = append(found.endpoints, o.endpoint)
		found.victims = append(found.victims, o.victims...)
		found.cost += o.cost
		o.take(size)
		if s.MaxPerEndpoint > 0 && o.slots == s.MaxPerEndpoint || !o.extend(p, size) {
			offers = slices.Delete(offers, best, best+1)
		}
	}
	return found
}

// offers returns the offers of the endpoints on which a task of the gang fits; nil if the
// gang does not fit by stopping all preemptible runs.
func (p *Planner) offers(s *step, candidates []*endpoint) []*endpointOffer {
	size := s.Committed()
	total := 0
	for _, e := range candidates {
		total += s.slotsIn(p.attainable(s, e))
	}
	if total < s.Count {
		return nil
	}
	var list []*endpointOffer
	for _, e := range candidates {
		if !fits(size, p.attainable(s, e)) {
			continue
		}
		o := &endpointOffer{endpoint: e, score: p.score(s, s.tasks[0], e), planned: p.plannedFor(s, e)}
		if s.rank.priority < p.lowestPriority {
			o.preemptible = p.preemptibleAt(e, s.rank.priority).runs
		}
		if o.extend(p, size) {
			list = append(list, o)
		}
	}
	return list
}

// attainable returns the capacity that the gang could have on the endpoint by stopping
// all preemptible runs.
func (p *Planner) attainable(s *step, e *endpoint) model.Resources {
	capacity := p.plannedFor(s, e)
	if s.rank.priority < p.lowestPriority {
		capacity = capacity.Add(p.preemptibleAt(e, s.rank.priority).size)
	}
	return capacity
}

// plannedFor returns the endpoint's capacity on which the gang can rely.
func (p *Planner) plannedFor(s *step, e *endpoint) model.Resources {
	if p.waitsUnreserved(s) {
		return e.settledCapacity()
	}
	return e.planned
}
