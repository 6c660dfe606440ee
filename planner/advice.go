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
	adviceRetryDelay = 100 * time.Millisecond
	// adviceMax is the most endpoints that one question may name.
	maxAdviceEndpoints = 100
	// adviceSpare is how many times the room needed a question covers, since
	// good endpoints may be full.
	adviceCapacityFactor = 2.5
	// adviceLeast is the least number of endpoints that a question names.
	minAdviceEndpoints = 8
	// adviceWiden is how long a step waits for room on its good endpoints
	// before others are asked about.
	adviceWidenDelay = 600 * time.Millisecond
	// goodAtFirst is the share of good endpoints taken before any answer.
	initialEligibleRatio = 0.4
	// goodWindow is the number of answers over which the share of good endpoints
	// is averaged.
	eligibleRatioWindow = 20
	// ShortQuestion is the cost up to which a question is a short one: two
	// instances are kept for these.
	ShortQuestion = 150 * time.Millisecond
	// shortPerAdviser is the number of short questions under way for each
	// instance: one is asked while others are on their way.
	shortRequestsPerInstance = 2
)

// Question asks which endpoints may run a step.
type Question struct {
	Step      jobs.StepID
	Endpoints []model.EndpointID
	// Cost is the time that the advice service takes.
	Cost time.Duration
	// Priority and Due order the questions.
	Priority int
	Due      time.Time
}

// SetAdvisers tells how many instances can ask for advice.
func (p *Planner) SetAdvisers(n int) { p.adviceInstances = n }

// mayAsk reports whether a question of the cost can be asked before long: what
// waits is ranked here, where the order can still change.
func (p *Planner) canRequestAdvice(cost time.Duration) bool {
	if cost <= ShortQuestion {
		return p.shortRequests < shortRequestsPerInstance*p.adviceInstances
	}
	return p.longRequests < max(p.adviceInstances-1, 1)
}

// countQuestion counts a question of the cost as asked or, with -1, answered.
func (p *Planner) countAdviceRequest(cost time.Duration, n int) {
	if cost <= ShortQuestion {
		p.shortRequests += n
	} else {
		p.longRequests += n
	}
}

// ask adds a question about the step.
func (p *Planner) requestAdvice(s *step, q *catalog.Queue, endpoints []*endpoint) {
	if len(endpoints) == 0 || !p.canRequestAdvice(q.Advice.Cost(len(endpoints))) {
		return
	}
	p.countAdviceRequest(q.Advice.Cost(len(endpoints)), 1)
	ids := make([]model.EndpointID, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, e.ID)
		s.advice.requested[e.ID] = true
	}
	s.advice.outstanding = true
	s.advice.requestedAt = p.now
	p.plan.Questions = append(p.plan.Questions, Question{
		Step: s.id, Endpoints: ids, Cost: q.Advice.Cost(len(ids)), Priority: q.Priority, Due: s.rank.due,
	})
}

// toAsk chooses the endpoints to ask about: those with most room first, counting
// what could be stopped only if none has any.
func (p *Planner) adviceCandidates(s *step, queue *catalog.Queue) []*endpoint {
	size := s.Committed()
	list, maxSlots := p.endpointsByCapacity(s, size, func(e *endpoint) model.Resources { return e.planned })
	if len(list) == 0 {
		return nil
	}
	if list[0].slots == 0 {
		list, maxSlots = p.endpointsByCapacity(s, size, func(e *endpoint) model.Resources { return p.capacityWithPreemption(e, queue.Priority) })
	}
	eligibleRatio := max(averageOf(p.eligibleRatio, s.job.Queue).valueOr(initialEligibleRatio), 0.05)
	needed := int(math.Ceil(adviceCapacityFactor*float64(len(s.pending))/(float64(maxSlots)*eligibleRatio))) + minAdviceEndpoints
	if perEndpoint := queue.Advice.PerEndpoint; perEndpoint > 0 {
		// Up to the time of the question itself, further endpoints cost little.
		needed = max(needed, int(queue.Advice.Decide/perEndpoint/2))
	}
	chosen := make([]*endpoint, 0, needed)
	for _, o := range list[:min(needed, maxAdviceEndpoints, len(list))] {
		chosen = append(chosen, o.endpoint)
	}
	return chosen
}

// roomiest returns the endpoints that could run the step and were not asked
// about, those with most room for its waiting tasks first and of these the
// fastest, and how many tasks the largest one takes.
func (p *Planner) endpointsByCapacity(s *step, size model.Resources, capacity func(*endpoint) model.Resources) (list []placementOption, maxSlots int) {
	maxSlots = 1
	for _, e := range p.sortedEndpoints() {
		if s.advice.requested[e.ID] || !p.canRun(s, e) || !fits(size, e.Capacity) {
			continue
		}
		maxSlots = max(maxSlots, slots(size, e.Capacity))
		n := min(slots(size, capacity(e)), len(s.pending))
		list = append(list, placementOption{endpoint: e, slots: n, score: p.slowdownScore(s, e)})
	}
	sort.SliceStable(list, func(i, k int) bool {
		if list[i].slots != list[k].slots {
			return list[i].slots > list[k].slots
		}
		return list[i].score < list[k].score
	})
	return list, maxSlots
}

// widen asks about further endpoints when the good ones have had no room for a
// while.
func (p *Planner) widenAdvice(s *step, queue *catalog.Queue) {
	if queue.Advice == nil || s.advice.outstanding || p.now.Sub(s.advice.requestedAt) < adviceWidenDelay {
		return
	}
	p.requestAdvice(s, queue, p.adviceCandidates(s, queue))
}

// ratioOf returns the queue's average among all, a new one if it has none.
func averageOf(averages map[jobs.QueueName]*movingAverage, queue jobs.QueueName) *movingAverage {
	average := averages[queue]
	if average == nil {
		average = &movingAverage{}
		averages[queue] = average
	}
	return average
}

func (r *movingAverage) valueOr(fallback float64) float64 {
	if r.count == 0 {
		return fallback
	}
	return r.value
}

// partByTicket parts the endpoints into those that the step may use now and
// those whose tickets have run out. Room is not reserved on the latter: it would
// be idle until the answer comes.
func (p *Planner) splitByTicket(s *step, candidates []*endpoint) (usable, expired []*endpoint) {
	queue := p.queueOf(s.job)
	for _, e := range candidates {
		if _, valid := s.ticket(e); valid || queue.Advice == nil {
			usable = append(usable, e)
		} else {
			expired = append(expired, e)
		}
	}
	return usable, expired
}

// renew asks again about endpoints whose tickets have run out: about as many as
// add less than the question's own time, those with most room first.
func (p *Planner) renewAdvice(s *step, expired []*endpoint) {
	queue := p.queueOf(s.job)
	if s.advice.outstanding {
		return
	}
	size := s.Committed()
	list := slices.Clone(expired)
	sort.SliceStable(list, func(i, k int) bool {
		return slots(size, list[i].planned) > slots(size, list[k].planned)
	})
	limit := maxAdviceEndpoints
	if perEndpoint := queue.Advice.PerEndpoint; perEndpoint > 0 {
		limit = min(limit, max(int(queue.Advice.Decide/perEndpoint), 1))
	}
	p.requestAdvice(s, queue, list[:min(limit, len(list))])
}
