package cell

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/policy/quarantine"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// recordHealth records the end of an attempt in the endpoint's health and in
// the queue's failure rate, and quarantines the endpoint when it fails too
// often.
func (c *Cell) recordHealth(n *work.Node, j *work.Job, event work.Event, probe bool) {
	if event != work.Succeed && event != work.Fail {
		return
	}
	failed := event == work.Fail
	q := j.Queue
	if probe {
		c.endProbe(n, failed)
	}
	n.Health.Observe(failed, quarantine.End{
		Request:  j.Request.ID,
		Team:     j.Request.Team,
		Expected: q.FailureRate.Value(),
	})
	q.FailureRate.Observe(failed)
	if failed && n.Open() && n.Health.Suspect() && c.mayQuarantine(n) {
		n.Fire(work.MarkUnhealthy)
		c.scheduleProbe(n)
		c.stats.Quarantined++
		c.placer.Update(n)
	}
}

// mayQuarantine compares the endpoint's failure rate with that of the others
// and limits the number of quarantined endpoints.
func (c *Cell) mayQuarantine(n *work.Node) bool {
	sum, others := 0.0, 0
	for _, other := range c.nodeOrder {
		if other != n && other.Open() {
			sum += other.Health.Rate()
			others++
		}
	}
	if others == 0 || !quarantine.Allowed(len(c.unhealthy), len(c.nodeOrder)) {
		return false
	}
	return n.Health.Unhealthy(sum / float64(others))
}

// scheduleProbe lists an unhealthy endpoint and sets the end of a quarantine
// that has just begun.
func (c *Cell) scheduleProbe(n *work.Node) {
	if !n.Unhealthy {
		return
	}
	if !slices.Contains(c.unhealthy, n) {
		c.unhealthy = append(c.unhealthy, n)
	}
	if n.Quarantined() && n.ProbeAt.IsZero() {
		n.ProbeAt = c.now.Add(n.ProbeAfter)
	}
}

// runProbes opens endpoints whose quarantine has ended for a probe. A probe
// that has run for Settings.ProbeAfter without failing counts as passed.
func (c *Cell) runProbes() {
	for i := len(c.unhealthy) - 1; i >= 0; i-- {
		n := c.unhealthy[i]
		if n.Quarantined() && !n.ProbeAt.After(c.now) {
			n.Fire(work.ProbeDue)
			c.markChanged(n)
		}
		if n.Probe != nil && c.now.Sub(n.Probe.Started) >= c.settings.ProbeAfter && n.Probe.Job.Ran {
			c.endProbe(n, false)
		}
	}
}

// endProbe reopens the endpoint or, after a failed probe, quarantines it for
// longer.
func (c *Cell) endProbe(n *work.Node, failed bool) {
	n.Probe = nil
	if failed {
		n.Fire(work.ProbeFailed)
		c.scheduleProbe(n)
		c.placer.Update(n)
		return
	}
	n.Fire(work.ProbePassed)
	n.ProbeAfter = c.settings.ProbeAfter
	if !n.Unhealthy {
		c.removeUnhealthy(n)
	}
	c.markChanged(n)
}

// removeUnhealthy removes the endpoint from the list of unhealthy endpoints.
func (c *Cell) removeUnhealthy(n *work.Node) {
	c.unhealthy = slices.DeleteFunc(c.unhealthy, func(other *work.Node) bool { return other == n })
}

// nextProbe returns the earlier of wake and the end of the next quarantine.
func (c *Cell) nextProbe(wake time.Time) time.Time {
	for _, n := range c.unhealthy {
		if n.Quarantined() {
			wake = earliest(wake, n.ProbeAt)
		}
	}
	return wake
}
