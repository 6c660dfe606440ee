package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// job is an accepted job and its progress.
type job struct {
	*jobs.Job
	p     *Planner
	state chart.State
	// accepted is the time of acceptance on the monotonic clock.
	accepted time.Time
	started  bool
	// executed is set when a task is known to have begun: its start was confirmed, or a
	// listing has shown it.
	executed bool
	outcome  jobs.State
	reason   string
	// recordedOutcome is the outcome that a former holder has recorded, for
	// recordedReason; empty for none.
	recordedOutcome jobs.State
	recordedReason  string
	// steps are the steps of all opened occurrences, in order; remainingSteps
	// counts the steps of all occurrences that are not complete.
	steps             []*step
	remainingSteps    int
	openedOccurrences int
	liveRuns          int
	// surplus is set when the team had exceeded its weight at the time the
	// job was accepted, or when its more recent jobs use up its burst at a
	// take-over.
	surplus bool
	// waits is the time that its steps have waited, preemptions the number of its
	// runs that were stopped for more urgent work.
	waits       Waits
	preemptions int
	// queue caches the configuration of its queue in queueFrom.
	queue     *catalog.Queue
	queueFrom *catalog.Catalog
}

// jobsChart is bound in init because its actions fire events of tasks and
// runs, whose charts refer to it in turn.
var jobsChart *chart.Machine[job]

var evJobFinish, evJobIdle chart.Event

var jobClosing chart.StateSet

func init() {
	jobsChart = chart.MustBind(charts.MustLoad("cell_job"),
		chart.Guards[job]{"has_runs": func(j *job) bool { return j.liveRuns > 0 }},
		chart.Actions[job]{
			"report_outcome": (*job).reportOutcome,
			"stop_runs":      func(j *job) { j.stopRuns("job is " + string(j.outcome)) },
			"remove":         (*job).remove,
		})
	evJobFinish = jobsChart.MustEvent("finish")
	evJobIdle = jobsChart.MustEvent("idle")
	jobClosing = jobsChart.MustSet("closing", "gone")
}

func (j *job) closing() bool { return jobClosing.Has(j.state) }

// AddJob adds an accepted job and restores its recorded progress, which is
// nil for a new job. A job that is already there is left unchanged.
func (p *Planner) AddJob(accepted *jobs.Job, progress *jobs.Progress) {
	if p.jobs[accepted.ID] != nil {
		return
	}
	j := &job{Job: accepted, p: p, accepted: p.acceptedAt(accepted)}
	jobsChart.Start(&j.state, j)
	p.jobs[j.ID] = j
	j.surplus = !p.teamOf(j.Team).takeToken(p, j.accepted)
	j.remainingSteps = j.OccurrenceCount() * len(j.Steps)
	p.scheduled[j] = true
	p.dirty = true
	if progress != nil {
		j.restore(progress)
		j.applyLimits()
	}
	if j.Cancelled {
		j.finish(jobs.Cancelled, "cancelled by its caller")
	}
}

