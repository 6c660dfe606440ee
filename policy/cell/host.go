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
	j.Team.InTier[j.Queue.Tier] = j.Team.InTier[j.Queue.Tier].Add(t.Size)
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
	j.Team.InTier[j.Queue.Tier] = j.Team.InTier[j.Queue.Tier].Sub(t.Size)
	c.gained(n)
	c.used(j.Team)
	c.unblockTeam(j.Team)
}

// Halt asks for the task's attempt to be treated as t.Treatment says.
func (c *Cell) Halt(t *work.Task) {
	c.halts = append(c.halts, policy.Halt{
		Attempt:   t.Attempt(),
		Endpoint:  t.Node.Info.ID,
		Treatment: t.Treatment,
	})
}

// Delay sets the task's backoff after a failure. It ends before the window
// does when the window leaves any time.
func (c *Cell) Delay(t *work.Task) {
	wait := retry.Backoff(t.Attempt(), t.Failures, c.settings.BackoffBase, c.settings.BackoffMax)
	left := t.Job.Request.Deadline.Sub(c.now)
	t.Due = c.now.Add(max(0, min(wait, left/2)))
	c.timers.Set(&t.Timer, t.Due)
}

// MayRetry reports whether the failed task may be tried again: its work is
// repeatable, its budget and window are not used up, and some endpoint has
// not failed it.
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

// Enter puts a job with tasks to start into its queue.
func (c *Cell) Enter(j *work.Job) {
	q := j.Queue
	j.Missing, j.Limited, j.Sized = 0, false, 0
	c.smallest = least(c.smallest, q.Lowered(j.Request.Spec.Size))
	q.Insert(j, j.Ran || j.Unsure || j.Live > 0)
	q.Blocked = false
	c.updateQueue(q)
}

// Leave takes a job out of its queue.
func (c *Cell) Leave(j *work.Job) {
	q := j.Queue
	q.Remove(j)
	q.Blocked = false
	c.unreserveJob(j)
	c.updateQueue(q)
}

// Answer reports the job's verdict.
func (c *Cell) Answer(j *work.Job) {
	c.endings = append(c.endings, policy.Ending{
		Request: j.Request.ID,
		Code:    j.Verdict,
		Reason:  j.Reason,
	})
}

// The bounds of the memory that is kept for new jobs.
const (
	// maxPool is the most forgotten jobs that are kept.
	maxPool = 4096
	// maxPooledTasks is the most tasks that a kept job has room for.
	maxPooledTasks = 64
)

// Forget drops the job: nothing of it is live.
func (c *Cell) Forget(j *work.Job) {
	if j.InQueue {
		c.Leave(j)
	}
	c.timers.Stop(&j.Timer)
	for i := range j.Tasks {
		c.timers.Stop(&j.Tasks[i].Timer)
	}
	j.Queue.Open--
	delete(c.jobs, j.Request.ID)
	if len(c.pool) < maxPool && cap(j.Tasks) <= maxPooledTasks {
		c.pool = append(c.pool, j)
	}
}

// treatmentOf is how the class lets a running attempt be moved out of the way;
// ok is false when it does not.
func treatmentOf(j *work.Job) (treatment model.Treatment, ok bool) {
	if !j.Repeatable() {
		return "", false
	}
	treatment = j.Class.Shortage
	return treatment, treatment == model.Checkpoint || treatment == model.Rerun
}
