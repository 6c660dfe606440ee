package planner

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// adviceRetry is the pause after a question that got no answer.
	adviceRetry = 100 * time.Millisecond
	// adviceMax is the most endpoints that one question may name.
	adviceMax = 100
	// adviceSpare is how many times the room needed a question covers, since
	// good endpoints may be full.
	adviceSpare = 2.5
	// adviceLeast is the least number of endpoints that a question names.
	adviceLeast = 8
	// adviceWiden is how long a step waits for room on its good endpoints
	// before others are asked about.
	adviceWiden = 600 * time.Millisecond
	// goodAtFirst is the share of good endpoints taken before any answer.
	goodAtFirst = 0.4
	// ShortQuestion is the cost up to which a question is a short one: two
	// instances are kept for these.
	ShortQuestion = 150 * time.Millisecond
	// shortPerAdviser is the number of short questions under way for each
	// instance: one is asked while others are on their way.
	shortPerAdviser = 2
	// failuresTried is how many steps of a priority may find no room before
	// the rest of it is left for the next time.
	failuresTried = 40
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

// toAsk chooses the endpoints to ask about: those with most room first, counting
// what could be stopped only if none has any.
func (p *Planner) toAsk(s *step, queue *catalog.Queue) []*endpoint {
	size := s.Committed()
	list, most := p.roomiest(s, size, func(e *endpoint) model.Resources { return e.planned })
	if len(list) == 0 {
		return nil
	}
	if list[0].slots == 0 {
		list, most = p.roomiest(s, size, func(e *endpoint) model.Resources { return p.claimable(e, queue.Priority) })
	}
	share := max(p.goodRatio(s.job.Queue).or(goodAtFirst), 0.05)
	needed := int(math.Ceil(adviceSpare*float64(len(s.pending))/(float64(most)*share))) + adviceLeast
	if each := queue.Advice.PerEndpoint; each > 0 {
		// Up to the time of the question itself, further endpoints cost little.
		needed = max(needed, int(queue.Advice.Decide/each/2))
	}
	chosen := make([]*endpoint, 0, needed)
	for _, o := range list[:min(needed, adviceMax, len(list))] {
		chosen = append(chosen, o.endpoint)
	}
	return chosen
}

// roomiest returns the endpoints that could run the step and were not asked
// about, those with most room first, and how many tasks the largest one takes.
func (p *Planner) roomiest(s *step, size model.Resources, room func(*endpoint) model.Resources) (list []offer, most int) {
	most = 1
	for _, e := range p.sortedEndpoints() {
		if s.advice.asked[e.ID] || !p.suits(s, e) || !sizeFits(size, e.Capacity) {
			continue
		}
		most = max(most, slots(size, e.Capacity))
		list = append(list, offer{endpoint: e, slots: slots(size, room(e))})
	}
	sort.SliceStable(list, func(i, k int) bool { return list[i].slots > list[k].slots })
	return list, most
}

// widen asks about further endpoints when the good ones have had no room for a
// while.
func (p *Planner) widen(s *step, queue *catalog.Queue) {
	if queue.Advice == nil || s.advice.outstanding || p.now.Sub(s.advice.askedAt) < adviceWiden {
		return
	}
	p.ask(s, queue, p.toAsk(s, queue))
}

func (p *Planner) goodRatio(queue jobs.QueueName) *ratio {
	r := p.good[queue]
	if r == nil {
		r = &ratio{}
		p.good[queue] = r
	}
	return r
}

func (r *ratio) or(fallback float64) float64 {
	if r.count == 0 {
		return fallback
	}
	return r.value
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

// partByTicket parts the endpoints into those that the step may use now and
// those whose tickets have run out. Room is not reserved on the latter: it would
// be idle until the answer comes.
func (p *Planner) partByTicket(s *step, candidates []*endpoint) (permitted, lapsed []*endpoint) {
	queue := p.queueOf(s.job)
	for _, e := range candidates {
		if _, valid := s.ticket(e); valid || queue.Advice == nil {
			permitted = append(permitted, e)
		} else {
			lapsed = append(lapsed, e)
		}
	}
	return permitted, lapsed
}

// renew asks again about endpoints whose tickets have run out: about as many as
// add less than the question's own time, those with most room first.
func (p *Planner) renew(s *step, lapsed []*endpoint) {
	queue := p.queueOf(s.job)
	if s.advice.outstanding {
		return
	}
	size := s.Committed()
	list := slices.Clone(lapsed)
	sort.SliceStable(list, func(i, k int) bool {
		return slots(size, list[i].planned) > slots(size, list[k].planned)
	})
	most := adviceMax
	if each := queue.Advice.PerEndpoint; each > 0 {
		most = min(most, max(int(queue.Advice.Decide/each), 1))
	}
	p.ask(s, queue, list[:min(most, len(list))])
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
	return score
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

// placeGang places all tasks of a gang or none.
func (p *Planner) placeGang(s *step, candidates []*endpoint) bool {
	if len(s.pending) < s.Count {
		// Members of the last run are not gone yet.
		return true
	}
	if !p.mayRun(s.job.Team, s.Committed().Scale(int64(s.Count))) {
		return true
	}
	seats := p.seats(s, candidates, func(e *endpoint) model.Resources { return e.planned })
	if seats == nil && p.mayStopOthers(s) {
		seats = p.seatsByStopping(s, candidates)
	}
	if seats == nil {
		return false
	}
	s.gangRuns++
	number := int(p.epoch-1)*runsPerEpoch + s.gangRuns
	for i, t := range slices.Clone(s.pending) {
		p.newRun(t, seats[i], number)
	}
	return true
}

// seats returns an endpoint for each task of the gang, or nil. A gang that
// wants one rack gets it if a rack has room.
func (p *Planner) seats(s *step, candidates []*endpoint, room func(*endpoint) model.Resources) []*endpoint {
	if s.SameRack {
		for _, rack := range racksOf(candidates) {
			if found := p.fill(s, onRack(candidates, rack), room); found != nil {
				return found
			}
		}
	}
	return p.fill(s, candidates, room)
}

func (p *Planner) fill(s *step, candidates []*endpoint, room func(*endpoint) model.Resources) []*endpoint {
	offers, total := p.offers(s, candidates, room)
	if total < s.Count {
		return nil
	}
	sort.SliceStable(offers, func(i, k int) bool { return offers[i].score < offers[k].score })
	var chosen []*endpoint
	for _, o := range offers {
		for n := o.slots; n > 0 && len(chosen) < s.Count; n-- {
			chosen = append(chosen, o.endpoint)
		}
	}
	return chosen
}

// offer is an endpoint with room for some tasks of a step.
type offer struct {
	endpoint *endpoint
	slots    int
	score    float64
}

// offers returns the endpoints with room for the gang's members and how many
// there is room for.
func (p *Planner) offers(s *step, candidates []*endpoint, room func(*endpoint) model.Resources) (list []offer, total int) {
	size := s.Committed()
	for _, e := range candidates {
		n := min(slots(size, room(e)), s.Count)
		if s.MaxPerEndpoint > 0 {
			n = min(n, s.MaxPerEndpoint)
		}
		if n > 0 {
			list = append(list, offer{endpoint: e, slots: n, score: p.score(s, s.tasks[0], e)})
			total += n
		}
	}
	return list, total
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
