package planner

import (
	"sort"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/jobs"
)

// WaitingStep describes a waiting step and what it waits for.
type WaitingStep struct {
	Step  jobs.StepID
	Queue jobs.QueueName
	// Since is how long the step has been open.
	Since time.Duration
	// Pending is the number of waiting tasks, Count the number of all tasks.
	Pending, Count int
	// Reason is a short explanation.
	Reason string
	// Requested counts the endpoints named in advice requests, Eligible those of them
	// that may run the step.
	Requested, Eligible int
}

// LongestWaiting returns the n steps that have waited longest.
func (p *Planner) LongestWaiting(n int) []WaitingStep {
	var list []*step
	for _, s := range p.openSteps() {
		if len(s.pending) > 0 && !s.job.closing() {
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		if !list[i].openedAt.Equal(list[k].openedAt) {
			return list[i].openedAt.Before(list[k].openedAt)
		}
		return list[i].id.String() < list[k].id.String()
	})
	var found []WaitingStep
	for _, s := range list[:min(n, len(list))] {
		found = append(found, WaitingStep{
			Step: s.id, Queue: s.job.Queue, Since: p.now.Sub(s.openedAt), Pending: len(s.pending), Count: s.Count,
			Reason: p.waitReason(s), Requested: len(s.advice.requested), Eligible: len(s.advice.eligible),
		})
	}
	return found
}

// liveMembers lists the step's first live runs with their states.
func (s *step) liveMembers() string {
	var list []string
	for _, t := range s.tasks {
		for _, r := range t.liveRuns() {
			if len(list) < maxMembersNamed {
				list = append(list, r.id.String()+" "+runsChart.Name(r.state)+" at "+string(r.endpoint.ID)+" ("+endpointsChart.Name(r.endpoint.state)+")")
			}
		}
	}
	return strings.Join(list, ", ")
}

// maxMembersNamed is how many runs an explanation lists.
const maxMembersNamed = 3

// waitReason returns what prevents the step from being placed.
func (p *Planner) waitReason(s *step) string {
	queue := p.queueOf(s.job)
	switch {
	case queue == nil:
		return "its queue has left the configuration"
	case !p.withinLimit(s.job.Team, s.Committed()):
		return "its team is at its limit"
	case s.Gang && len(s.pending) < s.Count:
		return "members of its last run have not ended: " + s.liveMembers()
	case queue.Advice != nil && len(s.advice.requested) == 0:
		return "no advice yet"
	case s.advice.outstanding:
		return "advice is under way"
	case p.now.Before(s.adviceRetryAt):
		return "advice failed a moment ago"
	default:
		return "no room on the endpoints that may run it"
	}
}
