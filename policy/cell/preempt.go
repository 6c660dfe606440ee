package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// The limits of preemption.
const (
	// preemptWaitDivisor divides the maximum wait of a class: a job that has
	// waited for the resulting time may preempt work of later tiers.
	preemptWaitDivisor = 4
	// reclaimWaitDivisor divides the maximum wait of a class: a job that has
	// waited for the resulting time may reclaim its team's share from work that
	// restarts from the beginning.
	reclaimWaitDivisor = 2
	// reclaimCheckpointWait is the wait after which a job may reclaim its
	// team's share from work that can be checkpointed.
	reclaimCheckpointWait = 10 * time.Second
	// preemptPeriod is the minimum time between two preemptions.
	preemptPeriod = 20 * time.Millisecond
	// preemptRetryPeriod is the time until the next search after one that found
	// no endpoint.
	preemptRetryPeriod = 100 * time.Millisecond
	// maxPreemptNodes is the maximum number of endpoints searched per
	// preemption.
	maxPreemptNodes = 64
	// preemptReservation is how long the capacity of halted attempts stays
	// reserved for the preempting job.
	preemptReservation = 5 * time.Second
	// A team may reclaim its share while its ratio of usage to share is below
	// underShareRatio, from teams whose ratio is above overShareRatio.
	underShareRatio, overShareRatio = 0.95, 1.05
	// checkpointCost is the run time lost to a checkpoint.
	checkpointCost = time.Second
)

// preempt halts attempts in favour of one job that has waited long enough to
// preempt. It selects the endpoint on which the loss is least.
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

// preemptTask halts one attempt and records the lost run time.
func (c *Cell) preemptTask(t *work.Task) {
	t.Treatment, _ = preemptTreatment(t.Job)
	c.stats.Preempted++
	c.stats.Lost += c.lostTime(t)
	t.Fire(work.Preempt)
	t.Job.Reconcile()
}

// firstPreemptor returns the first blocked queue whose oldest job may preempt,
// or nil.
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
	minWait := min(j.Class.MaxWait/preemptWaitDivisor, reclaimCheckpointWait)
	if waited < minWait || j.Gang() || j.PreemptUntil.After(c.now) {
		return false
	}
	byTier := mayPreemptLaterTiers(q) && waited >= j.Class.MaxWait/preemptWaitDivisor
	byShare := q.Team.Account.Ratio() < underShareRatio && waited >= reclaimCheckpointWait
	return (byTier || byShare) && !c.Limited(j)
}

// mayPreemptLaterTiers reports whether the queue may preempt work of later
// tiers: its team does not use its whole share in the tier.
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

// findVictims fills c.victims with attempts on the endpoint whose halt makes
// capacity for the oldest job of the queue, least loss first, and returns the
// total loss. found is false when there are none or they do not suffice.
func (c *Cell) findVictims(q *work.Queue, n *work.Node) (loss float64, found bool) {
	c.victims = c.victims[:0]
	size, free := c.size(q.First), n.FreeCapacity()
	for !size.Fits(free) {
		t, lost := c.leastLossTask(q, n, size.Sub(free))
		if t == nil {
			return 0, false
		}
		c.victims = append(c.victims, t)
		free = free.Add(t.Size).Add(t.Excess)
		loss += lost
	}
	return loss, len(c.victims) > 0
}

// leastLossTask returns the attempt with the least loss that frees some of the
// missing resources and is not yet a victim. The loss is the lost run time in
// seconds, weighted by the attempt's dominant share of the endpoint's capacity.
func (c *Cell) leastLossTask(q *work.Queue, n *work.Node, missing model.Resources) (*work.Task, float64) {
	var best *work.Task
	minLoss := 0.0
	for _, t := range n.Tasks {
		if !freesMissing(t, missing) || !c.mayPreemptTask(q, t) || c.isVictim(t) {
			continue
		}
		lost := c.lostTime(t).Seconds() * t.Size.DominantShare(n.Info.Capacity)
		if best == nil || lost < minLoss {
			best, minLoss = t, lost
		}
	}
	return best, minLoss
}

// freesMissing reports whether the task has committed some of the missing
// resources.
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

// lostTime returns the run time lost by preempting the task.
func (c *Cell) lostTime(t *work.Task) time.Duration {
	ran := c.now.Sub(t.Started)
	if t.Job.Class.Shortage == model.Checkpoint {
		return min(ran, checkpointCost)
	}
	return ran
}
