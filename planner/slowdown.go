package planner

import (
	"math"
	"time"
)

const (
	// endpointRunTimeWindow is the number of tasks over which an endpoint's
	// relative run time is averaged, queueRunTimeWindow the number for a
	// queue's typical run time.
	endpointRunTimeWindow = 12
	queueRunTimeWindow    = 200
	// slowdownDecayTime is the time in which an endpoint's measured slowdown
	// loses about two thirds of its weight, so that an endpoint that was slow
	// is used again.
	slowdownDecayTime = 8 * time.Second
	// maxRunTimeRatio limits the effect of one task on an endpoint's average,
	// since estimates are rough.
	maxRunTimeRatio = 8.0
)

// runTimeRatio is the average run time of tasks on an endpoint, relative to
// what is typical for their queues.
type runTimeRatio struct {
	movingAverage
	updatedAt time.Time
}

// recordRunTime records the run time of a run that succeeded. Members of a
// gang are skipped: they wait for each other, so that a member's run time
// does not depend on its endpoint alone.
func (p *Planner) recordRunTime(r *run) {
	s := r.task.step
	if r.state != runRunning && r.state != runYielding || s.Gang || s.Lasting || s.Estimate <= 0 {
		return
	}
	if p.policy.Relocation {
		p.recordEndedRunTime(r)
		return
	}
	ratio := float64(p.now.Sub(r.startedAt)) / float64(s.Estimate)
	typical := averageOf(p.typicalRunTime, s.job.Queue)
	if typicalRatio := typical.valueOr(0); typicalRatio > 0 {
		r.endpoint.runTimeRatio.add(min(ratio/typicalRatio, maxRunTimeRatio), endpointRunTimeWindow)
		r.endpoint.runTimeRatio.updatedAt = p.now
	}
	typical.add(ratio, queueRunTimeWindow)
}

// slowdown returns the expected run time of tasks on the endpoint relative to
// the typical one: 1 if no task has been measured.
func (e *endpoint) slowdown(now time.Time) float64 {
	if e.runSlowdown.weight > 0 {
		return e.progressSlowdown(now)
	}
	if e.runTimeRatio.count == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(e.runTimeRatio.updatedAt)) / float64(slowdownDecayTime))
	return 1 + (e.runTimeRatio.value-1)*weight
}
