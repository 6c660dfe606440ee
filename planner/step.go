package planner

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// step is one step of one occurrence of a job.
type step struct {
	*jobs.Step
	id    jobs.StepID
	job   *job
	state chart.State
	// openedAt is when the step's tasks could first be placed.
	openedAt time.Time
	tasks    []*task
	pending  []*task
	done     int
	// runTimeSamples are the latest run times of the step's tasks, the shortest first.
	runTimeSamples []runTimeSample
	// lastRun is the highest number of a run of any task, inheritedRun the one that a
	// former holder has recorded.
	lastRun, inheritedRun int
	// gangCheckpoint is the last checkpoint of a gang.
	gangCheckpoint string
	advice         advice
	rank           rank
	// rankValid is set when rank is up to date except for what depends on the
	// current time; lateAt and overdueAt are when it changes.
	rankValid         bool
	lateAt, overdueAt time.Time
	// rankedAt is when computeRank last ran.
	rankedAt time.Time
	// expectation is the expected run time of its tasks, ended the run times of its ended
	// tasks.
	expectation expectation
	ended       endedTasks
	// failedCapacitySeq is the planner's capacitySeq when the last placement
	// found too little capacity. Until placementRetryAt, the step is tried
	// again only if capacity has been freed since.
	failedCapacitySeq uint64
	placementRetryAt  time.Time
	// elsewhere is the result of runsElsewhere in the phase elsewhereAt.
	elsewhere   bool
	elsewhereAt uint64
	// adviceRetryAt delays the next attempt after an advice request has
	// failed.
	adviceRetryAt time.Time
	// waitCause is what the pending tasks have waited for since waitedUntil; the
	// time before is in the job's waits.
	waitCause   WaitCause
	waitedUntil time.Time
}

// advice is the state of the advice about a step: the endpoints that were
// named in requests and those that may run it.
type advice struct {
	requested map[model.EndpointID]bool
	eligible  map[model.EndpointID]ticket
	// inOrder caches the endpoints in eligible in the order of their names as of the
	// planner's endpointChanges; nil after a change of eligible.
	inOrder   []eligibleEndpoint
	inOrderAs uint64
	// exhaustedAs is the planner's endpointChanges when requests had named all endpoints;
	// 0 if there may be further ones.
	exhaustedAs uint64
	outstanding bool
	requestedAt time.Time
}

// eligibleEndpoint is an endpoint with the start time of the incarnation for which a step
// has a ticket.
type eligibleEndpoint struct {
	*endpoint
	startedAt int64
}

// ticket allows a step to run on one incarnation of an endpoint.
type ticket struct {
	value     string
	expires   time.Time
	startedAt int64
}

var stepsChart *chart.Machine[step]

var evStepOpen, evStepComplete chart.Event

var stepOpen, stepComplete chart.State

func init() {
	stepsChart = chart.MustBind(charts.MustLoad("cell_step"),
		chart.Guards[step]{},
		chart.Actions[step]{
			"add_to_open":      (*step).addToOpen,
			"remove_from_open": func(s *step) { s.job.p.closeStep(s) },
		})
	evStepOpen = stepsChart.MustEvent("open")
	evStepComplete = stepsChart.MustEvent("complete")
	stepOpen = stepsChart.MustState("open")
	stepComplete = stepsChart.MustState("complete")
}

func newStep(j *job, id jobs.StepID, spec *jobs.Step) *step {
	s := &step{Step: spec, id: id, job: j}
	s.advice = advice{requested: map[model.EndpointID]bool{}, eligible: map[model.EndpointID]ticket{}}
	stepsChart.Start(&s.state, s)
	for i := range spec.Count {
		t := &task{step: s, id: jobs.TaskID{StepID: id, Index: i}}
		tasksChart.Start(&t.state, t)
		s.tasks = append(s.tasks, t)
		s.pending = append(s.pending, t)
	}
	return s
}

