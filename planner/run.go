package planner

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// run is one run of a task, from its reservation to its end.
type run struct {
	id       jobs.RunID
	task     *task
	endpoint *endpoint
	size     model.Resources
	state    chart.State
	// enteredAt is when the current state was entered. repliedAt is when the
	// endpoint last confirmed or reported the run, or when it was inherited:
	// a listing requested after that has to show it.
	enteredAt, repliedAt time.Time
	// reason is why the run is being stopped.
	reason string
	// percent is the run's progress, progressAt when it last changed.
	percent    float64
	progressAt time.Time
	// unchangedFor is the time in which listings have shown that neither percent nor
	// state changed, listedAt when the last one that showed the run arrived.
	unchangedFor time.Duration
	listedAt     time.Time
	// firstPercent is the first progress that the endpoint reported, at
	// firstPercentAt.
	firstPercent   float64
	firstPercentAt time.Time
	// startedAt is when the run was confirmed or first reported.
	startedAt time.Time
	// stopCost is its preemptionCost when the preemptible runs of its endpoint were last
	// determined.
	stopCost float64
	// lastListing is the sequence number of the last listing that showed the
	// run.
	lastListing uint64
	// releasing is set while the run is being stopped, so that its capacity
	// will soon be free.
	releasing bool
	// born is the start time of the endpoint's incarnation to which the run was
	// dispatched; 0 if it is not known.
	born int64
	// sentAt is when its start was sent, or when the run was inherited; zero if it has
	// not been sent. survived is set once the run has been listed survivalTime after
	// its start.
	sentAt   time.Time
	survived bool
	// silentAt is when its endpoint stopped responding; zero while it lists the run.
	silentAt time.Time
	// inherited is set if a former holder started the run.
	inherited bool
	// failed is set if the endpoint has listed its end as failed, refused if its start was
	// not executed.
	failed, refused bool
	// startInFlight is set while the start may still be executed. startSettledAt is when
	// that ended.
	startInFlight  bool
	startSettledAt time.Time
	// projectedRunTime is the run time of the whole task at the rate of progress that was last
	// measured, from progressMark on; 0 before that. bestRunTime is the shortest one measured
	// before.
	projectedRunTime, bestRunTime time.Duration
	progressMark                  progressMark
	// logSlowdown is the logarithm of the run's slowdown, slowdownWeight its weight in that of
	// the endpoint.
	logSlowdown, slowdownWeight float64
	// resumed is set if the run was started from a checkpoint.
	resumed bool
}

type runEvent = chart.Event

var runsChart *chart.Machine[run]

var (
	evDispatch, evConfirm, evReported, evRefused, evNoResponse, evStop runEvent
	evInherit, evStopConfirmed, evEnd, evAbsent, evLapse, evRestarted  runEvent
	// evYield makes a run yield its capacity, evKeep ends that.
	evYield, evKeep                                            runEvent
	runReserved, runStarting, runRunning, runYielding, runGone chart.State
	// releasingStates are the states of a run whose capacity will soon be free.
	releasingStates chart.StateSet
)

func init() {
	runsChart = chart.MustBind(charts.MustLoad("cell_run"),
		chart.Guards[run]{
			"listed":        func(r *run) bool { return r.lastListing > 0 },
			"start_settled": func(r *run) bool { return !r.startInFlight },
		},
		chart.Actions[run]{
			"send_start": (*run).sendStart,
			"send_stop":  (*run).sendStop,
		})
	evInherit = runsChart.MustEvent("inherit")
	evDispatch = runsChart.MustEvent("dispatch")
	evConfirm = runsChart.MustEvent("confirm")
	evReported = runsChart.MustEvent("reported")
	evRefused = runsChart.MustEvent("refused")
	evNoResponse = runsChart.MustEvent("no_response")
	evStop = runsChart.MustEvent("stop")
	evYield = runsChart.MustEvent("yield")
	evKeep = runsChart.MustEvent("keep")
	evStopConfirmed = runsChart.MustEvent("stop_confirmed")
	evEnd = runsChart.MustEvent("end")
	evAbsent = runsChart.MustEvent("absent")
	evLapse = runsChart.MustEvent("lapse")
	evRestarted = runsChart.MustEvent("restarted")
	runReserved = runsChart.MustState("reserved")
	runStarting = runsChart.MustState("starting")
	runRunning = runsChart.MustState("running")
	runYielding = runsChart.MustState("yielding")
	runGone = runsChart.MustState("gone")
	releasingStates = runsChart.MustSet("yielding", "stopping", "ending")
}

