package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/placement"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// lookahead is the number of jobs tried per queue, so that a job that does not
// fit does not block those behind it.
const lookahead = 4

// Decide appends to plan the decisions that follow from all events until now.
func (c *Cell) Decide(now time.Time, plan *policy.Plan) {
	c.now = now
	c.refresh()
	c.runTimers()
	c.runProbes()
	c.expireReservations()
	c.reserveForBlocked()
	c.round++
	if c.exhaustive {
		c.unblockAll()
	}
	starts := c.startJobs(plan)
	c.preempt()
	c.flush(plan)
	plan.Wake = c.nextWake(starts)
}

// runTimers handles the windows and backoffs that have ended.
func (c *Cell) runTimers() {
	for {
		j, t := c.timers.Pop(c.now)
		switch {
		case j != nil:
			j.Expire()
		case t != nil:
			t.Fire(work.BackoffDue)
			t.Job.Reconcile()
		default:
			return
		}
	}
}

// unblockFirst unblocks the first queue that the changed endpoints may allow to
// start a job, if that queue precedes the next one in the order. Changed
// endpoints are cleared when no queue remains that they could serve.
func (c *Cell) unblockFirst() {
	c.dropFullNodes()
	if len(c.changedNodes) == 0 {
		return
	}
	first := c.picker.Next()
	runnable := first != nil
	for _, q := range c.queueOrder {
		if !q.Blocked || q.TriedRound == c.round || first != nil && !q.Before(first) {
			continue
		}
		if c.mayStart(q) {
			first = q
		}
	}
	if first != nil {
		c.unblock(first)
		return
	}
	if !runnable {
		c.clearChangedNodes()
	}
}

// dropFullNodes removes the changed endpoints that have no capacity for any
// queued task.
func (c *Cell) dropFullNodes() {
	kept := c.changedNodes[:0]
	c.changedCapacity = c.changedCapacity[:0]
	for _, n := range c.changedNodes {
		available := n.AvailableCapacity()
		if c.minQueuedSize.Fits(available) {
			kept = append(kept, n)
			c.changedCapacity = append(c.changedCapacity, available)
		} else {
			n.Changed = false
		}
	}
	c.changedNodes = kept
}

// clearChangedNodes removes all changed endpoints.
func (c *Cell) clearChangedNodes() {
	for _, n := range c.changedNodes {
		n.Changed = false
	}
	c.changedNodes = c.changedNodes[:0]
}

// mayStart reports whether one of the first jobs of the queue, up to lookahead,
// may fit on the changed endpoints.
func (c *Cell) mayStart(q *work.Queue) bool {
	if !c.fitsChanged(&q.MinTriedSize) {
		return false
	}
	j := q.First
	for range lookahead {
		if j == nil {
			return false
		}
		if c.mayFit(j) {
			return true
		}
		j = j.Next
	}
	return false
}

// fitsChanged reports whether the size fits on one of the changed endpoints.
func (c *Cell) fitsChanged(size *model.Resources) bool {
	for i := range c.changedCapacity {
		if size.Fits(c.changedCapacity[i]) {
			return true
		}
	}
	return false
}

// mayFit reports whether the changed endpoints may allow the job to start. For
// a gang they must have capacity for all missing tasks. It reduces j.Missing by
// the tasks that fit.
func (c *Cell) mayFit(j *work.Job) bool {
	if j.Limited {
		return false
	}
	size := c.size(j)
	for i := range c.changedCapacity {
		fitting := placement.FitCount(size, c.changedCapacity[i])
		if fitting > 0 {
			j.Missing -= int(fitting)
		}
		if fitting > 0 && j.Missing <= 0 {
			return true
		}
	}
	return false
}

// unblock allows the queue to be tried again.
func (c *Cell) unblock(q *work.Queue) {
	if q.Blocked {
		q.Blocked = false
		c.updateQueue(q)
	}
}

func (c *Cell) unblockAll() {
	for _, q := range c.queueOrder {
		c.unblock(q)
	}
}

// unblockTeam unblocks the queues that the team's limit has blocked.
func (c *Cell) unblockTeam(team *work.Team) {
	for _, q := range team.Queues {
		if q.OverLimit {
			c.unblock(q)
		}
	}
}

// startJobs starts jobs in the order of the queues and returns the number of
// attempts started.
func (c *Cell) startJobs(plan *policy.Plan) int {
	before := len(plan.Starts)
	for len(plan.Starts)-before < c.settings.StartsPerPlan {
		c.unblockFirst()
		q := c.picker.Next()
		if q == nil {
			break
		}
		if !c.startFrom(q, plan) {
			q.Blocked, q.TriedRound = true, c.round
			c.picker.Update(q)
		}
	}
	return len(plan.Starts) - before
}

// startFrom starts the first job of the queue, among those within lookahead,
// that can start.
func (c *Cell) startFrom(q *work.Queue, plan *policy.Plan) bool {
	q.OverLimit = false
	q.MinTriedSize = unboundedSize
	j := q.First
	for range lookahead {
		if j == nil {
			return false
		}
		if c.start(j, plan) {
			return true
		}
		q.MinTriedSize = minResources(q.MinTriedSize, c.size(j))
		j = j.Next
	}
	return false
}

// minResources returns the minimum of a and b for each resource.
func minResources(a, b model.Resources) model.Resources {
	for r := range a {
		a[r] = min(a[r], b[r])
	}
	return a
}

// flush moves the halts and endings requested since the last plan into plan.
func (c *Cell) flush(plan *policy.Plan) {
	plan.Halts = append(plan.Halts, c.halts...)
	plan.Endings = append(plan.Endings, c.endings...)
	c.halts, c.endings = c.halts[:0], c.endings[:0]
}

// nextWake returns the time of the next call of Decide if no event arrives
// before.
func (c *Cell) nextWake(starts int) time.Time {
	if starts >= c.settings.StartsPerPlan {
		return c.now
	}
	wake, _ := c.timers.Next()
	if c.hasWaitingJobs() {
		wake = earliest(wake, c.now.Add(refreshPeriod))
	}
	return c.nextProbe(wake)
}

// hasWaitingJobs reports whether any queue contains a job.
func (c *Cell) hasWaitingJobs() bool {
	for _, q := range c.queueOrder {
		if q.Len > 0 {
			return true
		}
	}
	return false
}

// earliest returns the earlier time; a zero first argument means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
