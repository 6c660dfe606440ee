package planner

import (
	"math"
	"time"
)

const (
	// paceWindow is the number of tasks over which an endpoint's pace is
	// averaged, paceTypical the number over which a queue's is.
	paceWindow  = 12
	paceTypical = 200
	// paceMemory is the time in which what is known of an endpoint's pace loses
	// two thirds of its weight: one that was slow is tried again.
	paceMemory = 8 * time.Second
	// paceMax bounds a task's part in an endpoint's pace: estimates are rough.
	paceMax = 8.0
)

// pace is how much longer than usual tasks take on an endpoint.
type pace struct {
	ratio
	at time.Time
}

// notePace takes the end of a run that succeeded. Members of a gang wait for
// each other, so that they say nothing of their endpoint.
func (p *Planner) notePace(r *run) {
	s := r.task.step
	if r.state != runRunning || s.Gang || s.Lasting || s.Estimate <= 0 {
		return
	}
	took := float64(p.now.Sub(r.since)) / float64(s.Estimate)
	typical := ratioOf(p.typical, s.job.Queue)
	if usual := typical.or(0); usual > 0 {
		r.at.pace.add(min(took/usual, paceMax), paceWindow)
		r.at.pace.at = p.now
	}
	typical.add(took, paceTypical)
}

// slowness returns how much longer than usual tasks are expected to take on the
// endpoint: 1 if nothing is known.
func (e *endpoint) slowness(now time.Time) float64 {
	if e.pace.count == 0 {
		return 1
	}
	weight := math.Exp(-float64(now.Sub(e.pace.at)) / float64(paceMemory))
	return 1 + (e.pace.value-1)*weight
}
