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
	number int
	// failed are the numbers of the runs that failed.
	failed []int
	// avoided are the endpoints where it failed.
	avoided []model.EndpointID
	// preempted counts how often it was stopped for others.
	preempted int
	// saved is its last checkpoint.
	saved string
	// run is its live run, copy a second one of a task that may have copies.
	run, copy *run
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
			"note_done":      func(t *task) { t.step.taskDone(t) },
			"note_exhausted": (*task).noteExhausted,
		})
	evTaskAssign = tasksChart.MustEvent("assign")
	evTaskRelease = tasksChart.MustEvent("release")
	evTaskSucceed = tasksChart.MustEvent("succeed")
	evTaskFail = tasksChart.MustEvent("fail")
	taskDone = tasksChart.MustState("done")
}

func (t *task) fire(event chart.Event) { tasksChart.Fire(&t.state, event, t) }

// counted returns the task whose failures count: a gang fails as one.
func (t *task) counted() *task {
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
	return len(t.counted().failed) < queue.Attempts
}

func (t *task) noteExhausted() {
	t.step.job.finish(jobs.Failed, "task "+t.id.String()+" failed as often as its queue allows")
}

// noteFailure adds a failed run; a run that is known already is not counted
// again. It reports whether the run was new.
func (t *task) noteFailure(number int, at model.EndpointID) bool {
	c := t.counted()
	if slices.Contains(c.failed, number) {
		return false
	}
	c.failed = append(c.failed, number)
	if at != "" {
		t.avoided = append(t.avoided, at)
	}
	t.step.job.changed()
	return true
}

// copies returns the task's live runs.
func (t *task) copies() []*run {
	var live []*run
	for _, r := range []*run{t.run, t.copy} {
		if r != nil {
			live = append(live, r)
		}
	}
	return live
}

// stopRuns stops the task's runs.
func (t *task) stopRuns(reason string) {
	for _, r := range t.copies() {
		r.stop(reason)
	}
}

// checkpoint returns the state that the task's next run goes on from.
func (t *task) checkpoint() string {
	if t.step.Gang {
		return t.step.gangSaved
	}
	return t.saved
}

func (t *task) keepCheckpoint(saved string) {
	if saved == "" {
		return
	}
	t.saved = saved
	if t.step.Gang {
		t.step.gangSaved = saved
	}
}
