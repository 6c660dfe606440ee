package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/placement"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// The bounds of reservations.
const (
	// reservePeriod is how often the reservation for the first job that can't
	// start is worked out anew.
	reservePeriod = 4 * time.Second
	// nearDeadlineDivisor divides the window: a job that has waited for this part of it
	// is passed by no other on what is reserved for it.
	nearDeadlineDivisor = 2
	// maxSlotNodes is the most endpoints that are looked at for a single task.
	maxSlotNodes = 128
	// maxReservedJobs is the most jobs that are reserved for at a time.
	maxReservedJobs = 3
	// reserveWaitDivisor divides the longest wait: a job that has waited for this
	// part of it is reserved for.
	reserveWaitDivisor = 8
	// underShareReserveWait is the longest time that a job of a team below its
	// share waits before it is reserved for.
	underShareReserveWait = 5 * time.Second
	// overrunDivisor divides the expected run time of an attempt that has outlived
	// it: it is expected to run for this part of it longer.
	overrunDivisor = 4
)

// slot is room for one task of the reserved job at some time.
type slot struct {
	at   time.Time
	node *work.Node
}

// reserveForBlocked keeps endpoints for the first jobs that can't start.
func (c *Cell) reserveForBlocked() {
	if c.now.Sub(c.reservedAt) < reservePeriod {
		return
	}
	c.reservedAt = c.now
	for range maxReservedJobs {
		j := c.firstBlocked()
		if j == nil {
			return
		}
		c.reserveFor(j)
	}
}

// reserveFor keeps the endpoints where the job's tasks will soonest have room
// together. Others may use them if they are expected to end before that (EASY
// backfill, Lifka 1995). Jobs are reserved for in their order and for a short
// time, so that the first one always gets what it needs and no two gangs wait
// for each other.
func (c *Cell) reserveFor(j *work.Job) {
	c.findSlots(j)
	count := j.Count()
	if len(c.slots) < count {
		return
	}
	slices.SortStableFunc(c.slots, func(a, b slot) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.node.Leaf, b.node.Leaf))
	})
	start := c.slots[count-1].at
	for _, s := range c.slots[:count] {
		c.reserveNode(s.node, j, start, c.now.Add(reservePeriod))
	}
}

// firstBlocked returns the first job, in the order of the queues, that has
// waited for long enough and is held up by the endpoints alone.
func (c *Cell) firstBlocked() *work.Job {
	var first *work.Queue
	for _, q := range c.queueOrder {
		if !q.Blocked || q.Len == 0 || c.Limited(q.First) || q.First.Reservations > 0 {
			continue
		}
		if c.now.Sub(q.First.Request.Accepted) < reserveWait(q) {
			continue
		}
		if first == nil || c.reservedBefore(q, first) {
			first = q
		}
	}
	if first == nil {
		return nil
	}
	return first.First
}

// reservedBefore reports whether q is reserved for before other: the oldest
// job that is to be rescued goes first.
func (c *Cell) reservedBefore(q, other *work.Queue) bool {
	rescue := c.nearDeadline(q.First)
	if rescue != c.nearDeadline(other.First) {
		return rescue
	}
	if rescue {
		return q.First.Request.Deadline.Before(other.First.Request.Deadline)
	}
	return q.Before(other)
}

// nearDeadline reports whether the job has waited for so much of its window that
// nothing may pass it on what is reserved for it.
func (c *Cell) nearDeadline(j *work.Job) bool {
	return c.now.Sub(j.Request.Accepted) >= j.Class.Window/nearDeadlineDivisor
}

// reserveWait is how long the oldest job of the queue waits before it is
// reserved for: less when its team is below its share.
func reserveWait(q *work.Queue) time.Duration {
	wait := q.First.Class.MaxWait / reserveWaitDivisor
	if q.Team.Account.Ratio() < underShareRatio {
		return min(wait, underShareReserveWait)
	}
	return wait
}

// findSlots fills c.slots with the times at which each endpoint has room for
// one task of the job more.
func (c *Cell) findSlots(j *work.Job) {
	c.slots = c.slots[:0]
	size, count := c.size(j), j.Count()
	nodes := len(c.nodeOrder)
	if count == 1 {
		nodes = min(nodes, maxSlotNodes)
	}
	for range nodes {
		c.slotCursor = (c.slotCursor + 1) % len(c.nodeOrder)
		n := c.nodeOrder[c.slotCursor]
		if !n.Open() || n.ReservedFor != nil || j.Head().Avoids(n.Info.ID) {
			continue
		}
		c.running = append(c.running[:0], n.Tasks...)
		slices.SortStableFunc(c.running, func(a, b *work.Task) int {
			return c.expectedEnd(a).Compare(c.expectedEnd(b))
		})
		c.addSlots(n, size, count)
	}
}

// addSlots adds the slots of one endpoint; c.running are its tasks in the
// order of their expected ends.
func (c *Cell) addSlots(n *work.Node, size model.Resources, count int) {
	room, at, have := n.FreeCapacity(), c.now, 0
	for i := 0; ; i++ {
		fitting := min(int(placement.Fits(size, room)), count)
		for ; have < fitting; have++ {
			c.slots = append(c.slots, slot{at: at, node: n})
		}
		if have == count || i == len(c.running) || c.running[i].Job.Service() {
			return
		}
		t := c.running[i]
		room = room.Add(t.Size).Add(t.Excess)
		at = c.expectedEnd(t)
	}
}

// expectedEnd is when a live attempt is expected to end.
func (c *Cell) expectedEnd(t *work.Task) time.Time {
	if t.ExpectedEnd.After(c.now) {
		return t.ExpectedEnd
	}
	return c.now.Add(t.ExpectedEnd.Sub(t.Started) / overrunDivisor)
}

// reserveNode keeps the endpoint for the job.
func (c *Cell) reserveNode(n *work.Node, j *work.Job, start, lapses time.Time) {
	if n.ReservedFor == nil {
		c.reservedNodes = append(c.reservedNodes, n)
		j.Reservations++
	}
	n.ReservedFor, n.ReservedStart, n.ReservationExpires = j, start, lapses
	n.ReservedTier = j.Queue.Key.Tier
	if c.nearDeadline(j) {
		n.ReservedTier = 0
	}
}

// expireReservations gives up the reservations that have lapsed.
func (c *Cell) expireReservations() {
	for i := len(c.reservedNodes) - 1; i >= 0; i-- {
		if n := c.reservedNodes[i]; !n.ReservationExpires.After(c.now) {
			c.unreserve(n)
		}
	}
}

// unreserve gives up the reservation of the endpoint.
func (c *Cell) unreserve(n *work.Node) {
	if n.ReservedFor == nil {
		return
	}
	n.ReservedFor.Reservations--
	n.ReservedFor = nil
	c.reservedNodes = slices.DeleteFunc(c.reservedNodes, func(other *work.Node) bool { return other == n })
	c.markChanged(n)
}

// unreserveJob gives up the reservations of the job.
func (c *Cell) unreserveJob(j *work.Job) {
	for i := len(c.reservedNodes) - 1; i >= 0 && j.Reservations > 0; i-- {
		if n := c.reservedNodes[i]; n.ReservedFor == j {
			c.unreserve(n)
		}
	}
}
