package planner

import (
	"maps"
	"slices"

	"github.com/hornbeamworks/hornbeam/admission"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// Load returns the load of the cell, for decisions on new jobs. Endpoints that have not
// been listed yet, or do not respond for a moment, count: they may run a new job.
func (p *Planner) Load() *admission.Load {
	load := &admission.Load{Largest: maps.Clone(p.largest), Queues: map[jobs.QueueName]admission.QueueLoad{}}
	for _, e := range p.endpoints {
		if e.Service != "" && !e.Leaving && e.state != endpointLapsed && !p.evacuated[e.Domain] {
			load.Capacity += e.Capacity[model.CPU]
		}
	}
	for _, s := range p.openSteps() {
		p.addWaiting(load, s)
	}
	for name, team := range p.teams {
		if team.overWeight(p) {
			load.OverWeight = append(load.OverWeight, name)
		}
	}
	slices.Sort(load.OverWeight)
	p.addShedding(load)
	return load
}

// addWaiting adds the work of the step's pending tasks. Work that can no longer be of use
// is served after all other work and does not count.
func (p *Planner) addWaiting(load *admission.Load, s *step) {
	if len(s.pending) == 0 || s.Lasting || s.job.closing() {
		return
	}
	p.updateRank(s)
	q := load.Queues[s.job.Queue]
	work := int64(s.expectedWork(len(s.pending)))
	switch {
	case s.rank.urgency == overdue:
		return
	case s.rank.urgency == surplus || s.rank.urgency == urgentSurplus:
		q.Surplus += work
	case s.rank.late:
		q.Late += work
	default:
		q.InTime += work
	}
	load.Queues[s.job.Queue] = q
}

// overWeight reports whether the team's next job would count as surplus.
func (t *team) overWeight(p *Planner) bool {
	if p.catalog == nil || p.catalog.Teams[t.name] == nil || t.tokens < 0 {
		return false
	}
	weight := p.catalog.Teams[t.name].Weight
	refilled := t.tokens + max(p.now.Sub(t.refilledAt).Seconds(), 0)*weight
	least := 1.0
	if p.policy.ShedByCost && !t.exceededAt.IsZero() && p.now.Sub(t.exceededAt).Seconds() < surplusBurstSeconds {
		// While fronts refuse its jobs, the bucket refills. A team at several times its
		// weight would be over its weight at every other publication.
		least = surplusBurstSeconds * weight / 2
	}
	return weight > 0 && refilled < least
}

// updateLargest records the capacity of an endpoint.
func (p *Planner) updateLargest(e *endpoint) {
	if e.Service != "" {
		p.largest[e.Service] = p.largest[e.Service].Max(e.Capacity)
	}
}
