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
	failedPause = 100 * time.Millisecond
	// reservationTime bounds the life of a reservation: stops and a question
	// about tickets are over by then.
	reservationTime = 3500 * time.Millisecond
)

// place reserves room for the pending tasks of the step as far as there is any.
// It returns false when it found too little.
func (p *Planner) place(s *step) bool {
	queue := p.queueOf(s.job)
	if queue == nil || p.now.Before(s.retryAt) {
		return true
	}
	if p.now.Before(s.failedUntil) && !p.freedSince(s, queue) {
		p.widen(s, queue)
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
		s.failedAt, s.failedUntil = p.freed, p.now.Add(failedPause)
		p.widen(s, queue)
	}
	return placed
}

// candidates returns the endpoints that the step may run on; nil while advice
// is outstanding.
func (p *Planner) candidates(s *step, queue *catalog.Queue) []*endpoint {
	if queue.Advice != nil && len(s.advice.asked) == 0 {
		if !s.advice.outstanding {
			p.ask(s, queue, p.toAsk(s, queue))
		}
		return nil
	}
	list := []*endpoint{}
	for _, e := range p.allowed(s, queue) {
		if p.suits(s, e) {
			list = append(list, e)
		}
	}
	return list
}

// allowed returns the endpoints that advice allows, in the order of their names:
// all of them where no advice is needed.
func (p *Planner) allowed(s *step, queue *catalog.Queue) []*endpoint {
	if queue.Advice == nil {
		return p.sortedEndpoints()
	}
	list := make([]*endpoint, 0, len(s.advice.good))
	for id, known := range s.advice.good {
		if e := p.endpoints[id]; e != nil && known.born == e.Born {
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
		return p.freed != s.failedAt
	}
	for id := range s.advice.good {
		if e := p.endpoints[id]; e != nil && e.freedAt > s.failedAt {
			return true
		}
	}
	return false
}

// placeTasks places single tasks. It reports whether none is left over for want
// of room.
func (p *Planner) placeTasks(s *step, candidates []*endpoint) bool {
	size := s.Committed()
	permitted, lapsed := p.partByTicket(s, candidates)
	for _, t := range slices.Clone(s.pending) {
		if !p.mayRun(s.job.Team, size) {
			return true
		}
		e := p.bestFor(s, t, permitted)
		if e == nil && p.bestFor(s, t, lapsed) != nil {
			p.renew(s, lapsed)
			return true
		}
		if e == nil && p.mayStopOthers(s) {
			e = p.makeRoom(s, permitted)
		}
		if e == nil {
			return false
		}
		p.newRun(t, e, t.nextNumber())
	}
	return true
}

// nextNumber returns the number of the task's next run.
func (t *task) nextNumber() int {
	t.number++
	return int(t.step.job.p.epoch-1)*runsPerEpoch + t.number
}

// bestFor returns the endpoint with the least room left over that takes the
// task; nil when none has room.
func (p *Planner) bestFor(s *step, t *task, candidates []*endpoint) *endpoint {
	var best *endpoint
	bestScore := math.Inf(1)
	for _, e := range candidates {
		if !sizeFits(s.Committed(), e.planned) || s.crowded(e) {
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
	farPenalty = 2.0
	// failedPenalty is for an endpoint where the task has failed.
	failedPenalty = 4.0
	// ticketPenalty is for an endpoint whose ticket has run out.
	ticketPenalty = 1.0
	// stopPenalty is for room that is still being given up.
	stopPenalty = 0.5
	// slowPenalty is for an endpoint on which tasks take twice as long as usual.
	// Work that has time, and gangs, which need the room, count only what is
	// beyond slowMost: more than endpoints differ by when nothing is wrong.
	slowPenalty = 2.0
	slowMost    = 1.4
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
		score += farPenalty
	}
	if slices.Contains(t.avoided, e.ID) {
		score += failedPenalty
	}
	if !sizeFits(size, e.free) {
		score += stopPenalty
	}
	if _, valid := s.ticket(e); !valid && len(s.advice.asked) > 0 {
		score += ticketPenalty
	}
	return score + p.slowScore(s, e)
}

// slowScore is the part of the score that comes from the endpoint's pace.
func (p *Planner) slowScore(s *step, e *endpoint) float64 {
	slowness := e.slowness(p.now)
	if s.Gang || s.rank.priority == p.lastPriority {
		return slowPenalty * max(slowness-slowMost, 0)
	}
	return slowPenalty * (slowness - 1)
}

// crowded reports whether the endpoint runs as many tasks of the step as it
// may.
func (s *step) crowded(e *endpoint) bool {
	return s.MaxPerEndpoint > 0 && s.countAt(e) >= s.MaxPerEndpoint
}

func (s *step) countAt(e *endpoint) int {
	n := 0
	for r := range e.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}