// Restore adds the accepted jobs of a former holder with their recorded progress. Of
// each team, the jobs that were accepted last use its burst, and the older ones
// beyond it count as surplus: of a backlog, the most recent jobs are those that can
// still meet their objectives.
func (p *Planner) Restore(accepted map[jobs.ID]*jobs.Job, progress map[jobs.ID]*jobs.Progress) {
	list := slices.SortedFunc(maps.Values(accepted), func(a, b *jobs.Job) int {
		return cmp.Or(cmp.Compare(b.Accepted, a.Accepted), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range list {
		p.AddJob(j, progress[j.ID])
	}
}

// acceptedAt converts the job's time of acceptance to the monotonic clock.
// The wall clocks of two instances may differ, so a negative age counts as
// zero.
func (p *Planner) acceptedAt(j *jobs.Job) time.Time {
	age := time.Duration(max(p.wallMillis-j.Accepted, 0)) * time.Millisecond
	return p.now.Add(-age)
}

// CancelJob cancels the job: no further task starts, and live runs are
// stopped.
func (p *Planner) CancelJob(id jobs.ID) {
	if j := p.jobs[id]; j != nil {
		j.Cancelled = true
		j.finish(jobs.Cancelled, "cancelled by its caller")
	}
	p.dirty = true
}

// HasJob reports whether the planner holds the job.
func (p *Planner) HasJob(id jobs.ID) bool { return p.jobs[id] != nil }

// RemovedSincePlan reports whether the job is among the removed jobs of the plan that is
// taken next.
func (p *Planner) RemovedSincePlan(id jobs.ID) bool { return slices.Contains(p.plan.Removed, id) }

// finish decides the job's final state. An outcome that a former holder has recorded
// is kept.
func (j *job) finish(state jobs.State, reason string) {
	if j.outcome != "" {
		return
	}
	if j.recordedOutcome != "" {
		state, reason = j.recordedOutcome, j.recordedReason
	}
	j.outcome, j.reason = state, reason
	jobsChart.Fire(&j.state, evJobFinish, j)
}

// applyLimits fails the job if one of its waiting tasks has failed as often as its queue
// allows now.
func (j *job) applyLimits() {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			t.fire(evTaskLimitsChanged)
		}
	}
}

func (j *job) reportOutcome() {
	j.markChanged()
	for _, s := range j.steps {
		s.addWait()
	}
	j.p.plan.Outcomes = append(j.p.plan.Outcomes, Outcome{
		Job: j.ID, State: j.outcome, Reason: j.reason, Inherited: j.recordedOutcome != "", Took: j.p.now.Sub(j.accepted), Queue: j.Queue, Team: j.Team,
		Account: j.account(),
	})
	for _, s := range j.steps {
		j.p.closeStep(s)
	}
	delete(j.p.scheduled, j)
}

func (j *job) stopRuns(reason string) {
	for _, s := range j.steps {
		if s.Gang && s.state == stepComplete {
			// The members have ended together; the next listings will show
			// this.
			continue
		}
		for _, t := range s.tasks {
			t.stopRuns(reason)
		}
	}
}

func (j *job) remove() {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			t.setEnds(nil)
		}
	}
	j.p.plan.Removed = append(j.p.plan.Removed, j.ID)
	delete(j.p.jobs, j.ID)
}

// markChanged schedules the job's progress to be persisted.
func (j *job) markChanged() {
	j.p.plan.Changed = append(j.p.plan.Changed, j.ID)
	j.p.dirty = true
}

// runEnded is called when one of the job's runs has ended.
func (j *job) runEnded() {
	j.liveRuns--
	if j.liveRuns == 0 {
		jobsChart.Fire(&j.state, evJobIdle, j)
	}
}

// stepCompleted is called when a step is complete.
func (j *job) stepCompleted(s *step) {
	j.remainingSteps--
	j.markChanged()
	if j.remainingSteps == 0 {
		j.finish(jobs.Completed, "all tasks succeeded")
		return
	}
	j.openNext(s.id.Occurrence)
}

// openNext opens the steps of the occurrence whose prerequisites are
// complete, unless the job's final state is decided.
func (j *job) openNext(occurrence int) {
	if j.outcome != "" {
		return
	}
	for i := range j.Steps {
		s := j.step(occurrence, i)
		if s != nil && s.prerequisitesDone() {
			stepsChart.Fire(&s.state, evStepOpen, s)
		}
	}
}

// step returns a step of an opened occurrence, or nil.
func (j *job) step(occurrence, index int) *step {
	position := occurrence*len(j.Steps) + index
	if occurrence < 0 || index < 0 || index >= len(j.Steps) || position >= len(j.steps) {
		return nil
	}
	return j.steps[position]
}

// openOccurrences opens the occurrences that are due.
func (p *Planner) openOccurrences() {
	for j := range p.scheduled {
		j.openDueOccurrences()
		if j.openedOccurrences == j.OccurrenceCount() {
			delete(p.scheduled, j)
		}
	}
}

func (j *job) openDueOccurrences() {
	for j.outcome == "" && j.openedOccurrences < j.OccurrenceCount() && j.dueAt(j.openedOccurrences) <= j.p.wallMillis {
		j.openOccurrence()
	}
}

// dueAt returns when an occurrence may start, in Unix milliseconds.
func (j *job) dueAt(occurrence int) int64 {
	if j.Occurrences == 0 {
		return 0
	}
	return j.First + int64(occurrence)*j.Interval.Milliseconds()
}

