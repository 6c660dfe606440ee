package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// The bounds of preemption.
const (
	// preemptWaitDivisor divides the longest wait of a class that is served before
	// others: a job that has waited for this part of it may preempt.
	preemptWaitDivisor = 4
	// reclaimWaitDivisor is the same for a team that takes back its share.
	reclaimWaitDivisor = 2
	// reclaimCheckpointWait is the wait after which a team takes back its share
	// from work that is only checkpointed.
	reclaimCheckpointWait = 10 * time.Second
	// preemptPeriod is the least time between two preemptions.
	preemptPeriod = 20 * time.Millisecond
	// preemptRetryPeriod is the time until endpoints are looked at again after none
	// was found.
	preemptRetryPeriod = 100 * time.Millisecond
	// maxPreemptNodes is the most endpoints that are looked at for one job.
	maxPreemptNodes = 64
	// preemptReservation is how long the room of halted attempts is kept.
	preemptReservation = 5 * time.Second
	// underShareRatio and overShareRatio bound the use by the share of the team that
	// takes back and of the team that gives back.
	underShareRatio, overShareRatio = 0.95, 1.05
	// checkpointCost is the run time that a checkpoint costs.
	checkpointCost = time.Second
)

// preempt halts attempts in favour of one job that has waited for long and
// may: those of one endpoint that lose least.
func (c *Cell) preempt() {
	if c.now.Before(c.nextPreemption) {
		return
	}
	c.nextPreemption = c.now.Add(preemptPeriod)
	q := c.firstPreemptor()
	if q == nil {
		return
	}
	c.bestVictims = c.bestVictims[:0]
	best, bestNode := 0.0, (*work.Node)(nil)
	for range min(maxPreemptNodes, len(c.nodeOrder)) {
		c.preemptCursor = (c.preemptCursor + 1) % len(c.nodeOrder)
		n := c.nodeOrder[c.preemptCursor]
		if !n.Open() || n.ReservedFor != nil && n.ReservedFor != q.First || q.First.Head().Avoids(n.Info.ID) {
			continue
		}
		loss, found := c.findVictims(q, n)
		if found && (bestNode == nil || loss < best) {
			best, bestNode = loss, n
			c.bestVictims = append(c.bestVictims[:0], c.victims...)
		}
	}
	if bestNode == nil {
		c.nextPreemption = c.now.Add(preemptRetryPeriod)
		return
	}
	q.First.PreemptUntil = c.now.Add(preemptReservation)
	c.reserveNode(bestNode, q.First, c.now, q.First.PreemptUntil)
	for _, t := range c.bestVictims {
		c.preemptTask(t)
	}
}

// preemptTask preempts one attempt and counts what is lost.
func (c *Cell) preemptTask(t *work.Task) {
	t.Treatment, _ = preemptTreatment(t.Job)
	c.stats.Preempted++
	c.stats.Lost += c.lostTime(t)
	t.Fire(work.Preempt)
	t.Job.Reconcile()
}

// firstPreemptor returns the first blocked queue whose oldest job may preempt.
func (c *Cell) firstPreemptor() *work.Queue {
	var first *work.Queue
	for _, q := range c.queueOrder {
		if q.Blocked && q.Len > 0 && c.mayPreempt(q) && (first == nil || q.Before(first)) {
			first = q
		}
	}
	return first
}

func (c *Cell) mayPreempt(q *work.Queue) bool {
	j := q.First
	waited := c.now.Sub(j.Request.Accepted)
	least := min(j.Class.MaxWait/preemptWaitDivisor, reclaimCheckpointWait)
	if waited < least || j.Gang() || j.PreemptUntil.After(c.now) {
		return false
	}
	outranks := mayPreemptLaterTiers(q) && waited >= j.Class.MaxWait/preemptWaitDivisor
	reclaims := q.Team.Account.Ratio() < underShareRatio && waited >= reclaimCheckpointWait
	return (outranks || reclaims) && !c.Limited(j)
}

// mayPreemptLaterTiers reports whether the queue may preempt work of later tiers: its
// team does not use its whole share in the tier.
func mayPreemptLaterTiers(q *work.Queue) bool {
	return q.Tier < work.Tiers-1 && q.Key.Tier == q.Tier
}

// mayPreemptTask reports whether the queue may preempt the task.
func (c *Cell) mayPreemptTask(q *work.Queue, t *work.Task) bool {
	treatment, may := preemptTreatment(t.Job)
	if !may || !t.Placed() || t.Job.Queue.Tier < q.Tier {
		return false
	}
	waited, maxWait := c.now.Sub(q.First.Request.Accepted), q.First.Class.MaxWait
	if mayPreemptLaterTiers(q) && t.Job.Queue.Tier > q.Tier && waited >= maxWait/preemptWaitDivisor {
		return true
	}
	if treatment != model.Checkpoint && waited < maxWait/reclaimWaitDivisor {
		return false
	}
	return q.Team.Account.Ratio() < underShareRatio && t.Job.Team.Account.Ratio() > overShareRatio
}

// findVictims fills c.victims with attempts of the endpoint that make room for
// the oldest job of the queue, the least loss first, and returns the loss.
func (c *Cell) findVictims(q *work.Queue, n *work.Node) (loss float64, found bool) {
	c.victims = c.victims[:0]
	size, room := c.size(q.First), n.FreeCapacity()
	for !size.Fits(room) {
		t, lost := c.leastLossTask(q, n, size.Sub(room))
		if t == nil {
			return 0, false
		}
		c.victims = append(c.victims, t)
		room = room.Add(t.Size).Add(t.Excess)
		loss += lost
	}
	return loss, len(c.victims) > 0
}

// leastLossTask returns the attempt with the least loss that gives some of what is
// missing and is not chosen yet.
func (c *Cell) leastLossTask(q *work.Queue, n *work.Node, missing model.Resources) (*work.Task, float64) {
	var best *work.Task
	least := 0.0
	for _, t := range n.Tasks {
		if !freesMissing(t, missing) || !c.mayPreemptTask(q, t) || c.isVictim(t) {
			continue
		}
		lost := c.lostTime(t).Seconds() * t.Size.DominantShare(n.Info.Capacity)
		if best == nil || lost < least {
			best, least = t, lost
		}
	}
	return best, least
}

// freesMissing reports whether the task has committed some of what is missing.
func freesMissing(t *work.Task, missing model.Resources) bool {
	for r := range missing {
		if missing[r] > 0 && t.Size[r] > 0 {
			return true
		}
	}
	return false
}

func (c *Cell) isVictim(t *work.Task) bool {
	for _, chosen := range c.victims {
		if chosen == t {
			return true
		}
	}
	return false
}

// lostTime is the run time that preempting the task throws away.
func (c *Cell) lostTime(t *work.Task) time.Duration {
	ran := c.now.Sub(t.Started)
	if t.Job.Class.Shortage == model.Checkpoint {
		return min(ran, checkpointCost)
	}
	return ran
}
