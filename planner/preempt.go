package planner

import (
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// stopPatience is the part of its spare time that a step waits for room
	// before others are stopped for it.
	preemptionWaitFraction = 0.2
	// maxPreempted is how often a task may be stopped for others.
	maxPreemptions = 2
)

// claimable is the room that a step of the priority could have on the endpoint
// by stopping work that comes after it.
func (p *Planner) capacityWithPreemption(e *endpoint, priority int) model.Resources {
	capacity := e.planned
	for r := range e.runs {
		if p.preemptible(r, priority) {
			capacity = capacity.Add(r.size)
		}
	}
	return capacity
}

// mayStopOthers reports whether the step has waited long enough for others to be
// stopped: a part of the time that it has. Single tasks don't wait for a stop
// that takes longer than the time that is left.
func (p *Planner) mayPreempt(s *step) bool {
	if s.rank.urgency != inTime || !s.Gang && p.now.Add(p.stopTime).After(s.rank.due) {
		return false
	}
	wait := time.Duration(preemptionWaitFraction * float64(s.rank.due.Sub(s.openedAt)))
	return p.now.Sub(s.openedAt) >= wait
}

// yields reports whether the run may be stopped for a step of the priority.
// Gangs are left alone: stopping one member ends the work of all.
func (p *Planner) preemptible(r *run, priority int) bool {
	queue := p.queueOf(r.task.step.job)
	return r.state == runRunning && queue != nil && queue.Priority > priority &&
		r.task.preemptions < maxPreemptions && !r.task.step.Gang && !r.task.step.Lasting && !r.task.step.job.closing()
}

// makeRoom stops work of later priorities on the endpoint where that costs
// least, so that a task of the step fits. It returns nil when nothing helps.
func (p *Planner) preemptForTask(s *step, candidates []*endpoint) *endpoint {
	var (
		best      *endpoint
		stops     []*run
		leastCost = float64(0)
	)
	for _, e := range candidates {
		if s.atEndpointLimit(e) {
			continue
		}
		victims, cost, ok := p.victims(s, e, 1)
		if ok && cost <= s.estimatedWork(1) && (best == nil || cost < leastCost) {
			best, stops, leastCost = e, victims, cost
		}
	}
	p.preempt(s, stops)
	return best
}

// victims returns the runs to stop on the endpoint so that n tasks of the step
// fit, and the work that is lost by it in core-milliseconds.
func (p *Planner) victims(s *step, e *endpoint, n int) (list []*run, cost float64, ok bool) {
	size := s.Committed().Scale(int64(n))
	capacity := e.planned
	if fits(size, capacity) {
		return nil, 0, true
	}
	var preemptible []*run
	for _, r := range e.sortedRuns() {
		if p.preemptible(r, s.rank.priority) {
			preemptible = append(preemptible, r)
		}
	}
	sort.SliceStable(preemptible, func(i, k int) bool { return p.lostWork(preemptible[i]) < p.lostWork(preemptible[k]) })
	for _, r := range preemptible {
		list = append(list, r)
		cost += p.lostWork(r)
		capacity = capacity.Add(r.size)
		if fits(size, capacity) {
			return list, cost, true
		}
	}
	return nil, 0, false
}

// loss is the work that stopping the run throws away, in core-milliseconds.
func (p *Planner) lostWork(r *run) float64 {
	ran := p.now.Sub(r.enteredAt)
	if r.task.step.Checkpoints {
		ran = min(ran, maxCheckpointLoss)
	}
	return float64(r.size[model.CPU]) * float64(ran.Milliseconds()) / 1000
}

func (p *Planner) preempt(s *step, stops []*run) {
	for _, r := range stops {
		r.task.preemptions++
		r.stop("makes room for " + s.id.String())
	}
}

// seatsByStopping returns seats for the gang where work of later priorities is
// stopped, or nil.
func (p *Planner) gangPlacementByPreemption(s *step, candidates []*endpoint) []*endpoint {
	placement := p.gangPlacement(s, candidates, func(e *endpoint) model.Resources { return p.capacityWithPreemption(e, s.rank.priority) })
	if placement == nil {
		return nil
	}
	needed := map[*endpoint]int{}
	for _, e := range placement {
		needed[e]++
	}
	var stops []*run
	totalCost := 0.0
	for _, e := range candidates {
		if needed[e] == 0 {
			continue
		}
		victims, cost, ok := p.victims(s, e, needed[e])
		if !ok {
			return nil
		}
		stops = append(stops, victims...)
		totalCost += cost
	}
	if totalCost > s.estimatedWork(s.Count) {
		return nil
	}
	p.preempt(s, stops)
	return placement
}

// worthOf is the work of n tasks of the step, in core-milliseconds: no more
// than that is thrown away for them.
func (s *step) estimatedWork(n int) float64 {
	return float64(n) * float64(s.Size[model.CPU]) * float64(s.Estimate.Milliseconds()) / 1000
}