func (j *job) openOccurrence() {
	occurrence := j.openedOccurrences
	j.openedOccurrences++
	for i := range j.Steps {
		id := jobs.StepID{Job: j.ID, Occurrence: occurrence, Step: i}
		j.steps = append(j.steps, newStep(j, id, &j.Steps[i]))
	}
	j.openNext(occurrence)
}

// Progress returns the job's progress to be persisted.
func (p *Planner) Progress(id jobs.ID) (jobs.Progress, bool) {
	j := p.jobs[id]
	if j == nil {
		return jobs.Progress{}, false
	}
	progress := jobs.Progress{Started: j.started, Outcome: j.outcome, Reason: j.reason}
	for _, s := range j.steps {
		if row, found := s.progress(); found {
			progress.Steps = append(progress.Steps, row)
		}
	}
	return progress, true
}

// State returns the state that is reported to callers; empty if the job is
// not held.
func (p *Planner) State(id jobs.ID) jobs.State {
	j := p.jobs[id]
	switch {
	case j == nil:
		return ""
	case j.outcome != "":
		return j.outcome
	case j.started:
		return jobs.Running
	default:
		return jobs.Queued
	}
}

// Job returns the accepted job; nil if it is not held.
func (p *Planner) Job(id jobs.ID) *jobs.Job {
	if j := p.jobs[id]; j != nil {
		return j.Job
	}
	return nil
}

// restore applies the recorded progress.
func (j *job) restore(progress *jobs.Progress) {
	j.started, j.recordedOutcome, j.recordedReason = progress.Started, progress.Outcome, progress.Reason
	for _, row := range progress.Steps {
		j.executed = j.executed || row.Executed()
		for j.openedOccurrences <= row.Occurrence && j.openedOccurrences < j.OccurrenceCount() {
			j.openOccurrence()
		}
		if s := j.step(row.Occurrence, row.Step); s != nil {
			s.restore(row)
		}
	}
	if progress.Outcome != "" {
		j.finish(progress.Outcome, "")
	}
}

// team is the resource use and submission rate of a team.
type team struct {
	name model.TeamName
	// running is the sum of its runs, including reservations.
	running model.Resources
	// tokens is the token bucket of the team's submissions as of refilledAt:
	// jobs submitted while it is empty count as surplus. It is negative until
	// the first job.
	tokens     float64
	refilledAt time.Time
	// exceededAt is when its last surplus job was accepted; zero for none.
	exceededAt time.Time
}

// surplusBurstSeconds is the size of a team's token bucket, in seconds of its
// weight.
const surplusBurstSeconds = 3

func (p *Planner) teamOf(name model.TeamName) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{name: name, tokens: -1}
		p.teams[name] = t
	}
	return t
}

// takeToken takes a token for a job accepted at the given time. It returns
// false if the team has exceeded its weight.
func (t *team) takeToken(p *Planner, at time.Time) bool {
	if p.catalog == nil || p.catalog.Teams[t.name] == nil {
		return true
	}
	weight := p.catalog.Teams[t.name].Weight
	if weight <= 0 {
		return true
	}
	burst := surplusBurstSeconds * weight
	if t.tokens < 0 {
		t.tokens, t.refilledAt = burst, at
	}
	if at.After(t.refilledAt) {
		t.tokens = min(burst, t.tokens+at.Sub(t.refilledAt).Seconds()*weight)
		t.refilledAt = at
	}
	if t.tokens < 1 {
		t.exceededAt = at
		return false
	}
	t.tokens--
	return true
}

// withinLimit reports whether the team's limit allows size to be added to
// what it runs.
func (p *Planner) withinLimit(name model.TeamName, size model.Resources) bool {
	if p.catalog == nil {
		return false
	}
	config := p.catalog.Teams[name]
	if config == nil {
		// The team was removed from the configuration after its job was
		// accepted, or the queue is open to all: there is no limit.
		return true
	}
	running := p.teamOf(name).running
	for i, limit := range config.Limit {
		if limit > 0 && running[i]+size[i] > limit {
			return false
		}
	}
	return true
}
