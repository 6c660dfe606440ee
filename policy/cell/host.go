package cell

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/retry"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

var _ work.Host = (*Cell)(nil)

// Commit counts the task's size against its endpoint and team.
func (c *Cell) Commit(t *work.Task) {
	j := t.Job
	t.Node.Attach(t)
	j.Team.Running = j.Team.Running.Add(t.Size)
	j.Team.RunningByTier[j.Queue.Tier] = j.Team.RunningByTier[j.Queue.Tier].Add(t.Size)
	c.placer.Update(t.Node)
}

// Release undoes Commit.
func (c *Cell) Release(t *work.Task) {
	j, n := t.Job, t.Node
	if n.Probe == t {
		n.Probe = nil
	}
	n.Detach(t)
	j.Team.Running = j.Team.Running.Sub(t.Size)
	j.Team.RunningByTier[j.Queue.Tier] = j.Team.RunningByTier[j.Queue.Tier].Sub(t.Size)
	c.markChanged(n)
	c.updateUsage(j.Team)
	c.unblockTeam(j.Team)
}

// Halt adds the task's attempt to the halts of the next plan.
func (c *Cell) Halt(t *work.Task) {
	c.halts = append(c.halts, policy.Halt{
		Attempt:   t.Attempt(),
		Endpoint:  t.Node.Info.ID,
		Treatment: t.Treatment,
	})
}

// SetBackoff sets the end of the task's backoff after a failure. The backoff is
// at most half of the remaining window, so that it ends before the window does.
func (c *Cell) SetBackoff(t *work.Task) {
	wait := retry.Backoff(t.Attempt(), t.Failures, c.settings.BackoffBase, c.settings.BackoffMax)
	left := t.Job.Request.Deadline.Sub(c.now)
	t.BackoffEnds = c.now.Add(max(0, min(wait, left/2)))
	c.timers.Set(&t.Timer, t.BackoffEnds)
}

// MayRetry reports whether the failed task may be retried: it is repeatable,
// has attempts and window left, and some endpoint has not yet failed it.
func (c *Cell) MayRetry(t *work.Task) bool {
	j := t.Job
	if !j.Repeatable() || t.Failures >= c.settings.Attempts {
		return false
	}
	if !j.Request.Deadline.After(c.now) && !j.Service() {
		return false
	}
	for _, n := range c.nodeOrder {
		if !t.Avoids(n.Info.ID) {
			return true
		}
	}
	return false
}

// Enqueue inserts a job that has tasks to start into its queue and unblocks the
// queue.
func (c *Cell) Enqueue(j *work.Job) {
	q := j.Queue
	j.Missing, j.Limited, j.SizeVersion = 0, false, 0
	c.minQueuedSize = minResources(c.minQueuedSize, q.SizeLowerBound(j.Request.Spec.Size))
	q.Insert(j, j.Ran || j.Ambiguous || j.Live > 0)
	q.Blocked = false
	c.updateQueue(q)
}

// Dequeue removes a job from its queue and cancels its reservations.
func (c *Cell) Dequeue(j *work.Job) {
	q := j.Queue
	q.Remove(j)
	q.Blocked = false
	c.unreserveJob(j)
	c.updateQueue(q)
}

// Answer adds the job's result to the endings of the next plan.
func (c *Cell) Answer(j *work.Job) {
	c.endings = append(c.endings, policy.Ending{
		Request: j.Request.ID,
		Code:    j.Code,
		Reason:  j.Reason,
	})
}

// The limits on the memory kept for new jobs.
const (
	// maxPooledJobs is the maximum number of removed jobs kept for reuse.
	maxPooledJobs = 4096
	// maxPooledTasks is the maximum task capacity of a job kept for reuse.
	maxPooledTasks = 64
)

// RemoveJob removes a job that has no live attempts.
func (c *Cell) RemoveJob(j *work.Job) {
	if j.InQueue {
		c.Dequeue(j)
	}
	c.timers.Stop(&j.Timer)
	for i := range j.Tasks {
		c.timers.Stop(&j.Tasks[i].Timer)
	}
	j.Queue.OpenJobs--
	delete(c.jobs, j.Request.ID)
	if len(c.jobPool) < maxPooledJobs && cap(j.Tasks) <= maxPooledTasks {
		c.jobPool = append(c.jobPool, j)
	}
}

// preemptTreatment returns how the class allows a running attempt to be
// preempted; ok is false when it does not.
func preemptTreatment(j *work.Job) (treatment model.Treatment, ok bool) {
	if !j.Repeatable() {
		return "", false
	}
	treatment = j.Class.Shortage
	return treatment, treatment == model.Checkpoint || treatment == model.Rerun
}
