package planner

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// failedPause is how long a step that found no room is left alone unless
	// room is freed: time alone ends quarantines and the wait for stops.
	placementRetryDelay = 100 * time.Millisecond
	// reservationTime bounds the life of a reservation: stops and a question
	// about tickets are over by then.
	reservationTimeout = 3500 * time.Millisecond
)

// place reserves room for the pending tasks of the step as far as there is any.
// It returns false when it found too little.
func (p *Planner) place(s *step) bool {
	queue := p.queueOf(s.job)
	if queue == nil || p.now.Before(s.adviceRetryAt) {
		return true
	}
	if p.now.Before(s.placementRetryAt) && !p.freedSince(s, queue) {
		p.widenAdvice(s, queue)
		return false
	}
	candidates := p.candidates(s, queue)
	if candidates == nil {
		return true
	}
	placed := false
	if s.Gang {
		placed = p.placeGang(s, candidates)
	} else {
		placed = p.placeTasks(s, candidates)
	}
	if !placed {
		s.failedCapacitySeq, s.placementRetryAt = p.capacitySeq, p.now.Add(placementRetryDelay)
		p.widenAdvice(s, queue)
	}
	return placed
}

// candidates returns the endpoints that the step may run on; nil while advice
// is outstanding.
func (p *Planner) candidates(s *step, queue *catalog.Queue) []*endpoint {
	if queue.Advice != nil && len(s.advice.requested) == 0 {
		if !s.advice.outstanding {
			p.requestAdvice(s, queue, p.adviceCandidates(s, queue))
		}
		return nil
	}
	list := []*endpoint{}
	for _, e := range p.eligible(s, queue) {
		if p.canRun(s, e) {
			list = append(list, e)
		}
	}
	return list
}

// allowed returns the endpoints that advice allows, in the order of their names:
// all of them where no advice is needed.
func (p *Planner) eligible(s *step, queue *catalog.Queue) []*endpoint {
	if queue.Advice == nil {
		return p.sortedEndpoints()
	}
	list := make([]*endpoint, 0, len(s.advice.eligible))
	for id, t := range s.advice.eligible {
		if e := p.endpoints[id]; e != nil && t.startedAt == e.Born {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].ID < list[k].ID })
	return list
}

// freedSince reports whether anything has become placeable on the endpoints
// that the step may run on since it found no room.
func (p *Planner) freedSince(s *step, queue *catalog.Queue) bool {
	if queue.Advice == nil {
		return p.capacitySeq != s.failedCapacitySeq
	}
	for id := range s.advice.eligible {
		if e := p.endpoints[id]; e != nil && e.capacitySeq > s.failedCapacitySeq {
			return true
		}
	}
	return false
}

// placeTasks places single tasks. It reports whether none is left over for want
// of room.
func (p *Planner) placeTasks(s *step, candidates []*endpoint) bool {
	size := s.Committed()
	usable, expired := p.splitByTicket(s, candidates)
	for _, t := range slices.Clone(s.pending) {
		if !p.withinLimit(s.job.Team, size) {
			return true
		}
		e := p.bestEndpoint(s, t, usable)
		if e == nil && p.bestEndpoint(s, t, expired) != nil {
			p.renewAdvice(s, expired)
			return true
		}
		if e == nil && p.mayPreempt(s) {
			e = p.preemptForTask(s, usable)
		}
		if e == nil {
			return false
		}
		p.newRun(t, e, t.nextRunNumber())
	}
	return true
}

// nextNumber returns the number of the task's next run.
func (t *task) nextRunNumber() int {
	t.lastNumber++
	return int(t.step.job.p.epoch-1)*runsPerEpoch + t.lastNumber
}

// bestFor returns the endpoint with the least room left over that takes the
// task; nil when none has room.
func (p *Planner) bestEndpoint(s *step, t *task, candidates []*endpoint) *endpoint {
	var best *endpoint
	bestScore := math.Inf(1)
	for _, e := range candidates {
		if !fits(s.Committed(), e.planned) || s.atEndpointLimit(e) {
			continue
		}
		if score := p.score(s, t, e); score < bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// The parts of an endpoint's score; the lowest wins. They are in units of the
// share of an endpoint's processors that stays free.
const (
	// farPenalty is for a rack away from the step's data.
	remoteRackPenalty = 2.0
	// failedPenalty is for an endpoint where the task has failed.
	failedTaskPenalty = 4.0
	// ticketPenalty is for an endpoint whose ticket has run out.
	expiredTicketPenalty = 1.0
	// stopPenalty is for room that is still being given up.
	pendingStopPenalty = 0.5
	// slowPenalty is for an endpoint on which tasks take twice as long as usual.
	// Work that has time, and gangs, which need the room, count only what is
	// beyond slowMost: more than endpoints differ by when nothing is wrong.
	slowdownPenalty   = 2.0
	toleratedSlowdown = 1.4
)

// score ranks an endpoint for a task: tasks are packed, so that large ones find
// room.
func (p *Planner) score(s *step, t *task, e *endpoint) float64 {
	size := s.Committed()
	score := 0.0
	if total := e.Capacity[model.CPU]; total > 0 {
		score = float64(e.planned[model.CPU]-size[model.CPU]) / float64(total)
	}
	if s.DataRack != "" && s.DataRack != e.Rack {
		score += remoteRackPenalty
	}
	if slices.Contains(t.avoidedEndpoints, e.ID) {
		score += failedTaskPenalty
	}
	if !fits(size, e.free) {
		score += pendingStopPenalty
	}
	if _, valid := s.ticket(e); !valid && len(s.advice.requested) > 0 {
		score += expiredTicketPenalty
	}
	return score + p.slowdownScore(s, e)
}

// slowScore is the part of the score that comes from the endpoint's pace.
func (p *Planner) slowdownScore(s *step, e *endpoint) float64 {
	slowdown := e.slowdown(p.now)
	if s.Gang || s.rank.priority == p.lowestPriority {
		return slowdownPenalty * max(slowdown-toleratedSlowdown, 0)
	}
	return slowdownPenalty * (slowdown - 1)
}

// crowded reports whether the endpoint runs as many tasks of the step as it
// may.
func (s *step) atEndpointLimit(e *endpoint) bool {
	return s.MaxPerEndpoint > 0 && s.tasksAt(e) >= s.MaxPerEndpoint
}

func (s *step) tasksAt(e *endpoint) int {
	n := 0
	for r := range e.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}
