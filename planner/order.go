package planner

import (
	"time"

	"github.com/hornbeamworks/hornbeam/jobs"
)

const (
	// lateFactor is the multiple of a job's objective after which its end is
	// of no use to its caller any more.
	lateFactor = 3
	// chainAdvice is the number of endpoints of the one question for a step
	// that a job's objective allows for.
	chainAdvice = 30
)

// urgency parts the waiting steps before their priorities count.
type urgency int

const (
	// inTime can still meet its objective, or be late and of use.
	inTime urgency = iota
	// surplus is what a team sends beyond its weight.
	surplus
	// overdue can no longer be of use.
	overdue
)

// rank is a step's place among those that wait.
type rank struct {
	urgency  urgency
	priority int
	late     bool
	// due is when the step should have started for the job to meet its
	// objective.
	due time.Time
	id  jobs.StepID
}

func (a rank) before(b rank) bool {
	switch {
	case a.urgency != b.urgency:
		return a.urgency < b.urgency
	case a.priority != b.priority:
		return a.priority < b.priority
	case a.late != b.late:
		return !a.late
	case !a.due.Equal(b.due):
		return a.due.Before(b.due)
	default:
		return a.id.String() < b.id.String()
	}
}

func (p *Planner) rankOf(s *step) rank {
	queue := p.queueOf(s.job)
	r := rank{id: s.id, due: s.openedAt}
	if queue == nil {
		r.urgency = overdue
		return r
	}
	r.priority = queue.Priority
	if s.Lasting {
		return r
	}
	from := s.job.startOf(s.id.Occurrence)
	objective := s.job.objective(queue.Stretch, queue.Objective, queue.Advice.Cost(chainAdvice))
	left := s.job.chainFrom(s.id.Step)
	r.due = from.Add(objective - left)
	r.late = p.now.After(r.due)
	if p.now.Add(left).After(from.Add(lateFactor * objective)) {
		r.urgency = overdue
	} else if s.job.surplus {
		r.urgency = surplus
	}
	return r
}

// startOf returns when the time of an occurrence began.
func (j *job) startOf(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return j.accepted
	}
	age := time.Duration(j.p.wall-j.due(occurrence)) * time.Millisecond
	return j.p.now.Add(-age)
}

// objective returns the time in which an occurrence should be done.
func (j *job) objective(stretch float64, extra, advice time.Duration) time.Duration {
	chain := time.Duration(0)
	for i := range j.Steps {
		chain = max(chain, j.chainFrom(i)+advice)
	}
	return time.Duration(stretch*float64(chain)) + extra
}

// chainFrom returns the estimated time of the longest chain of steps that
// begins with the given one.
func (j *job) chainFrom(step int) time.Duration {
	longest := time.Duration(0)
	for i := step + 1; i < len(j.Steps); i++ {
		for _, before := range j.Steps[i].After {
			if before == step {
				longest = max(longest, j.chainFrom(i))
			}
		}
	}
	return j.Steps[step].Estimate + longest
}
