package planner

import (
	"slices"
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// gangStartMargin is how long the tickets of a gang have to outlast the stops that it
	// waits for: two rounds of the holder under load, in which the ends of the runs are
	// listed and the start is decided. The start itself is covered by ticketMargin.
	gangStartMargin = 100 * time.Millisecond
	// gangStopShare is the fraction of the cell's processors that may be reserved for
	// gangs that wait for stops.
	gangStopShare = 0.1
)

// waitsUnreserved reports whether the gang holds no capacity while it waits for advice.
// A gang whose advice is short renews its tickets within the time of a stop, and one
// that needs none always has them. Tickets that do not outlast a stop would leave a gang
// without any placement by preemption.
func (p *Planner) waitsUnreserved(s *step) bool {
	queue := p.queueOf(s.job)
	return p.policy.ReadyGangs && s.Gang && queue != nil && queue.Advice != nil &&
		queue.Advice.Cost(s.Count) > ShortAdviceRequest &&
		queue.Advice.TicketValidity-ticketMargin > p.stopTime+gangStartMargin
}

// readyPlacement returns an endpoint for each task of a gang if the whole placement can
// be used: now, or once what runs there has been stopped, before the tickets expire.
// Otherwise it returns nil and requests advice about the best placement.
func (p *Planner) readyPlacement(s *step, candidates []*endpoint) []*endpoint {
	now := p.withTicketsAt(s, candidates, p.now)
	if placement := p.gangPlacement(s, now, (*endpoint).freeNow); placement != nil {
		return placement
	}
	lasting := p.withTicketsAt(s, candidates, p.now.Add(p.stopTime+gangStartMargin))
	if !p.mayWaitForStops(s) {
		p.useOf(s.job.Queue).GangsOverShare++
	} else {
		if placement := p.gangPlacement(s, lasting, (*endpoint).settledCapacity); placement != nil {
			return placement
		}
		if p.mayPreempt(s) && !p.expectsFreeCapacity(s) {
			if placement := p.gangPlacementByPreemption(s, lasting); placement != nil {
				return placement
			}
		}
	}
	p.requestPlacementAdvice(s, candidates, len(lasting))
	return nil
}

func plannedCapacity(e *endpoint) model.Resources { return e.planned }

// settledCapacity returns the planned capacity without that of the runs that yield to
// others: they may be kept, or be stopped later.
func (e *endpoint) settledCapacity() model.Resources {
	capacity := e.planned
	for r := range e.runs {
		if r.state == runYielding {
			capacity = capacity.Sub(r.size)
		}
	}
	return capacity
}

// freeNow returns the capacity that is free and not reserved.
func (e *endpoint) freeNow() model.Resources {
	var capacity model.Resources
	for i := range capacity {
		capacity[i] = min(e.free[i], e.planned[i])
	}
	return capacity
}

// withTicketsAt returns the candidates on which the step has tickets that are valid at
// the time.
func (p *Planner) withTicketsAt(s *step, candidates []*endpoint, at time.Time) []*endpoint {
	var list []*endpoint
	for _, e := range candidates {
		if t, found := s.advice.eligible[e.ID]; found && t.startedAt == e.Born && at.Before(t.expires) {
			list = append(list, e)
		}
	}
	return list
}

// mayWaitForStops reports whether the gang may reserve capacity that is still in use: the
// gangs of its priority and of more urgent ones that wait for stops hold less than
// gangStopShare of the processors with it, or none of them waits.
func (p *Planner) mayWaitForStops(s *step) bool {
	var held, total int64
	for r := range p.reserved {
		if other := r.task.step; other.Gang && other.rank.priority <= s.rank.priority {
			held += r.size[model.CPU]
		}
	}
	if held == 0 {
		return true
	}
	for _, e := range p.endpoints {
		total += e.Capacity[model.CPU]
	}
	return float64(held+s.Committed()[model.CPU]*int64(s.Count)) <= gangStopShare*float64(total)
}

// requestPlacementAdvice requests new tickets for the best placement among the endpoints
// that were eligible, and for as many further ones in case that some of it is taken
// until the response arrives. A gang without one gets advice about further endpoints
// from widenAdvice.
func (p *Planner) requestPlacementAdvice(s *step, candidates []*endpoint, lasting int) {
	queue := p.queueOf(s.job)
	if s.advice.outstanding || lasting == len(candidates) {
		return
	}
	placement := p.gangPlacement(s, candidates, plannedCapacity)
	if placement == nil && s.rank.urgency == inTime && p.hasWaited(s, p.now.Add(queue.Advice.Cost(s.Count))) {
		if found := p.bestPreemption(s, candidates); found != nil {
			placement = found.endpoints
		}
	}
	if placement == nil {
		return
	}
	var list []*endpoint
	for _, e := range placement {
		list = appendUnique(list, e)
	}
	p.requestAdvice(s, queue, p.withSpares(s, queue, list, candidates))
}

// withSpares adds to the endpoints of a placement as many further candidates, those with
// the most capacity first.
func (p *Planner) withSpares(s *step, queue *catalog.Queue, placement, candidates []*endpoint) []*endpoint {
	size := s.Committed()
	var spares []placementOption
	for _, e := range candidates {
		if !slices.Contains(placement, e) {
			if n := slots(size, p.capacityWithPreemption(e, queue.Priority)); n > 0 {
				spares = append(spares, placementOption{endpoint: e, slots: n})
			}
		}
	}
	sort.SliceStable(spares, func(i, k int) bool { return spares[i].slots > spares[k].slots })
	list := placement
	for _, option := range spares[:min(len(spares), len(placement))] {
		list = append(list, option.endpoint)
	}
	return list[:min(len(list), maxAdviceEndpoints)]
}

// ticketsUntil returns when the first of the step's tickets for the endpoints expires.
func (s *step) ticketsUntil(endpoints []*endpoint) time.Time {
	var until time.Time
	for i, e := range endpoints {
		if expires := s.advice.eligible[e.ID].expires; i == 0 || expires.Before(until) {
			until = expires
		}
	}
	return until
}

// hasUnusableTickets reports whether the gang has reserved capacity that it can't use,
// since a ticket has expired.
func (p *Planner) hasUnusableTickets(s *step) bool {
	return p.waitsUnreserved(s) && !p.now.Before(s.ticketsUntil(s.reservedEndpoints()))
}

// recordExpired counts a gang whose reservations are withdrawn since a ticket has expired.
func (p *Planner) recordExpired(s *step, r *run) {
	if r.state == runReserved && p.hasUnusableTickets(s) {
		p.useOf(s.job.Queue).GangsExpired++
	}
}

// mayYield reports whether a run is left to end for the step. A run that does not end as
// expected can still be stopped before the step's tickets expire.
func (p *Planner) mayYield(s *step, r *run, until time.Time) bool {
	if !p.waitsUnreserved(s) {
		return p.endsBeforeStop(r)
	}
	return p.endsBeforeStop(r) && p.endsBefore(r, until.Add(-p.stopTime-gangStartMargin))
}

// mustStopNow reports whether the runs that yield to the gang have to be stopped for its
// tickets to outlast the stops.
func (p *Planner) mustStopNow(s *step) bool {
	return p.waitsUnreserved(s) && !p.now.Before(s.ticketsUntil(s.reservedEndpoints()).Add(-p.stopTime-gangStartMargin))
}
