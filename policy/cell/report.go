package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// minOversizeReports is the number of consecutive reports with usage above the
// committed size after which an attempt may be preempted or throttled.
const minOversizeReports = 2

// ReportUsage records the usage that an endpoint last sampled. Attempts placed since
// then count with their committed size; reported attempts that the scheduler
// has not placed count as foreign.
func (c *Cell) ReportUsage(now time.Time, id model.EndpointID, running []model.Running) {
	c.now = now
	n := c.nodes[id]
	if n == nil {
		return
	}
	before, wasFull := n.FreeCapacity(), n.Full
	n.Full = false
	n.Foreign = model.Resources{}
	for i := range running {
		c.applyUsage(n, &running[i])
	}
	if after := n.FreeCapacity(); wasFull || !after.Fits(before) {
		c.markChanged(n)
	} else if after != before {
		c.placer.Update(n)
	}
	c.treatOversized(n)
}

func (c *Cell) applyUsage(n *work.Node, r *model.Running) {
	t := c.liveTask(r.Attempt)
	if t == nil || t.Node != n {
		n.Foreign = n.Foreign.Add(r.Size.Max(r.Usage))
		return
	}
	excess := r.Usage.Sub(t.Size).Max(model.Resources{})
	n.Excess = n.Excess.Sub(t.Excess).Add(excess)
	t.Excess = excess
	t.PeakUsage = t.PeakUsage.Max(r.Usage)
	if excess.IsZero() {
		t.OversizeReports = 0
		return
	}
	t.OversizeReports++
}

// treatOversized preempts or throttles attempts that use more than they have
// committed, until the endpoint's usage fits its capacity or no such attempt is
// left.
func (c *Cell) treatOversized(n *work.Node) {
	for {
		t := worstOversized(n)
		if t == nil {
			return
		}
		if _, may := preemptTreatment(t.Job); may {
			c.preemptTask(t)
			continue
		}
		t.Throttled, t.Treatment = true, model.Throttle
		c.stats.Throttled++
		c.Halt(t)
	}
}

// worstOversized returns the attempt to preempt or throttle next: the one with
// the largest excess in a resource that the endpoint has run out of.
func worstOversized(n *work.Node) *work.Task {
	free := n.FreeCapacity()
	var worst *work.Task
	maxShare := 0.0
	for _, t := range n.Tasks {
		if t.OversizeReports < minOversizeReports || t.Throttled || !t.Placed() {
			continue
		}
		if share := excessShare(t, free, n.Info.Capacity); share > maxShare {
			worst, maxShare = t, share
		}
	}
	return worst
}

func excessShare(t *work.Task, free, capacity model.Resources) float64 {
	share := 0.0
	for r := range free {
		if free[r] < 0 && capacity[r] > 0 {
			share = max(share, float64(t.Excess[r])/float64(capacity[r]))
		}
	}
	return share
}