func (s *step) addToOpen() {
	s.openedAt = s.job.p.now
	s.waitedUntil = s.openedAt
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

// taskSucceeded handles the success of a task. One member's success completes
// the whole gang.
func (s *step) taskSucceeded(t *task) {
	if s.Gang {
		s.done = len(s.tasks)
	} else {
		s.done++
	}
	s.removePending(t)
	s.job.markChanged()
	if s.done < len(s.tasks) || s.state == stepComplete {
		return
	}
	s.pending = nil
	stepsChart.Fire(&s.state, evStepComplete, s)
	s.stopRemainingRuns()
	s.job.stepCompleted(s)
}

// stopRemainingRuns stops the runs of a completed step that are still live.
func (s *step) stopRemainingRuns() {
	if s.Gang {
		// The other members have ended with the first one.
		return
	}
	for _, t := range s.tasks {
		t.stopRuns("task is done")
	}
}

// stopGangRun stops all members of a gang's run after one of them has not
// started, since the others would wait for it forever.
func (s *step) stopGangRun(number int) {
	if !s.Gang {
		return
	}
	for _, t := range s.tasks {
		for _, r := range t.liveRuns() {
			if r.id.Number == number {
				r.stop("a member of its gang did not start")
			}
		}
	}
}

func (s *step) removePending(t *task) {
	for i, other := range s.pending {
		if other == t {
			s.addWait()
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			return
		}
	}
}

func (s *step) requeue(t *task) {
	if s.state == stepComplete {
		return
	}
	for _, other := range s.pending {
		if other == t {
			return
		}
	}
	s.waitFor(WaitTurn)
	s.pending = append(s.pending, t)
}

func (s *step) expireTicket(id model.EndpointID) {
	if t, found := s.advice.eligible[id]; found {
		t.expires = time.Time{}
		s.advice.eligible[id] = t
	}
}

// ticketMargin is how long before its expiry a ticket is no longer used. It
// covers the time that a start takes, also on slow instances.
const ticketMargin = 250 * time.Millisecond

// ticket returns the step's ticket for the endpoint if it is valid now for
// the endpoint's current incarnation.
func (s *step) ticket(e *endpoint) (string, bool) {
	t, found := s.advice.eligible[e.ID]
	if !found || t.startedAt != e.Born || !s.job.p.now.Before(t.expires) {
		return "", false
	}
	return t.value, true
}

// ApplyAdvice handles the response to an advice request that arrived at
// respondedAt. tickets is nil if the request failed.
func (p *Planner) ApplyAdvice(q AdviceRequest, tickets map[model.EndpointID]string, respondedAt time.Time) {
	p.dirty = true
	p.countAdviceRequest(q.Cost, -1)
	j := p.jobs[q.Step.Job]
	if j == nil {
		return
	}
	s := j.step(q.Step.Occurrence, q.Step.Step)
	if s == nil {
		return
	}
	s.advice.outstanding = false
	s.placementRetryAt = time.Time{}
	if tickets == nil {
		s.advice.exhaustedAs = 0
		for _, id := range q.Endpoints {
			if _, found := s.advice.eligible[id]; !found {
				delete(s.advice.requested, id)
			}
		}
		s.adviceRetryAt = p.now.Add(adviceRetryDelay)
		return
	}
	queue := p.queueOf(j)
	if queue == nil || queue.Advice == nil {
		return
	}
	s.advice.inOrder = nil
	for id, value := range tickets {
		if e := p.endpoints[id]; e != nil {
			s.advice.eligible[id] = ticket{value: value, expires: respondedAt.Add(queue.Advice.TicketValidity - ticketMargin), startedAt: e.Born}
		}
	}
	averageOf(p.eligibleRatio, j.Queue).add(float64(len(tickets))/float64(len(q.Endpoints)), eligibleRatioWindow)
}

// progress returns the progress to be persisted and whether there is any.
func (s *step) progress() (jobs.StepProgress, bool) {
	row := jobs.StepProgress{Occurrence: s.id.Occurrence, Step: s.id.Step}
	if s.state == stepComplete {
		row.Complete = true
		return row, true
	}
	found := false
	for i, t := range s.tasks {
		if t.state == taskDone {
			row.Done = append(row.Done, i)
			found = true
		}
		if len(t.failedRuns) > 0 {
			if row.Failures == nil {
				row.Failures = map[int][]int{}
			}
			row.Failures[i] = t.failedRuns
			found = true
		}
		if len(t.ends) > 0 {
			if row.Ends == nil {
				row.Ends = map[int][]jobs.RunEnd{}
			}
			row.Ends[i] = t.ends
			found = true
		}
		if t.lastCheckpoint != "" {
			if row.Saved == nil {
				row.Saved = map[int]string{}
			}
			row.Saved[i] = t.lastCheckpoint
			found = true
		}
		if t.relocated && t.state != taskDone {
			row.Moved = append(row.Moved, i)
			found = true
		}
		for _, r := range t.liveRuns() {
			if r.state != runReserved {
				row.Runs = append(row.Runs, jobs.RunRecord{
					Task: i, Number: r.id.Number, Endpoint: r.endpoint.ID, Born: r.born, Survived: r.survived && len(t.ends) > 0,
				})
				found = true
			}
		}
	}
	if s.lastRun > s.job.p.epochNumber()+runsPerEpoch {
		row.LastRun = s.lastRun
		found = true
	}
	return row, found
}

func (s *step) restore(row jobs.StepProgress) {
	s.inheritedRun = row.LastRun
	s.lastRun = max(s.lastRun, row.LastRun)
	for i, ends := range row.Ends {
		if t := s.taskAt(i); t != nil {
			t.setEnds(slices.Clone(ends))
			t.endedAt = s.job.p.now
		}
	}
	for i, numbers := range row.Failures {
		if t := s.taskAt(i); t != nil {
			t.setFailedRuns(numbers)
		}
	}
	for i, saved := range row.Saved {
		if t := s.taskAt(i); t != nil {
			t.lastCheckpoint = saved
		}
	}
	for _, i := range row.Moved {
		if t := s.taskAt(i); t != nil {
			t.relocated = true
		}
	}
	if row.Complete {
		s.completeAll()
		return
	}
	for _, record := range row.Runs {
		if t := s.taskAt(record.Task); t != nil {
			s.job.p.inherit(t, record)
		}
	}
	for _, i := range row.Done {
		if t := s.taskAt(i); t != nil {
			t.fire(evTaskSucceed)
		}
	}
}

// taskAt returns the task with the index; nil if there is none.
func (s *step) taskAt(index int) *task {
	if index < 0 || index >= len(s.tasks) {
		return nil
	}
	return s.tasks[index]
}

func (s *step) completeAll() {
	for _, t := range s.tasks {
		if s.state == stepComplete {
			return
		}
		t.fire(evTaskSucceed)
	}
}
