package planner

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// adviceRetryDelay is the delay after an advice request that failed.
	adviceRetryDelay = 100 * time.Millisecond
	// maxAdviceEndpoints is the largest number of endpoints in one request.
	maxAdviceEndpoints = 100
	// adviceCapacityFactor is the ratio of the capacity that a request covers
	// to the capacity needed, since eligible endpoints may be full.
	adviceCapacityFactor = 2.5
	// minAdviceEndpoints is the minimum number of endpoints in a request
	// about a step; it is added to the number that the pending tasks need.
	minAdviceEndpoints = 8
	// adviceWidenDelay is how long after the last request further endpoints
	// are requested for a step that finds too little capacity on its eligible
	// ones.
	adviceWidenDelay = 600 * time.Millisecond
	// initialEligibleRatio is the assumed fraction of eligible endpoints
	// before the first response.
	initialEligibleRatio = 0.4
	// eligibleRatioWindow is the number of responses over which the fraction
	// of eligible endpoints is averaged.
	eligibleRatioWindow = 20
	// ShortAdviceRequest is the cost up to which an advice request counts as
	// short. Two instances are kept for short requests.
	ShortAdviceRequest = 150 * time.Millisecond
	// shortRequestsPerInstance is the number of short requests per instance
	// that may be in flight: one is executed while the next one is on its
	// way.
	shortRequestsPerInstance = 2
)

// AdviceRequest asks the advice service which endpoints may run a step.
type AdviceRequest struct {
	Step      jobs.StepID
	Endpoints []model.EndpointID
	// Cost is the time that the advice service needs for the request.
	Cost time.Duration
	// rank is the rank of the step at the time of the request.
	rank rank
}

// Before reports whether the request is to be sent before the other one.
func (q AdviceRequest) Before(other AdviceRequest) bool { return q.rank.before(other.rank) }

// SetAdviceInstances sets the number of instances that can send advice requests.
func (p *Planner) SetAdviceInstances(n int) { p.adviceInstances = n }

// canRequestAdvice reports whether a request of the cost can be sent soon.
// Steps beyond that wait in the planner, where their order can still change.
func (p *Planner) canRequestAdvice(cost time.Duration) bool {
	if cost <= ShortAdviceRequest {
		return p.shortRequests < shortRequestsPerInstance*p.adviceInstances
	}
	return p.longRequests < max(p.adviceInstances-1, 1)
}

// canRequestAny reports whether a request about any number of endpoints can be sent
// soon.
func (p *Planner) canRequestAny(advice *catalog.Advice) bool {
	return p.canRequestAdvice(advice.Cost(1)) || p.canRequestAdvice(advice.Cost(maxAdviceEndpoints))
}

// countAdviceRequest adds n to the requests in flight of the cost's kind: 1
// for a new request, -1 for a response.
func (p *Planner) countAdviceRequest(cost time.Duration, n int) {
	if cost <= ShortAdviceRequest {
		p.shortRequests += n
	} else {
		p.longRequests += n
	}
}

// requestAdvice adds an advice request about the step to the plan, unless too
// many are in flight.
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
	use := p.useOf(s.job.Queue)
	use.AdviceRequests++
	use.AdviceTime += q.Advice.Cost(len(endpoints))
	p.plan.AdviceRequests = append(p.plan.AdviceRequests, AdviceRequest{
		Step: s.id, Endpoints: ids, Cost: q.Advice.Cost(len(ids)), rank: s.rank,
	})
}

// adviceCandidates selects the endpoints for a request, those with the most
// free capacity first. Capacity that preemption could free counts only if no
// endpoint has any free. It returns nil if no request can be sent soon.
func (p *Planner) adviceCandidates(s *step, queue *catalog.Queue) []*endpoint {
	if !p.canRequestAny(queue.Advice) {
		return nil
	}
	size := s.Committed()
	list, maxSlots := p.endpointsByCapacity(s, size, func(e *endpoint) model.Resources { return e.planned })
	if len(list) == 0 {
		return nil
	}
	if list[0].slots == 0 || p.waitsUnreserved(s) {
		list, maxSlots = p.endpointsByCapacity(s, size, func(e *endpoint) model.Resources { return p.capacityWithPreemption(e, queue.Priority) })
	}
	eligibleRatio := max(averageOf(p.eligibleRatio, s.job.Queue).valueOr(initialEligibleRatio), 0.05)
	needed := minAdviceEndpoints + endpointsFor(list, adviceCapacityFactor*float64(len(s.pending))/eligibleRatio, maxSlots)
	if perEndpoint := queue.Advice.PerEndpoint; perEndpoint > 0 {
		// Further endpoints cost little compared with the fixed time of the
		// request, so it names at least as many as take half that time.
		needed = max(needed, int(queue.Advice.BaseTime/perEndpoint/2))
	}
	chosen := make([]*endpoint, 0, needed)
	for _, option := range list[:min(needed, maxAdviceEndpoints, len(list))] {
		chosen = append(chosen, option.endpoint)
	}
	return chosen
}

