package planner

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// task is one task of a step.
type task struct {
	step  *step
	id    jobs.TaskID
	state chart.State
	// number is the number of its latest run within this epoch.
	lastNumber int
	// failed are the numbers of the runs that failed.
	failedRuns []int
	// avoided are the endpoints where it failed.
	avoidedEndpoints []model.EndpointID
	// preempted counts how often it was stopped for others.
	preemptions int
	// saved is its last checkpoint.
	lastCheckpoint string
	// run is its live run, copy a second one of a task that may have copies.
	run, secondRun *run
}

var tasksChart *chart.Machine[task]

var evTaskAssign, evTaskRelease, evTaskSucceed, evTaskFail chart.Event

var taskDone chart.State

func init() {
	tasksChart = chart.MustBind(charts.MustLoad("cell_task"),
		chart.Guards[task]{
			"lasting":   func(t *task) bool { return t.step.Lasting },
			"may_retry": (*task).mayRetry,
		},
		chart.Actions[task]{
			"requeue":        func(t *task) { t.step.requeue(t) },
			"record_success": func(t *task) { t.step.taskSucceeded(t) },
			"fail_job":       (*task).failJob,
		})
	evTaskAssign = tasksChart.MustEvent("assign")
	evTaskRelease = tasksChart.MustEvent("release")
	evTaskSucceed = tasksChart.MustEvent("succeed")
	evTaskFail = tasksChart.MustEvent("fail")
	taskDone = tasksChart.MustState("done")
}

func (t *task) fire(event chart.Event) { tasksChart.Fire(&t.state, event, t) }

// counted returns the task whose failures count: a gang fails as one.
func (t *task) failureOwner() *task {
	if t.step.Gang {
		return t.step.tasks[0]
	}
	return t
}

// mayRetry reports whether the task may fail once more. The failure in question
// has been noted.
func (t *task) mayRetry() bool {
	if t.step.Lasting {
		return true
	}
	queue := t.step.job.p.queueOf(t.step.job)
	if queue == nil {
		// The queue has left the configuration: nothing of it can be started.
		return true
	}
	return len(t.failureOwner().failedRuns) < queue.Attempts
}

func (t *task) failJob() {
	t.step.job.finish(jobs.Failed, "task "+t.id.String()+" failed as often as its queue allows")
}

// noteFailure adds a failed run; a run that is known already is not counted
// again. It reports whether the run was new.
func (t *task) recordFailure(number int, id model.EndpointID) bool {
	owner := t.failureOwner()
	if slices.Contains(owner.failedRuns, number) {
		return false
	}
	owner.failedRuns = append(owner.failedRuns, number)
	if id != "" {
		t.avoidedEndpoints = append(t.avoidedEndpoints, id)
	}
	t.step.job.markChanged()
	return true
}

// copies returns the task's live runs.
func (t *task) liveRuns() []*run {
	var live []*run
	for _, r := range []*run{t.run, t.secondRun} {
		if r != nil {
			live = append(live, r)
		}
	}
	return live
}

// stopRuns stops the task's runs.
func (t *task) stopRuns(reason string) {
	for _, r := range t.liveRuns() {
		r.stop(reason)
	}
}

// checkpoint returns the state that the task's next run goes on from.
func (t *task) checkpoint() string {
	if t.step.Gang {
		return t.step.gangCheckpoint
	}
	return t.lastCheckpoint
}

func (t *task) setCheckpoint(checkpoint string) {
	if checkpoint == "" {
		return
	}
	t.lastCheckpoint = checkpoint
	if t.step.Gang {
		t.step.gangCheckpoint = checkpoint
	}
}
