package planner

import "time"

const (
	// lateFactor is the multiple of a job's objective after which its end is
	// of no use to its caller any more.
	overdueFactor = 3
	// estimateSlack is the part of its estimated time that a step needs to spare
	// to count as in time: estimates are rough.
	estimateSlack = 0.25
	// chainAdvice is the number of endpoints of the one question for a step
	// that a job's objective allows for.
	objectiveAdviceEndpoints = 30
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
	case !a.due.Equal(b.due):
		return a.due.Before(b.due)
	default:
		return a.name < b.name
	}
}

// rank brings the step's rank up to date.
func (p *Planner) updateRank(s *step) {
	if !s.rankValid {
		p.computeRank(s)
	}
	if s.lateAt.IsZero() {
		return
	}
	s.rank.late = p.now.After(s.lateAt)
	switch {
	case p.now.After(s.overdueAt):
		s.rank.urgency = overdue
	case s.job.surplus:
		s.rank.urgency = surplus
	default:
		s.rank.urgency = inTime
	}
}

// rankAnew works out what does not change while the step waits.
func (p *Planner) computeRank(s *step) {
	s.rankValid, s.lateAt = true, time.Time{}
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
	objective := s.job.objective(queue.Stretch, queue.Objective, queue.Advice.Cost(objectiveAdviceEndpoints))
	remaining := s.job.criticalPath(s.id.Step)
	s.rank.due = start.Add(objective - remaining)
	s.lateAt = s.rank.due.Add(-time.Duration(estimateSlack * float64(remaining)))
	s.overdueAt = start.Add(overdueFactor*objective - remaining)
}

// startOf returns when the time of an occurrence began.
func (j *job) occurrenceStart(occurrence int) time.Time {
	if j.Occurrences == 0 {
		return j.acceptedAt
	}
	age := time.Duration(j.p.wallMillis-j.dueAt(occurrence)) * time.Millisecond
	return j.p.now.Add(-age)
}

// objective returns the time in which an occurrence should be done.
func (j *job) objective(stretch float64, allowance, adviceTime time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range j.Steps {
		longest = max(longest, j.criticalPath(i)+adviceTime)
	}
	return time.Duration(stretch*float64(longest)) + allowance
}

// chainFrom returns the estimated time of the longest chain of steps that
// begins with the given one.
func (j *job) criticalPath(step int) time.Duration {
	longest := time.Duration(0)
	for i := step + 1; i < len(j.Steps); i++ {
		for _, before := range j.Steps[i].After {
			if before == step {
				longest = max(longest, j.criticalPath(i))
			}
		}
	}
	return j.Steps[step].Estimate + longest
}