// endpointsFor returns the number of the first endpoints in the list that have capacity
// for the number of tasks. Those without free capacity count as if they were empty: what
// runs there ends.
func endpointsFor(list []placementOption, tasks float64, maxSlots int) int {
	for i, option := range list {
		if tasks <= 0 {
			return i
		}
		if option.slots == 0 {
			option.slots = maxSlots
		}
		tasks -= float64(option.slots)
	}
	return len(list)
}

// endpointsByCapacity returns the endpoints that could run the step and have
// not been named in a request. Those with capacity for the most waiting tasks
// come first, the fastest of equal ones before the others. maxSlots is the
// number of tasks that fit on the largest of them.
func (p *Planner) endpointsByCapacity(s *step, size model.Resources, capacity func(*endpoint) model.Resources) (list []placementOption, maxSlots int) {
	if s.advice.exhaustedAs == p.endpointChanges {
		return nil, 1
	}
	maxSlots = 1
	exhausted := true
	for _, e := range p.sortedEndpoints() {
		if s.advice.requested[e.ID] {
			continue
		}
		exhausted = false
		if !p.canRun(s, e) || !fits(size, e.Capacity) {
			continue
		}
		maxSlots = max(maxSlots, slots(size, e.Capacity))
		n := min(slots(size, capacity(e)), len(s.pending))
		list = append(list, placementOption{endpoint: e, slots: n, score: p.slowdownScore(s, e)})
	}
	if exhausted {
		s.advice.exhaustedAs = p.endpointChanges
	}
	slices.SortStableFunc(list, func(a, b placementOption) int {
		return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.score, b.score))
	})
	return list, maxSlots
}

// widenAdvice requests advice about further endpoints when adviceWidenDelay
// has passed since the last request.
func (p *Planner) widenAdvice(s *step, queue *catalog.Queue) {
	if queue.Advice == nil || s.advice.outstanding || p.now.Sub(s.advice.requestedAt) < adviceWidenDelay {
		return
	}
	p.requestAdvice(s, queue, p.adviceCandidates(s, queue))
}

// widenAdviceToFree requests advice about further endpoints with free capacity, if there
// are any and the response arrives before the step has to start.
func (p *Planner) widenAdviceToFree(s *step, queue *catalog.Queue) {
	free := slices.DeleteFunc(p.adviceCandidates(s, queue), func(e *endpoint) bool { return !fits(s.Committed(), e.planned) })
	if len(free) == 0 || p.now.Add(queue.Advice.Cost(len(free))).After(s.rank.due) {
		return
	}
	p.requestAdvice(s, queue, free)
}

// averageOf returns the queue's average, creating it if there is none.
func averageOf(averages map[jobs.QueueName]*movingAverage, queue jobs.QueueName) *movingAverage {
	average := averages[queue]
	if average == nil {
		average = &movingAverage{}
		averages[queue] = average
	}
	return average
}

func (a *movingAverage) valueOr(fallback float64) float64 {
	if a.count == 0 {
		return fallback
	}
	return a.value
}

// splitByTicket separates the endpoints that the step may use now from those
// whose tickets have expired. No capacity is reserved on the latter, since it
// would be idle until the response arrives.
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

// renewAdvice requests new tickets for endpoints whose tickets have expired,
// those with the most free capacity first. Their number is limited so that
// they add no more than the fixed time of a request.
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
		limit = min(limit, max(int(queue.Advice.BaseTime/perEndpoint), 1))
	}
	p.requestAdvice(s, queue, list[:min(limit, len(list))])
}
