package planner

import (
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
)

// estimateSlack is the slack, as a fraction of its estimated time, below
// which a step counts as late. Estimates are rough.
const estimateSlack = 0.25

// shortRunTime is the number of spreads from the expected run time to that which nine in ten
// run times exceed. A step counts as late unless its job would meet its objective even with
// this run time, since a short run time leaves it less time to wait. If the expected run
// time counted alone, half of the jobs that are served last while in time would be late.
const shortRunTime = -1.28

// relaxedSlackFraction is the part of its slack that a step may use up before it goes
// ahead of urgent surplus work again.
const relaxedSlackFraction = 0.5

// urgency divides the waiting steps into classes that are compared before
// their priorities.
type urgency int

const (
	// inTime is a step that can meet its objective, or is late but still of
	// use.
	inTime urgency = iota
	// urgentSurplus is a step of the most urgent queues that its team submitted
	// beyond its weight and that can still be of use. This class and relaxed are
	// used with Policy.ShedByCost only.
	urgentSurplus
	// relaxed is a step of the least urgent queues that has more than half of its
	// slack left. Only one priority has this class: a relaxed step goes behind
	// urgent surplus work, and in-time work of a lower priority before that, so
	// that relaxed steps of several priorities would reverse their order.
	relaxed
	// surplus is a step of a job that its team submitted beyond its weight.
	surplus
	// overdue is a step whose result can no longer be of use.
	overdue
)

// rank is the position of a step among those that wait.
type rank struct {
	urgency  urgency
	priority int
	late     bool
	// work is the work of the pending tasks of a step beyond its team's weight, in
	// core-milliseconds; 0 for other steps, and without Policy.ShedByCost.
	work float64
	// begun is set when a task of the job has started. Under a backlog, jobs that
	// are left half done take capacity without a result.
	begun bool
	// due is the latest start of the step with which the job meets its
	// objective.
	due  time.Time
	name string
}

func (a rank) before(b rank) bool {
	switch {
	case a.urgency != b.urgency:
		return a.urgency < b.urgency
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.late != b.late:
		return !a.late
	case a.work != b.work:
		return a.work < b.work
	case a.begun != b.begun:
		return a.begun
	case !a.due.Equal(b.due):
		return a.due.Before(b.due)
	default:
		return a.name < b.name
	}
}

// updateRank updates the step's rank to the current time.
func (p *Planner) updateRank(s *step) {
	if !s.rankValid || p.expectationOld(s) {
		p.computeRank(s)
	}
	if s.lateAt.IsZero() {
		return
	}
	s.rank.late = p.now.After(s.lateAt)
	s.rank.begun = s.job.started
	switch {
	case p.now.After(s.overdueAt):
		s.rank.urgency = overdue
	case s.job.surplus:
		s.rank.urgency = surplus
	default:
		s.rank.urgency = inTime
	}
	if p.policy.ShedByCost {
		p.updateShedding(s)
	}
}

// updateShedding sets the parts of the rank that only Policy.ShedByCost uses.
func (p *Planner) updateShedding(s *step) {
	s.rank.work = 0
	switch {
	case s.rank.urgency == surplus:
		s.rank.work = s.expectedWork(len(s.pending))
		if s.rank.priority == p.highestPriority && p.highestPriority < p.lowestPriority {
			s.rank.urgency = urgentSurplus
		}
	case s.rank.urgency == inTime && !s.Gang && s.rank.priority == p.lowestPriority && p.highestPriority < p.lowestPriority &&
		p.now.Before(s.waitsUntil(relaxedSlackFraction)):
		s.rank.urgency = relaxed
	}
}

// computeRank computes the parts of the rank that change only with the
// expected run times while the step waits.
func (p *Planner) computeRank(s *step) {
	s.rankValid, s.rankedAt, s.lateAt = true, p.now, time.Time{}
	s.rank = rank{name: s.id.String(), due: s.openedAt}
	queue := p.queueOf(s.job)
	if queue == nil {
		s.rank.urgency = overdue
		return
	}
	s.rank.priority = queue.Priority
	if s.Lasting {
		return
	}
	start := s.job.occurrenceStart(s.id.Occurrence)
	job := s.job.expectedJob(s.id.Occurrence, 0)
	objective := queue.JobObjective(job)
	remaining := job.CriticalPath(s.id.Step)
	s.rank.due = start.Add(objective - remaining)
	s.lateAt = latestStart(start, objective, remaining)
	if p.policy.LearnedEstimates {
		short := s.job.expectedJob(s.id.Occurrence, shortRunTime)
		if at := latestStart(start, queue.JobObjective(short), short.CriticalPath(s.id.Step)); at.Before(s.lateAt) {
			s.lateAt = at
		}
	}
	s.overdueAt = start.Add(catalog.OverdueFactor*objective - remaining)
}

// latestStart returns the latest start of a step with which its job meets its objective
// with some slack. remaining is the time that the step and those after it take.
func latestStart(start time.Time, objective, remaining time.Duration) time.Time {
	return start.Add(objective - remaining - time.Duration(estimateSlack*float64(remaining)))
}

// occurrenceStart returns the time from which an occurrence's objective
// counts.
func (j *job) occurrenceStart(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return j.accepted
	}
	age := time.Duration(j.p.wallMillis-j.dueAt(occurrence)) * time.Millisecond
	return j.p.now.Add(-age)
}
