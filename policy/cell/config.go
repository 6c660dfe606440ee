package cell

import (
	"math"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// refreshPeriod is the period at which past usage is decayed and the queues are
// reordered.
const refreshPeriod = time.Second

// SetConfig applies a configuration. A version older than the current one is
// ignored.
func (c *Cell) SetConfig(now time.Time, config *model.Config) {
	if config.Version < c.config.Version {
		return
	}
	c.now, c.config = now, config
	for _, team := range c.teamOrder {
		team.Configured = false
	}
	for _, t := range config.Teams {
		team := c.team(t.Name)
		team.Configured, team.Limit = true, t.Limit
	}
	c.assignShares()
	for _, n := range c.nodeOrder {
		c.updateNodeState(n)
	}
	c.prune()
	c.estimatesVersion++
	c.updateTotalCapacity()
	c.unblockAll()
}

// assignShares sets each team's fraction of the capacity from the configured
// shares.
func (c *Cell) assignShares() {
	sum := int64(0)
	for _, t := range c.config.Teams {
		sum += t.Share
	}
	for _, t := range c.config.Teams {
		share := 1 / float64(len(c.config.Teams))
		if sum > 0 {
			share = float64(t.Share) / float64(sum)
		}
		c.teams[t.Name].Account.SetShare(share)
	}
}

// prune removes queues without jobs whose class or team is no longer
// configured, and teams without queues that are no longer configured.
func (c *Cell) prune() {
	c.queueOrder = slices.DeleteFunc(c.queueOrder, func(q *work.Queue) bool {
		_, known := c.config.Class(q.Class)
		if q.OpenJobs > 0 || known && q.Team.Configured {
			return false
		}
		q.Team.Queues = slices.DeleteFunc(q.Team.Queues, func(other *work.Queue) bool { return other == q })
		delete(c.queues, queueName{class: q.Class, team: q.Team.Name})
		return true
	})
	c.teamOrder = slices.DeleteFunc(c.teamOrder, func(t *work.Team) bool {
		if t.Configured || len(t.Queues) > 0 {
			return false
		}
		delete(c.teams, t.Name)
		return true
	})
}

// SetPart sets the part of the team's limit that is allotted to this scheduler.
func (c *Cell) SetPart(name model.TeamName, part model.Resources) {
	team := c.team(name)
	team.Part = part
	c.unblockTeam(team)
}

// team returns the team with the given name and creates it if needed.
func (c *Cell) team(name model.TeamName) *work.Team {
	team := c.teams[name]
	if team == nil {
		team = &work.Team{Name: name}
		c.teams[name] = team
		c.teamOrder = append(c.teamOrder, team)
	}
	return team
}

// queue returns the queue of the class and team and creates it if needed.
func (c *Cell) queue(class model.Class, team *work.Team) *work.Queue {
	name := queueName{class: class.Name, team: team.Name}
	q := c.queues[name]
	if q == nil {
		q = work.NewQueue(class.Name, team, work.Tier(class.MaxWait))
		c.queues[name] = q
		c.queueOrder = append(c.queueOrder, q)
		team.Queues = append(team.Queues, q)
	}
	return q
}

// refresh decays past usage and reorders the queues once per refreshPeriod.
func (c *Cell) refresh() {
	if c.now.Sub(c.refreshedAt) < refreshPeriod {
		return
	}
	c.refreshedAt = c.now
	for _, team := range c.teamOrder {
		team.Account.Decay(c.now, c.settings.HalfLife)
	}
	c.updateAllTeams()
	c.recomputeMinQueuedSize()
}

// recomputeMinQueuedSize derives minQueuedSize from all queued jobs.
func (c *Cell) recomputeMinQueuedSize() {
	c.minQueuedSize = unboundedSize
	for _, q := range c.queueOrder {
		for j := q.First; j != nil; j = j.Next {
			c.minQueuedSize = minResources(c.minQueuedSize, q.SizeLowerBound(j.Request.Spec.Size))
		}
	}
}

// unboundedSize is the minimum over no sizes.
var unboundedSize = model.Resources{math.MaxInt64, math.MaxInt64, math.MaxInt64, math.MaxInt64, math.MaxInt64}

// updateAllTeams updates the usage of every team and the key of every queue.
func (c *Cell) updateAllTeams() {
	for _, team := range c.teamOrder {
		c.updateUsage(team)
	}
}

// updateUsage records the team's current usage and moves its queues in the
// order.
func (c *Cell) updateUsage(team *work.Team) {
	team.Account.SetUsage(team.Running.DominantShare(c.totalCapacity))
	for _, q := range team.Queues {
		c.updateQueue(q)
	}
}

// updateQueue recomputes the queue's key and position. A queue that has moved
// to an earlier tier is unblocked, since it may now use capacity that is
// reserved for later tiers.
func (c *Cell) updateQueue(q *work.Queue) {
	before := q.Key.Tier
	q.Key = q.NewKey(c.totalCapacity)
	if q.Key.Tier < before {
		q.Blocked = false
	}
	c.picker.Update(q)
}

// TeamUsages appends one entry for each team to into and returns it.
func (c *Cell) TeamUsages(into []policy.TeamUsage) []policy.TeamUsage {
	for _, team := range c.teamOrder {
		into = append(into, policy.TeamUsage{
			Team:    team.Name,
			Running: team.Running,
			Queued:  team.Queued,
			Part:    team.Part,
		})
	}
	return into
}