// newRun reserves capacity on the endpoint for a run of the task.
func (p *Planner) newRun(t *task, e *endpoint, number int) *run {
	r := &run{
		id:   jobs.RunID{Task: t.id, Number: number},
		task: t, endpoint: e, size: t.step.Committed(), enteredAt: p.now, progressAt: p.now,
	}
	runsChart.Start(&r.state, r)
	t.observeNumber(number)
	p.runs[r.id] = r
	p.reserved[r] = true
	if t.cautious() {
		p.cautiousRuns[r] = true
	}
	e.addRun(r)
	p.teamOf(t.step.job.Team).running = p.teamOf(t.step.job.Team).running.Add(r.size)
	t.step.job.liveRuns++
	if t.run == nil {
		t.run = r
	} else {
		t.secondRun = r
	}
	t.step.removePending(t)
	t.fire(evTaskAssign)
	return r
}

// observeNumber records the number of a run of the task, also of one that a former holder
// started.
func (t *task) observeNumber(number int) {
	t.lastNumber = max(t.lastNumber, number)
	t.step.lastRun = max(t.step.lastRun, number)
}

// fire applies an event to the run. A run that has ended releases its
// capacity.
func (r *run) fire(event runEvent) {
	before := r.state
	if !runsChart.Fire(&r.state, event, r) || r.state == before {
		return
	}
	p := r.task.step.job.p
	p.dirty = true
	if event == evConfirm || event == evStopConfirmed || event == evReported || event == evInherit {
		r.repliedAt = p.now
	}
	if event == evConfirm || event == evReported {
		r.task.step.job.executed = true
	}
	if (event == evConfirm || event == evReported) && before == runStarting {
		endpointsChart.Fire(&r.endpoint.state, evEndpointConfirmed, r.endpoint)
	}
	if event == evConfirm || event == evReported || event == evInherit || event == evNoResponse && before == runStarting {
		r.markSent()
	}
	if before == runReserved {
		delete(p.reserved, r)
		p.recordReservation(r, r.state == runGone)
		r.endpoint.markDispatched(r)
		r.born = r.endpoint.Born
	}
	r.endpoint.runChanges++
	r.enteredAt, r.unchangedFor = p.now, 0
	if r.state == runRunning && before != runYielding {
		r.startedAt = p.now
	}
	r.endpoint.updateReleasing(r, releasingStates.Has(r.state))
	if before == runReserved && r.state != runGone {
		r.task.step.job.started = true
		r.task.step.job.markChanged()
	}
	if r.state == runGone {
		p.release(r, event, before)
	}
}

// release frees the capacity of a run that the event has ended in the given state.
// The task becomes pending again unless the end of the run carried a result.
func (p *Planner) release(r *run, event runEvent, before chart.State) {
	p.detach(r)
	t := r.task
	if before != runReserved {
		p.recordEnd(r, event)
		if r.lostWithEndpoint(event) {
			p.recordLoss(r, event)
		}
	}
	if event != evEnd {
		t.fire(evTaskRelease)
	}
	t.step.job.runEnded()
}

// detach removes an ended run from its endpoint, its team and its task.
func (p *Planner) detach(r *run) {
	p.markFreed(r.endpoint)
	r.endpoint.keepSlowdown(r, p.now)
	delete(p.runs, r.id)
	delete(p.cautiousRuns, r)
	r.endpoint.removeRun(r)
	team := p.teamOf(r.task.step.job.Team)
	team.running = team.running.Sub(r.size)
	t := r.task
	if t.run == r {
		t.run, t.secondRun = t.secondRun, nil
	} else if t.secondRun == r {
		t.secondRun = nil
	}
}

// stop requests that the run be stopped.
func (r *run) stop(reason string) {
	r.reason = reason
	r.fire(evStop)
}

