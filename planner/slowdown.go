package planner

import (
	"math"
	"time"
)

const (
	// paceWindow is the number of tasks over which an endpoint's pace is
	// averaged, paceTypical the number over which a queue's is.
	endpointRunTimeWindow = 12
	queueRunTimeWindow    = 200
	// paceMemory is the time in which what is known of an endpoint's pace loses
	// two thirds of its weight: one that was slow is tried again.
	slowdownDecayTime = 8 * time.Second
	// paceMax bounds a task's part in an endpoint's pace: estimates are rough.
	maxRunTimeRatio = 8.0
)

// pace is how much longer than usual tasks take on an endpoint.
type runTimeRatio struct {
	movingAverage
	updatedAt time.Time
}

// notePace takes the end of a run that succeeded. Members of a gang wait for
// each other, so that they say nothing of their endpoint.
func (p *Planner) recordRunTime(r *run) {
	s := r.task.step
	if r.state != runRunning || s.Gang || s.Lasting || s.Estimate <= 0 {
		return
	}
	ratio := float64(p.now.Sub(r.enteredAt)) / float64(s.Estimate)
	typical := averageOf(p.typicalRunTime, s.job.Queue)
	if typicalRatio := typical.valueOr(0); typicalRatio > 0 {
		r.endpoint.runTimeRatio.add(min(ratio/typicalRatio, maxRunTimeRatio), endpointRunTimeWindow)
		r.endpoint.runTimeRatio.updatedAt = p.now
	}
	typical.add(ratio, queueRunTimeWindow)
}

// slowness returns how much longer than usual tasks are expected to take on the
// endpoint: 1 if nothing is known.
func (e *endpoint) slowdown(now time.Time) float64 {
	if e.runTimeRatio.count == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(e.runTimeRatio.updatedAt)) / float64(slowdownDecayTime))
	return 1 + (e.runTimeRatio.value-1)*weight
}
