package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// SetFleet sets the endpoints of the whole fleet.
func (c *Cell) SetFleet(endpoints []model.EndpointInfo) { c.fleet.Set(endpoints) }

// SetEndpoint adds an endpoint or updates it.
func (c *Cell) SetEndpoint(now time.Time, info model.EndpointInfo) {
	c.now = now
	n := c.nodes[info.ID]
	added := n == nil
	if !added && n.Info == info {
		return
	}
	if added {
		n = work.NewNode(info, c.rack(info), c.settings.ProbeAfter)
		n.Reachable = true
		c.nodes[info.ID] = n
		c.nodeOrder = append(c.nodeOrder, n)
	}
	moved := n.Info.Capacity != info.Capacity || n.Info.Rack != info.Rack
	n.Info, n.Rack = info, c.rack(info)
	if added || moved {
		c.rebuild()
	}
	c.updateNodeState(n)
	c.updateTotalCapacity()
}

func (c *Cell) rack(info model.EndpointInfo) *work.Rack {
	name := rackName{domain: info.Domain, rack: info.Rack}
	rack := c.racks[name]
	if rack == nil {
		rack = &work.Rack{Name: info.Rack}
		c.racks[name] = rack
	}
	return rack
}

// SetReachable sets whether the endpoint responds to its holder.
func (c *Cell) SetReachable(now time.Time, id model.EndpointID, reachable bool) {
	c.now = now
	if n := c.nodes[id]; n != nil && n.Reachable != reachable {
		n.Reachable = reachable
		c.updateNodeState(n)
	}
}

// RemoveEndpoint removes an endpoint. The outcome of attempts still counted
// there becomes unknown.
func (c *Cell) RemoveEndpoint(now time.Time, id model.EndpointID) {
	c.now = now
	n := c.nodes[id]
	if n == nil {
		return
	}
	n.Reachable = false
	c.updateNodeState(n)
	for len(n.Tasks) > 0 {
		t := n.Tasks[len(n.Tasks)-1]
		t.Job.Ambiguous = t.Job.Ambiguous || !t.Job.Ran
		t.Fire(work.Lose)
		t.Job.Reconcile()
	}
	c.unreserve(n)
	c.removeUnhealthy(n)
	delete(c.nodes, id)
	c.nodeOrder = slices.DeleteFunc(c.nodeOrder, func(other *work.Node) bool { return other == n })
	c.changedNodes = slices.DeleteFunc(c.changedNodes, func(other *work.Node) bool { return other == n })
	c.rebuild()
}

// rebuild sorts the endpoints and rebuilds the indexes over them. Endpoints
// with accelerators come last, so that other work leaves them free, and
// endpoints of a rack are adjacent.
func (c *Cell) rebuild() {
	slices.SortFunc(c.nodeOrder, func(a, b *work.Node) int {
		return cmp.Or(
			cmp.Compare(a.Info.Capacity[model.Accelerators], b.Info.Capacity[model.Accelerators]),
			cmp.Compare(a.Info.Rack, b.Info.Rack),
			cmp.Compare(a.Info.ID, b.Info.ID))
	})
	c.placer.Rebuild(c.nodeOrder)
	c.shardFleet.Reset()
	for _, n := range c.nodeOrder {
		c.shardFleet.Add(n.Info)
	}
	c.estimatesVersion++
	c.unblockAll()
	c.updateTotalCapacity()
}

// updateTotalCapacity adds up the capacity of the endpoints in service.
func (c *Cell) updateTotalCapacity() {
	c.totalCapacity = model.Resources{}
	for _, n := range c.nodeOrder {
		if !n.Out && !n.Info.Leaving {
			c.totalCapacity = c.totalCapacity.Add(n.Info.Capacity)
		}
	}
	c.updateAllTeams()
}

// updateNodeState reevaluates the endpoint's state after a change of its
// description, reachability or service status.
func (c *Cell) updateNodeState(n *work.Node) {
	n.Out = c.takenOut(n.Info)
	n.Fire(work.Reevaluate)
	c.scheduleProbe(n)
	c.markChanged(n)
}

// takenOut reports whether operators have taken the endpoint, its rack or its
// domain out of service.
func (c *Cell) takenOut(info model.EndpointInfo) bool {
	domain, _ := c.config.Domain(info.Domain)
	rack := model.RackRef{Domain: info.Domain, Rack: info.Rack}
	return domain.Out || slices.Contains(c.config.RacksOut, rack) ||
		slices.Contains(c.config.EndpointsOut, info.ID)
}

// markChanged records that the endpoint's available capacity may have grown.
func (c *Cell) markChanged(n *work.Node) {
	c.placer.Update(n)
	c.round++
	if !n.Changed {
		n.Changed = true
		c.changedNodes = append(c.changedNodes, n)
	}
}