func (r *run) sendStart() {
	p, s := r.task.step.job.p, r.task.step
	ticket, _ := s.ticket(r.endpoint)
	r.resumed = r.task.checkpoint() != ""
	p.plan.Starts = append(p.plan.Starts, Start{
		Run: r.id, Endpoint: r.endpoint.ID, Spec: s.job.Spec, Saved: r.task.checkpoint(), Ticket: ticket,
		Queue: s.job.Queue, Team: s.job.Team, Waited: p.now.Sub(s.openedAt),
	})
}

func (r *run) sendStop() {
	p := r.task.step.job.p
	p.plan.Stops = append(p.plan.Stops, Stop{Run: r.id, Endpoint: r.endpoint.ID, Reason: r.reason})
}

// ApplyListing applies an endpoint's listing that was requested at requestedAt. It
// returns the unknown runs, which the caller has to stop. A run that the
// listing does not show has ended, unless the listing has further pages.
func (p *Planner) ApplyListing(id model.EndpointID, l fleet.Listing, requestedAt time.Time) []jobs.RunID {
	e := p.endpoints[id]
	if e == nil {
		return nil
	}
	p.listingSeq++
	p.dirty = true
	e.markListed(p, l.Born, requestedAt)
	var unknown []jobs.RunID
	for _, end := range l.Ended {
		p.applyEnd(e, end)
	}
	for _, s := range l.Running {
		if !p.applyRunStatus(e, s, requestedAt) {
			unknown = append(unknown, s.Run)
		}
	}
	if e.unknownRuns != (len(unknown) > 0) {
		e.unknownRuns = !e.unknownRuns
		p.markFreed(e)
	}
	if !l.More {
		p.findAbsent(e, requestedAt)
	}
	return unknown
}

// applyRunStatus applies the status of a running task, from a listing requested at
// requestedAt. It returns false if the run is unknown.
func (p *Planner) applyRunStatus(e *endpoint, s fleet.RunStatus, requestedAt time.Time) bool {
	r := p.runs[s.Run]
	if r == nil {
		if r = p.adopt(e, s.Run); r == nil {
			return false
		}
	}
	if r.endpoint != e {
		return true
	}
	r.lastListing, r.silentAt = p.listingSeq, time.Time{}
	r.startInFlight = false
	if r.firstPercentAt.IsZero() {
		r.firstPercent, r.firstPercentAt = s.Percent, p.now
	}
	if s.Percent != r.percent {
		r.percent, r.progressAt, r.unchangedFor = s.Percent, p.now, 0
	} else if !r.listedAt.IsZero() && !r.listedAt.Before(e.silenceEndedAt) {
		r.unchangedFor += min(p.now.Sub(r.listedAt), maxListingGap)
	}
	r.listedAt = p.now
	r.task.setCheckpoint(s.Saved)
	r.fire(evReported)
	if p.policy.Relocation && r.task.step.measurable() {
		r.projectRunTime(p.now)
	}
	r.checkSurvival(requestedAt)
	if r.task.step.Lasting && r.survived && s.Percent >= workingPercent {
		r.task.clearEnds()
	}
	return true
}

// adopt creates the state of a run that a previous holder started.
func (p *Planner) adopt(e *endpoint, id jobs.RunID) *run {
	t := p.task(id.Task)
	if t == nil || t.state == taskDone || t.step.job.closing() || (t.run != nil && t.secondRun != nil) {
		return nil
	}
	if t.run != nil && !t.step.Copies {
		return nil
	}
	r := p.newRun(t, e, id.Number)
	r.inherited = true
	return r
}

// task returns a task that an endpoint has named; nil if the planner does not hold its
// job or its occurrence is not due. Occurrences that a former holder has started were
// opened when its progress was restored.
func (p *Planner) task(id jobs.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil {
		return nil
	}
	j.openDueOccurrences()
	s := j.step(id.Occurrence, id.Step)
	if s == nil {
		return nil
	}
	return s.taskAt(id.Index)
}

