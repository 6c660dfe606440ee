package planner

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// step is one step of one occurrence.
type step struct {
	*jobs.Step
	id    jobs.StepID
	job   *job
	state chart.State
	// openedAt is when its tasks could first be placed.
	openedAt time.Time
	tasks    []*task
	pending  []*task
	done     int
	// gangRuns counts the gang's runs, gangSaved is its last checkpoint.
	gangRuns  int
	gangSaved string
	advice    advice
	rank      rank
	// ranked says that rank is up to date but for the time that has passed;
	// lateAt and overdueAt are when it changes.
	ranked            bool
	lateAt, overdueAt time.Time
	// failedAt is the planner's count of freed room when no room was found;
	// until failedUntil the step is tried again only if that has changed.
	failedAt    uint64
	failedUntil time.Time
	// retryAt keeps the step from being planned again at once.
	retryAt time.Time
}

// advice is what is known of the endpoints that may run a step.
type advice struct {
	asked       map[model.EndpointID]bool
	good        map[model.EndpointID]permit
	outstanding bool
	askedAt     time.Time
}

// permit is a ticket for one life of an endpoint.
type permit struct {
	ticket  string
	expires time.Time
	born    int64
}

var stepsChart *chart.Machine[step]

var evStepOpen, evStepComplete chart.Event

var stepComplete chart.State

func init() {
	stepsChart = chart.MustBind(charts.MustLoad("cell_step"),
		chart.Guards[step]{},
		chart.Actions[step]{
			"list_open": (*step).listOpen,
			"unlist":    func(s *step) { s.job.p.closeStep(s) },
		})
	evStepOpen = stepsChart.MustEvent("open")
	evStepComplete = stepsChart.MustEvent("complete")
	stepComplete = stepsChart.MustState("complete")
}

func newStep(j *job, id jobs.StepID, spec *jobs.Step) *step {
	s := &step{Step: spec, id: id, job: j}
	s.advice = advice{asked: map[model.EndpointID]bool{}, good: map[model.EndpointID]permit{}}
	stepsChart.Start(&s.state, s)
	for i := range spec.Count {
		t := &task{step: s, id: jobs.TaskID{StepID: id, Index: i}}
		tasksChart.Start(&t.state, t)
		s.tasks = append(s.tasks, t)
		s.pending = append(s.pending, t)
	}
	return s
}

func (s *step) listOpen() {
	s.openedAt = s.job.p.now
	s.job.p.open[s] = true
}

func (s *step) prerequisitesDone() bool {
	for _, earlier := range s.After {
		before := s.job.step(s.id.Occurrence, earlier)
		if before != nil && before.state != stepComplete {
			return false
		}
	}
	return true
}

// taskDone is told when a task has succeeded. One member's end stands for the
// whole gang's.
func (s *step) taskDone(t *task) {
	if s.Gang {
		s.done = len(s.tasks)
	} else {
		s.done++
	}
	s.drop(t)
	s.job.changed()
	if s.done < len(s.tasks) || s.state == stepComplete {
		return
	}
	s.pending = nil
	stepsChart.Fire(&s.state, evStepComplete, s)
	s.stopCopies()
	s.job.stepDone(s)
}

// stopCopies stops what still runs of a step that is complete.
func (s *step) stopCopies() {
	if s.Gang {
		// The other members have ended with the first.
		return
	}
	for _, t := range s.tasks {
		t.stopRuns("task is done")
	}
}

// stopGang stops the members of a gang's run of which one did not start: they
// would wait for it in vain.
func (s *step) stopGang(number int) {
	if !s.Gang {
		return
	}
	for _, t := range s.tasks {
		for _, r := range t.copies() {
			if r.id.Number == number {
				r.stop("a member of its gang did not start")
			}
		}
	}
}

