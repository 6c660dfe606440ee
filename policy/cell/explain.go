package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// Explain describes why a request waits; ok is false when it does not wait.
func (c *Cell) Explain(now time.Time, id model.RequestID) (explanation policy.Explanation, ok bool) {
	c.now = now
	j := c.jobs[id]
	if j == nil || j.Answered() || j.Queued+j.Backoff == 0 {
		return policy.Explanation{}, false
	}
	explanation.Reason = c.reason(j)
	if !j.InQueue {
		return explanation, true
	}
	ahead := jobsAhead(j)
	if wait, known := j.Queue.StartRate.Wait(now, j.Queue.First.Request.Accepted, ahead+1); known {
		explanation.Start = now.Add(wait)
	}
	explanation.Position = ahead + c.jobsBefore(j.Queue)
	return explanation, true
}

// jobsAhead returns the number of jobs ahead of j in its queue.
func jobsAhead(j *work.Job) int {
	ahead := 0
	for at := j.Prev; at != nil; at = at.Prev {
		ahead++
	}
	return ahead
}

// jobsBefore returns the number of jobs in the queues that precede q.
func (c *Cell) jobsBefore(q *work.Queue) int {
	before := 0
	for _, other := range c.queueOrder {
		if other != q && other.Before(q) {
			before += other.Len
		}
	}
	return before
}

func (c *Cell) reason(j *work.Job) string {
	switch {
	case j.Backoff > 0:
		return "It waits for its next attempt after a failure."
	case !j.InQueue:
		return "It waits for its running attempts to be stopped."
	case c.Limited(j):
		return "The team is at its limit."
	case j.Reservations > 0:
		return "Endpoints are reserved for it until enough room is free."
	case j.Queue.Key.Tier != j.Queue.Tier:
		return "The team uses its whole share of this kind of work; others go first."
	case j.Queue.Blocked:
		return "No endpoint has enough room."
	}
	return "Other requests stand before it."
}
