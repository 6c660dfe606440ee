package planner

import (
	"sort"

	"github.com/hornbeamworks/hornbeam/model"
)

// claimable is the room that a step of the priority could have on the endpoint
// by stopping work that comes after it.
func (p *Planner) claimable(e *endpoint, priority int) model.Resources {
	room := e.plannedFree()
	for r := range e.runs {
		if p.yields(r, priority) {
			room = room.Add(r.size)
		}
	}
	return room
}

// yields reports whether the run may be stopped for a step of the priority.
// Gangs are left alone: stopping one member ends the work of all.
func (p *Planner) yields(r *run, priority int) bool {
	queue := p.queueOf(r.task.step.job)
	return r.state == runRunning && queue != nil && queue.Priority > priority &&
		!r.task.step.Gang && !r.task.step.Lasting && !r.task.step.job.closing()
}

// makeRoom stops work of later priorities on the endpoint where that costs
// least, so that a task of the step fits. It returns nil when nothing helps.
func (p *Planner) makeRoom(s *step, candidates []*endpoint) *endpoint {
	if s.rank.urgency != inTime {
		return nil
	}
	var (
		best  *endpoint
		stops []*run
		least = float64(0)
	)
	for _, e := range candidates {
		if s.crowded(e) {
			continue
		}
		victims, cost, ok := p.victims(s, e, 1)
		if ok && (best == nil || cost < least) {
			best, stops, least = e, victims, cost
		}
	}
	p.stopFor(s, stops)
	return best
}

// victims returns the runs to stop on the endpoint so that n tasks of the step
// fit, and the work that is lost by it in core-milliseconds.
func (p *Planner) victims(s *step, e *endpoint, n int) (list []*run, cost float64, ok bool) {
	size := s.Committed().Scale(int64(n))
	room := e.plannedFree()
	if sizeFits(size, room) {
		return nil, 0, true
	}
	var able []*run
	for _, r := range e.runList() {
		if p.yields(r, s.rank.priority) {
			able = append(able, r)
		}
	}
	sort.SliceStable(able, func(i, k int) bool { return p.loss(able[i]) < p.loss(able[k]) })
	for _, r := range able {
		list = append(list, r)
		cost += p.loss(r)
		room = room.Add(r.size)
		if sizeFits(size, room) {
			return list, cost, true
		}
	}
	return nil, 0, false
}

// loss is the work that stopping the run throws away, in core-milliseconds.
func (p *Planner) loss(r *run) float64 {
	ran := p.now.Sub(r.since)
	if r.task.step.Checkpoints {
		ran = min(ran, checkpointLoss)
	}
	return float64(r.size[model.CPU]) * float64(ran.Milliseconds()) / 1000
}

func (p *Planner) stopFor(s *step, stops []*run) {
	for _, r := range stops {
		r.reason = "makes room for " + s.id.String()
		r.fire(evStop)
	}
}

// seatsByStopping returns seats for the gang where work of later priorities is
// stopped, or nil.
func (p *Planner) seatsByStopping(s *step, candidates []*endpoint) []*endpoint {
	if s.rank.urgency != inTime {
		return nil
	}
	seats := p.seats(s, candidates, func(e *endpoint) model.Resources { return p.claimable(e, s.rank.priority) })
	if seats == nil {
		return nil
	}
	needed := map[*endpoint]int{}
	for _, e := range seats {
		needed[e]++
	}
	for _, e := range candidates {
		if needed[e] == 0 {
			continue
		}
		if stops, _, ok := p.victims(s, e, needed[e]); ok {
			p.stopFor(s, stops)
		}
	}
	return seats
}