func (s *step) drop(t *task) {
	for i, other := range s.pending {
		if other == t {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

func (s *step) requeue(t *task) {
	for _, other := range s.pending {
		if other == t {
			return
		}
	}
	s.pending = append(s.pending, t)
}

func (s *step) forgetTicket(id model.EndpointID) {
	if known, found := s.advice.good[id]; found {
		known.expires = time.Time{}
		s.advice.good[id] = known
	}
}

// ticketMargin is how long before its end a ticket is no longer used: the time
// that a start takes, slow instances included.
const ticketMargin = 250 * time.Millisecond

// ticket returns the step's ticket for the endpoint if it can be used now.
func (s *step) ticket(e *endpoint) (string, bool) {
	known, found := s.advice.good[e.ID]
	if !found || known.born != e.Born || !s.job.p.now.Before(known.expires) {
		return "", false
	}
	return known.ticket, true
}

// Advised takes the answer to a question; nil tickets mean that there is none.
// answered is when it came.
func (p *Planner) Advised(q Question, tickets map[model.EndpointID]string, answered time.Time) {
	p.dirty = true
	p.countQuestion(q.Cost, -1)
	j := p.jobs[q.Step.Job]
	if j == nil {
		return
	}
	s := j.step(q.Step.Occurrence, q.Step.Step)
	if s == nil {
		return
	}
	s.advice.outstanding = false
	s.failedUntil = time.Time{}
	if tickets == nil {
		for _, id := range q.Endpoints {
			if _, known := s.advice.good[id]; !known {
				delete(s.advice.asked, id)
			}
		}
		s.retryAt = p.now.Add(adviceRetry)
		return
	}
	queue := p.queueOf(j)
	if queue == nil || queue.Advice == nil {
		return
	}
	for id, ticket := range tickets {
		if e := p.endpoints[id]; e != nil {
			s.advice.good[id] = permit{ticket: ticket, expires: answered.Add(queue.Advice.Valid - ticketMargin), born: e.Born}
		}
	}
	ratioOf(p.good, j.Queue).add(float64(len(tickets))/float64(len(q.Endpoints)), goodWindow)
}

// progress returns what has to be recorded of the step, and whether there is
// anything.
func (s *step) progress() (jobs.StepProgress, bool) {
	row := jobs.StepProgress{Occurrence: s.id.Occurrence, Step: s.id.Step}
	if s.state == stepComplete {
		row.Complete = true
		return row, true
	}
	any := false
	for i, t := range s.tasks {
		if t.state == taskDone {
			row.Done = append(row.Done, i)
			any = true
		}
		if len(t.failed) > 0 {
			if row.Failures == nil {
				row.Failures = map[int][]int{}
			}
			row.Failures[i] = t.failed
			any = true
		}
		if t.saved != "" {
			if row.Saved == nil {
				row.Saved = map[int]string{}
			}
			row.Saved[i] = t.saved
			any = true
		}
		for _, r := range t.copies() {
			if r.state != runReserved {
				row.Runs = append(row.Runs, jobs.RunRecord{Task: i, Number: r.id.Number, Endpoint: r.at.ID})
				any = true
			}
		}
	}
	return row, any
}

func (s *step) restore(row jobs.StepProgress) {
	for i, numbers := range row.Failures {
		if i < len(s.tasks) {
			s.tasks[i].failed = numbers
		}
	}
	for i, saved := range row.Saved {
		if i < len(s.tasks) {
			s.tasks[i].saved = saved
		}
	}
	if row.Complete {
		s.completeAll()
		return
	}
	for _, record := range row.Runs {
		if record.Task < len(s.tasks) {
			s.job.p.inherit(s.tasks[record.Task], record)
		}
	}
	for _, i := range row.Done {
		if i < len(s.tasks) {
			s.tasks[i].fire(evTaskSucceed)
		}
	}
}

func (s *step) completeAll() {
	for _, t := range s.tasks {
		if s.state == stepComplete {
			return
		}
		t.fire(evTaskSucceed)
	}
}
