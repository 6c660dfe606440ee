package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// outgrownReports is the number of reports in a row with usage above the
// committed size after which an attempt is treated.
const outgrownReports = 2

// Report takes the usage that an endpoint last sampled. Attempts placed since
// then count with their committed size; reported attempts that the scheduler
// has not placed count as foreign.
func (c *Cell) Report(now time.Time, id model.EndpointID, running []model.Running) {
	c.now = now
	n := c.nodes[id]
	if n == nil {
		return
	}
	before, wasFull := n.Free(), n.Full
	n.Full = false
	n.Foreign = model.Resources{}
	for i := range running {
		c.reportOne(n, &running[i])
	}
	if after := n.Free(); wasFull || !after.Fits(before) {
		c.gained(n)
	} else if after != before {
		c.placer.Update(n)
	}
	c.treatOutgrown(n)
}

func (c *Cell) reportOne(n *work.Node, r *model.Running) {
	t := c.live(r.Attempt)
	if t == nil || t.Node != n {
		n.Foreign = n.Foreign.Add(r.Size.Max(r.Usage))
		return
	}
	excess := r.Usage.Sub(t.Size).Max(model.Resources{})
	n.Excess = n.Excess.Sub(t.Excess).Add(excess)
	t.Excess = excess
	t.Floor = t.Floor.Max(r.Usage)
	if excess.IsZero() {
		t.Outgrown = 0
		return
	}
	t.Outgrown++
}

// treatOutgrown treats the attempts that use more than they have committed
// while the endpoint is used beyond its capacity.
func (c *Cell) treatOutgrown(n *work.Node) {
	for {
		t := worstOutgrown(n)
		if t == nil {
			return
		}
		if _, may := treatmentOf(t.Job); may {
			c.halt(t)
			continue
		}
		t.Throttled, t.Treatment = true, model.Throttle
		c.stats.Throttled++
		c.Halt(t)
	}
}

// worstOutgrown returns the attempt to be treated next: the one with the most
// usage above its size in a resource that the endpoint has too little of.
func worstOutgrown(n *work.Node) *work.Task {
	free := n.Free()
	var worst *work.Task
	most := 0.0
	for _, t := range n.Tasks {
		if t.Outgrown < outgrownReports || t.Throttled || !t.Placed() {
			continue
		}
		if over := excessShare(t, free, n.Info.Capacity); over > most {
			worst, most = t, over
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
