package planner

import (
	"cmp"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
)

// placeGang places all tasks of a gang or none. It returns false if capacity
// is lacking.
func (p *Planner) placeGang(s *step, candidates []*endpoint) bool {
	if len(s.pending) < s.Count {
		s.waitFor(WaitMembers)
		return true
	}
	if !p.withinLimit(s.job.Team, s.Committed().Scale(int64(s.Count))) {
		s.waitFor(WaitLimit)
		return true
	}
	placement := p.findGangPlacement(s, candidates)
	if placement == nil {
		return false
	}
	number := max(s.lastRun, p.epochNumber()) + 1
	for i, t := range slices.Clone(s.pending) {
		p.newRun(t, placement[i], number)
	}
	return true
}

// findGangPlacement returns an endpoint for each task of the gang, or nil, and stops the
// runs that the placement needs to be stopped.
func (p *Planner) findGangPlacement(s *step, candidates []*endpoint) []*endpoint {
	if p.waitsUnreserved(s) {
		return p.readyPlacement(s, candidates)
	}
	placement := p.gangPlacement(s, candidates, plannedCapacity)
	if placement == nil && p.mayPreempt(s) && !p.expectsFreeCapacity(s) {
		placement = p.gangPlacementByPreemption(s, candidates)
	}
	return placement
}

// expectsFreeCapacity reports whether advice about further endpoints is on its way to a
// gang that can still wait for it. If none is, it requests advice about endpoints with
// free capacity.
func (p *Planner) expectsFreeCapacity(s *step) bool {
	queue := p.queueOf(s.job)
	if queue.Advice == nil || !p.now.Before(s.waitsUntil(freeCapacityWaitFraction)) {
		return false
	}
	if !s.advice.outstanding {
		p.widenAdviceToFree(s, queue)
	}
	return s.advice.outstanding
}

// gangPlacement returns an endpoint for each task of the gang, or nil. A gang
// that prefers a single rack gets one if a rack has enough capacity.
func (p *Planner) gangPlacement(s *step, candidates []*endpoint, capacity func(*endpoint) model.Resources) []*endpoint {
	if s.SameRack {
		for _, rack := range racksOf(candidates) {
			if found := p.assignEndpoints(s, onRack(candidates, rack), capacity); found != nil {
				return found
			}
		}
	}
	return p.assignEndpoints(s, candidates, capacity)
}

func (p *Planner) assignEndpoints(s *step, candidates []*endpoint, capacity func(*endpoint) model.Resources) []*endpoint {
	options, total := p.placementOptions(s, candidates, capacity)
	if total < s.Count {
		return nil
	}
	slices.SortStableFunc(options, func(a, b placementOption) int { return cmp.Compare(a.score, b.score) })
	var chosen []*endpoint
	for _, option := range options {
		for n := option.slots; n > 0 && len(chosen) < s.Count; n-- {
			chosen = append(chosen, option.endpoint)
		}
	}
	return chosen
}

// placementOption is an endpoint with the number of a step's tasks that fit
// on it.
type placementOption struct {
	endpoint *endpoint
	slots    int
	score    float64
}

// placementOptions returns the endpoints with capacity for members of the
// gang and the total number of members that fit.
func (p *Planner) placementOptions(s *step, candidates []*endpoint, capacity func(*endpoint) model.Resources) (list []placementOption, total int) {
	for _, e := range candidates {
		if n := s.slotsIn(capacity(e)); n > 0 {
			list = append(list, placementOption{endpoint: e, slots: n, score: p.score(s, s.tasks[0], e)})
			total += n
		}
	}
	return list, total
}

// slotsIn returns how many tasks of the step an endpoint with the capacity takes.
func (s *step) slotsIn(capacity model.Resources) int {
	n := min(slots(s.Committed(), capacity), s.Count)
	if s.MaxPerEndpoint > 0 {
		n = min(n, s.MaxPerEndpoint)
	}
	return n
}

func racksOf(candidates []*endpoint) []model.RackName {
	var racks []model.RackName
	for _, e := range candidates {
		if !slices.Contains(racks, e.Rack) {
			racks = append(racks, e.Rack)
		}
	}
	return racks
}

func onRack(candidates []*endpoint, rack model.RackName) []*endpoint {
	var list []*endpoint
	for _, e := range candidates {
		if e.Rack == rack {
			list = append(list, e)
		}
	}
	return list
}
