package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/placement"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// The limits of reservations.
const (
	// reservePeriod is the period at which the reservations for blocked jobs
	// are recomputed.
	reservePeriod = 4 * time.Second
	// nearDeadlineDivisor divides the window: once a job has waited for the
	// resulting time, no other job may delay it by using its reservation.
	nearDeadlineDivisor = 2
	// maxSlotNodes is the maximum number of endpoints searched for a single
	// task.
	maxSlotNodes = 128
	// maxReservedJobs is the maximum number of jobs given reservations in one
	// period.
	maxReservedJobs = 3
	// reserveWaitDivisor divides the maximum wait of a class: a job that has
	// waited for the resulting time is given a reservation.
	reserveWaitDivisor = 8
	// underShareReserveWait is the maximum wait before a job of a team below
	// its share is given a reservation.
	underShareReserveWait = 5 * time.Second
	// overrunDivisor divides the expected run time of an attempt that has
	// exceeded it: the attempt is expected to run for the resulting time
	// longer.
	overrunDivisor = 4
)

// slot is capacity for one task of the reserving job from a given time on.
type slot struct {
	at   time.Time
	node *work.Node
}

// reserveForBlocked reserves endpoints for the first jobs that can't start.
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

// reserveFor reserves the endpoints that will soonest have capacity for the
// job's tasks together. Other work may use them if it is expected to end before
// then (EASY backfill, Lifka 1995). Reservations are made in the order of the
// jobs and for a short time, so that the first job always gets the capacity it
// needs and no two gangs wait for each other.
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
// waited long enough and that only the lack of endpoint capacity prevents from
// starting.
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

// reservedBefore reports whether q precedes other when reservations are made:
// jobs near their deadline come first, earliest deadline first.
func (c *Cell) reservedBefore(q, other *work.Queue) bool {
	near := c.nearDeadline(q.First)
	if near != c.nearDeadline(other.First) {
		return near
	}
	if near {
		return q.First.Request.Deadline.Before(other.First.Request.Deadline)
	}
	return q.Before(other)
}

// nearDeadline reports whether the job has waited for so much of its window
// that no other job may use its reservation.
func (c *Cell) nearDeadline(j *work.Job) bool {
	return c.now.Sub(j.Request.Accepted) >= j.Class.Window/nearDeadlineDivisor
}

// reserveWait returns how long the oldest job of the queue waits before it is
// given a reservation; it is shorter when its team is below its share.
func reserveWait(q *work.Queue) time.Duration {
	wait := q.First.Class.MaxWait / reserveWaitDivisor
	if q.Team.Account.Ratio() < underShareRatio {
		return min(wait, underShareReserveWait)
	}
	return wait
}

// findSlots fills c.slots with the times at which each endpoint has capacity
// for a further task of the job.
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

// addSlots adds the slots of one endpoint. c.running holds its tasks, ordered
// by expected end.
func (c *Cell) addSlots(n *work.Node, size model.Resources, count int) {
	free, at, have := n.FreeCapacity(), c.now, 0
	for i := 0; ; i++ {
		fitting := min(int(placement.FitCount(size, free)), count)
		for ; have < fitting; have++ {
			c.slots = append(c.slots, slot{at: at, node: n})
		}
		if have == count || i == len(c.running) || c.running[i].Job.Service() {
			return
		}
		t := c.running[i]
		free = free.Add(t.Size).Add(t.Excess)
		at = c.expectedEnd(t)
	}
}

// expectedEnd returns when a live attempt is expected to end.
func (c *Cell) expectedEnd(t *work.Task) time.Time {
	if t.ExpectedEnd.After(c.now) {
		return t.ExpectedEnd
	}
	return c.now.Add(t.ExpectedEnd.Sub(t.Started) / overrunDivisor)
}

// reserveNode reserves the endpoint for the job.
func (c *Cell) reserveNode(n *work.Node, j *work.Job, start, expires time.Time) {
	if n.ReservedFor == nil {
		c.reservedNodes = append(c.reservedNodes, n)
		j.Reservations++
	}
	n.ReservedFor, n.ReservedStart, n.ReservationExpires = j, start, expires
	n.ReservedTier = j.Queue.Key.Tier
	if c.nearDeadline(j) {
		n.ReservedTier = 0
	}
}

// expireReservations cancels the reservations that have lapsed.
func (c *Cell) expireReservations() {
	for i := len(c.reservedNodes) - 1; i >= 0; i-- {
		if n := c.reservedNodes[i]; !n.ReservationExpires.After(c.now) {
			c.unreserve(n)
		}
	}
}

// unreserve cancels the reservation of the endpoint.
func (c *Cell) unreserve(n *work.Node) {
	if n.ReservedFor == nil {
		return
	}
	n.ReservedFor.Reservations--
	n.ReservedFor = nil
	c.reservedNodes = slices.DeleteFunc(c.reservedNodes, func(other *work.Node) bool { return other == n })
	c.markChanged(n)
}

// unreserveJob cancels the reservations of the job.
func (c *Cell) unreserveJob(j *work.Job) {
	for i := len(c.reservedNodes) - 1; i >= 0 && j.Reservations > 0; i-- {
		if n := c.reservedNodes[i]; n.ReservedFor == j {
			c.unreserve(n)
		}
	}
}