// applyEnd applies the end of a run. The run may have been started by a
// previous holder or have been given up already.
func (p *Planner) applyEnd(e *endpoint, end fleet.End) {
	r := p.runs[end.Run]
	if r != nil && r.endpoint != e {
		return
	}
	t := p.task(end.Run.Task)
	if t == nil {
		return
	}
	t.step.job.executed = true
	t.observeNumber(end.Run.Number)
	t.setCheckpoint(end.Saved)
	t.refuteLoss(e.ID, end.Run.Number, end.Outcome == fleet.RunFailed)
	var result chart.Event
	switch end.Outcome {
	case fleet.Succeeded:
		result = evTaskSucceed
		t.clearEnds()
		e.recordSuccess()
		if r != nil {
			p.recordSuccess(r)
			p.recordCompletion(r)
		}
	case fleet.RunFailed:
		result = evTaskFail
		if r != nil {
			r.failed = true
		}
		p.recordTaskFailure(t, e, end.Run.Number)
	default:
		result = evTaskRelease
	}
	p.finishRun(t, r, result)
}

// finishRun ends the run, if it is live, and applies the result to the task.
func (p *Planner) finishRun(t *task, r *run, result chart.Event) {
	if r != nil {
		t.step.job.liveRuns++ // The job must not become idle before the result is applied.
		r.fire(evEnd)
	}
	t.fire(result)
	if result == evTaskSucceed && t.state == taskDone {
		t.stopRuns("another run of the task succeeded")
	}
	if r != nil {
		t.step.job.runEnded()
	}
}

func (p *Planner) recordTaskFailure(t *task, e *endpoint, number int) {
	first := len(t.failureOwner().failedRuns) == 0
	if t.recordFailure(number, e.ID) {
		e.recordFailure(p, first)
	}
}

// inherit takes over a run that the previous holder recorded.
func (p *Planner) inherit(t *task, record jobs.RunRecord) {
	e := p.endpoints[record.Endpoint]
	if e == nil {
		e = p.addEndpoint(fleet.Endpoint{ID: record.Endpoint, Leaving: true})
	}
	if t.run != nil && t.secondRun != nil || p.runs[jobs.RunID{Task: t.id, Number: record.Number}] != nil {
		return
	}
	r := p.newRun(t, e, record.Number)
	r.inherited, r.survived = true, record.Survived
	if r.survived {
		delete(p.cautiousRuns, r)
	}
	r.fire(evInherit)
	r.born = record.Born
}

// RunBorn returns the start time of the incarnation of the endpoint on which the live run
// was started; 0 if that is not known or the run is elsewhere.
func (p *Planner) RunBorn(id jobs.RunID, endpoint model.EndpointID) int64 {
	if r := p.runs[id]; r != nil && r.endpoint.ID == endpoint {
		return r.born
	}
	return 0
}

// StartPending reports whether the run still waits for its start to be sent or
// confirmed.
func (p *Planner) StartPending(id jobs.RunID) bool {
	r := p.runs[id]
	return r != nil && r.state == runStarting
}

// ListedRuns returns the live runs of the job that a listing has shown.
func (p *Planner) ListedRuns(id jobs.ID) []jobs.RunID {
	j := p.jobs[id]
	if j == nil {
		return nil
	}
	var listed []jobs.RunID
	for _, s := range j.steps {
		for _, t := range s.tasks {
			for _, r := range t.liveRuns() {
				if r.lastListing > 0 {
					listed = append(listed, r.id)
				}
			}
		}
	}
	return listed
}

// findAbsent ends the runs that the listing should have shown but did not.
func (p *Planner) findAbsent(e *endpoint, requestedAt time.Time) {
	for _, r := range e.sortedRuns() {
		if r.lastListing != p.listingSeq && r.listingDue(requestedAt) {
			r.fire(evAbsent)
		}
	}
}

// listingDue reports whether a listing requested at requestedAt has to show the run if it
// has not ended: the endpoint had replied about it before, and its start was not executed
// later.
func (r *run) listingDue(requestedAt time.Time) bool {
	return !r.repliedAt.IsZero() && r.repliedAt.Before(requestedAt) &&
		!r.startInFlight && !requestedAt.Before(r.startSettledAt)
}
