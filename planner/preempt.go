package planner

import (
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// stopPatience is the part of its spare time that a step waits for room
	// before others are stopped for it.
	stopPatience = 0.2
	// maxPreempted is how often a task may be stopped for others.
	maxPreempted = 2
)

// claimable is the room that a step of the priority could have on the endpoint
// by stopping work that comes after it.
func (p *Planner) claimable(e *endpoint, priority int) model.Resources {
	room := e.planned
	for r := range e.runs {
		if p.yields(r, priority) {
			room = room.Add(r.size)
		}
	}
	return room
}

// mayStopOthers reports whether the step has waited long enough for others to be
// stopped: a part of the time that it has. Single tasks don't wait for a stop
// that takes longer than the time that is left.
func (p *Planner) mayStopOthers(s *step) bool {
	if s.rank.urgency != inTime || !s.Gang && p.now.Add(p.stopTime).After(s.rank.due) {
		return false
	}
	patience := time.Duration(stopPatience * float64(s.rank.due.Sub(s.openedAt)))
	return p.now.Sub(s.openedAt) >= patience
}

// yields reports whether the run may be stopped for a step of the priority.
// Gangs are left alone: stopping one member ends the work of all.
func (p *Planner) yields(r *run, priority int) bool {
	queue := p.queueOf(r.task.step.job)
	return r.state == runRunning && queue != nil && queue.Priority > priority &&
		r.task.preempted < maxPreempted && !r.task.step.Gang && !r.task.step.Lasting && !r.task.step.job.closing()
}

// makeRoom stops work of later priorities on the endpoint where that costs
// least, so that a task of the step fits. It returns nil when nothing helps.
func (p *Planner) makeRoom(s *step, candidates []*endpoint) *endpoint {
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
		if ok && cost <= s.worthOf(1) && (best == nil || cost < least) {
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
	room := e.planned
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
		r.task.preempted++
		r.stop("makes room for " + s.id.String())
	}
}

// seatsByStopping returns seats for the gang where work of later priorities is
// stopped, or nil.
func (p *Planner) seatsByStopping(s *step, candidates []*endpoint) []*endpoint {
	seats := p.seats(s, candidates, func(e *endpoint) model.Resources { return p.claimable(e, s.rank.priority) })
	if seats == nil {
		return nil
	}
	needed := map[*endpoint]int{}
	for _, e := range seats {
		needed[e]++
	}
	var stops []*run
	lost := 0.0
	for _, e := range candidates {
		if needed[e] == 0 {
			continue
		}
		victims, cost, ok := p.victims(s, e, needed[e])
		if !ok {
			return nil
		}
		stops = append(stops, victims...)
		lost += cost
	}
	if lost > s.worthOf(s.Count) {
		return nil
	}
	p.stopFor(s, stops)
	return seats
}

// worthOf is the work of n tasks of the step, in core-milliseconds: no more
// than that is thrown away for them.
func (s *step) worthOf(n int) float64 {
	return float64(n) * float64(s.Size[model.CPU]) * float64(s.Estimate.Milliseconds()) / 1000
}
