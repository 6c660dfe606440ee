package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// SetFleet tells every endpoint of the fleet.
func (c *Cell) SetFleet(endpoints []model.EndpointInfo) { c.fleet.Set(endpoints) }

// SetEndpoint adds an endpoint or updates what is known of it.
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
	c.reviewNode(n)
	c.sum()
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

// Reachable says whether the endpoint answers its holder.
func (c *Cell) Reachable(now time.Time, id model.EndpointID, reachable bool) {
	c.now = now
	if n := c.nodes[id]; n != nil && n.Reachable != reachable {
		n.Reachable = reachable
		c.reviewNode(n)
	}
}

// RemoveEndpoint forgets an endpoint and whatever is still counted there.
func (c *Cell) RemoveEndpoint(now time.Time, id model.EndpointID) {
	c.now = now
	n := c.nodes[id]
	if n == nil {
		return
	}
	n.Reachable = false
	c.reviewNode(n)
	for len(n.Tasks) > 0 {
		t := n.Tasks[len(n.Tasks)-1]
		t.Job.Unsure = t.Job.Unsure || !t.Job.Ran
		t.Fire(work.Vanish)
		t.Job.Review()
	}
	c.unreserve(n)
	c.forgetSick(n)
	delete(c.nodes, id)
	c.nodeOrder = slices.DeleteFunc(c.nodeOrder, func(other *work.Node) bool { return other == n })
	c.changed = slices.DeleteFunc(c.changed, func(other *work.Node) bool { return other == n })
	c.rebuild()
}

// rebuild puts the endpoints in their order: those with accelerators last, so
// that other work leaves them free, and racks together.
func (c *Cell) rebuild() {
	slices.SortFunc(c.nodeOrder, func(a, b *work.Node) int {
		return cmp.Or(
			cmp.Compare(a.Info.Capacity[model.Accelerators], b.Info.Capacity[model.Accelerators]),
			cmp.Compare(a.Info.Rack, b.Info.Rack),
			cmp.Compare(a.Info.ID, b.Info.ID))
	})
	c.placer.Rebuild(c.nodeOrder)
	c.own.Reset()
	for _, n := range c.nodeOrder {
		c.own.Add(n.Info)
	}
	c.estimates++
	c.unblockAll()
	c.sum()
}

// sum adds up the capacity that is in service.
func (c *Cell) sum() {
	c.total = model.Resources{}
	for _, n := range c.nodeOrder {
		if !n.Out && !n.Info.Leaving {
			c.total = c.total.Add(n.Info.Capacity)
		}
	}
	c.renewOrder()
}

// reviewNode takes the facts about an endpoint into account.
func (c *Cell) reviewNode(n *work.Node) {
	n.Out = c.out(n.Info)
	n.Fire(work.Review)
	c.scheduleProbe(n)
	c.gained(n)
}

// out reports whether operators have taken the endpoint out of service.
func (c *Cell) out(info model.EndpointInfo) bool {
	domain, _ := c.config.Domain(info.Domain)
	rack := model.RackRef{Domain: info.Domain, Rack: info.Rack}
	return domain.Out || slices.Contains(c.config.RacksOut, rack) ||
		slices.Contains(c.config.EndpointsOut, info.ID)
}

// gained notes that the endpoint's room may have grown.
func (c *Cell) gained(n *work.Node) {
	c.placer.Update(n)
	c.round++
	if !n.Changed {
		n.Changed = true
		c.changed = append(c.changed, n)
	}
}
