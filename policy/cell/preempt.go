package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// The bounds of preemption.
const (
	// preemptAfter divides the longest wait of a class that is served before
	// others: a job that has waited for this part of it may preempt.
	preemptAfter = 4
	// reclaimAfter is the same for a team that takes back its share.
	reclaimAfter = 2
	// reclaimCheckpoint is the wait after which a team takes back its share
	// from work that is only checkpointed.
	reclaimCheckpoint = 10 * time.Second
	// preemptPeriod is the least time between two preemptions.
	preemptPeriod = 20 * time.Millisecond
	// preemptRetry is the time until endpoints are looked at again after none
	// was found.
	preemptRetry = 100 * time.Millisecond
	// preemptNodes is the most endpoints that are looked at for one job.
	preemptNodes = 64
	// preemptHold is how long the room of halted attempts is kept.
	preemptHold = 5 * time.Second
	// underShare and overShare bound the use by the share of the team that
	// takes back and of the team that gives back.
	underShare, overShare = 0.95, 1.05
	// checkpointLoss is the run time that a checkpoint costs.
	checkpointLoss = time.Second
)

// preempt halts attempts in favour of one job that has waited for long and
// may: those of one endpoint that lose least.
func (c *Cell) preempt() {
	if c.now.Before(c.preemptNext) {
		return
	}
	c.preemptNext = c.now.Add(preemptPeriod)
	q := c.firstEntitled()
	if q == nil {
		return
	}
	c.found = c.found[:0]
	best, bestNode := 0.0, (*work.Node)(nil)
	for range min(preemptNodes, len(c.nodeOrder)) {
		c.cursor = (c.cursor + 1) % len(c.nodeOrder)
		n := c.nodeOrder[c.cursor]
		if !n.Open() || n.Reserved != nil && n.Reserved != q.First || q.First.Head().Avoids(n.Info.ID) {
			continue
		}
		loss, found := c.findVictims(q, n)
		if found && (bestNode == nil || loss < best) {
			best, bestNode = loss, n
			c.found = append(c.found[:0], c.victims...)
		}
	}
	if bestNode == nil {
		c.preemptNext = c.now.Add(preemptRetry)
		return
	}
	q.First.PreemptUntil = c.now.Add(preemptHold)
	c.reserveNode(bestNode, q.First, c.now, q.First.PreemptUntil)
	for _, t := range c.found {
		c.halt(t)
	}
}

// halt preempts one attempt and counts what is lost.
func (c *Cell) halt(t *work.Task) {
	t.Treatment, _ = treatmentOf(t.Job)
	c.stats.Preempted++
	c.stats.Lost += c.lostTime(t)
	t.Fire(work.Preempt)
	t.Job.Review()
}

// firstEntitled returns the first blocked queue whose oldest job may preempt.
func (c *Cell) firstEntitled() *work.Queue {
	var first *work.Queue
	for _, q := range c.queueOrder {
		if q.Blocked && q.Len > 0 && c.entitled(q) && (first == nil || q.Before(first)) {
			first = q
		}
	}
	return first
}

func (c *Cell) entitled(q *work.Queue) bool {
	j := q.First
	waited := c.now.Sub(j.Request.Accepted)
	least := min(j.Class.MaxWait/preemptAfter, reclaimCheckpoint)
	if waited < least || j.Gang() || j.PreemptUntil.After(c.now) {
		return false
	}
	outranks := mayOutrank(q) && waited >= j.Class.MaxWait/preemptAfter
	reclaims := q.Team.Account.Ratio() < underShare && waited >= reclaimCheckpoint
	return (outranks || reclaims) && !c.Limited(j)
}

// mayOutrank reports whether the queue may preempt work of later tiers: its
// team does not use its whole share in the tier.
func mayOutrank(q *work.Queue) bool {
	return q.Tier < work.Tiers-1 && q.Key.Tier == q.Tier
}

// mayTake reports whether the queue may preempt the task.
func (c *Cell) mayTake(q *work.Queue, t *work.Task) bool {
	treatment, may := treatmentOf(t.Job)
	if !may || !t.Placed() || t.Job.Queue.Tier < q.Tier {
		return false
	}
	waited, maxWait := c.now.Sub(q.First.Request.Accepted), q.First.Class.MaxWait
	if mayOutrank(q) && t.Job.Queue.Tier > q.Tier && waited >= maxWait/preemptAfter {
		return true
	}
	if treatment != model.Checkpoint && waited < maxWait/reclaimAfter {
		return false
	}
	return q.Team.Account.Ratio() < underShare && t.Job.Team.Account.Ratio() > overShare
}

// findVictims fills c.victims with attempts of the endpoint that make room for
// the oldest job of the queue, the least loss first, and returns the loss.
func (c *Cell) findVictims(q *work.Queue, n *work.Node) (loss float64, found bool) {
	c.victims = c.victims[:0]
	size, room := c.size(q.First), n.Free()
	for !size.Fits(room) {
		t, lost := c.cheapest(q, n, size.Sub(room))
		if t == nil {
			return 0, false
		}
		c.victims = append(c.victims, t)
		room = room.Add(t.Size).Add(t.Excess)
		loss += lost
	}
	return loss, len(c.victims) > 0
}

// cheapest returns the attempt with the least loss that gives some of what is
// missing and is not chosen yet.
func (c *Cell) cheapest(q *work.Queue, n *work.Node, missing model.Resources) (*work.Task, float64) {
	var best *work.Task
	least := 0.0
	for _, t := range n.Tasks {
		if !gives(t, missing) || !c.mayTake(q, t) || c.chosenVictim(t) {
			continue
		}
		lost := c.lostTime(t).Seconds() * t.Size.DominantShare(n.Info.Capacity)
		if best == nil || lost < least {
			best, least = t, lost
		}
	}
	return best, least
}

// gives reports whether the task has committed some of what is missing.
func gives(t *work.Task, missing model.Resources) bool {
	for r := range missing {
		if missing[r] > 0 && t.Size[r] > 0 {
			return true
		}
	}
	return false
}

func (c *Cell) chosenVictim(t *work.Task) bool {
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
		return min(ran, checkpointLoss)
	}
	return ran
}
