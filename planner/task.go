package planner

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

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
	// lastNumber is the highest number of a run of the task that is known.
	lastNumber int
	// failedRuns are the numbers of the runs that failed; of a lasting task, whose
	// failures have no limit, only the last one.
	failedRuns []int
	// ends are the ends without success of its runs, in the order of their numbers, from
	// the first one on that was lost soon after its start.
	ends []jobs.RunEnd
	// endedAt is when its last run ended, or when its ends were restored.
	endedAt time.Time
	// avoidedEndpoints are the endpoints where a run failed or whose start
	// got no response.
	avoidedEndpoints []model.EndpointID
	// preemptions counts how often the task was stopped for more urgent work.
	preemptions int
	// relocated is set if the task has been moved off a slow endpoint, relocatedFrom is
	// that endpoint; nil if a former holder has moved the task.
	relocated     bool
	relocatedFrom *endpoint
	relocatedAt   time.Time
	// lastCheckpoint is the task's last checkpoint; empty for none.
	lastCheckpoint string
	// run is the task's live run, secondRun a further one of a task that may
	// have copies.
	run, secondRun *run
}

var tasksChart *chart.Machine[task]

var evTaskAssign, evTaskRelease, evTaskSucceed, evTaskFail, evTaskCrash, evTaskLimitsChanged chart.Event

var taskDone chart.State

func init() {
	tasksChart = chart.MustBind(charts.MustLoad("cell_task"),
		chart.Guards[task]{
			"lasting":             func(t *task) bool { return t.step.Lasting },
			"lasting_with_run":    func(t *task) bool { return t.step.Lasting && t.run != nil },
			"has_run":             func(t *task) bool { return t.run != nil },
			"limit_reached":       (*task).limitReached,
			"crash_limit_reached": (*task).crashLimitReached,
		},
		chart.Actions[task]{
			"requeue":           func(t *task) { t.step.requeue(t) },
			"record_success":    func(t *task) { t.step.taskSucceeded(t) },
			"fail_job":          (*task).failJob,
			"fail_crashing_job": (*task).failCrashingJob,
		})
	evTaskAssign = tasksChart.MustEvent("assign")
	evTaskRelease = tasksChart.MustEvent("release")
	evTaskSucceed = tasksChart.MustEvent("succeed")
	evTaskFail = tasksChart.MustEvent("fail")
	evTaskCrash = tasksChart.MustEvent("crash")
	evTaskLimitsChanged = tasksChart.MustEvent("limits_changed")
	taskDone = tasksChart.MustState("done")
}

func compareTasks(a, b *task) int {
	x, y := a.id, b.id
	return cmp.Or(
		strings.Compare(string(x.Job), string(y.Job)), cmp.Compare(x.Occurrence, y.Occurrence),
		cmp.Compare(x.Step, y.Step), cmp.Compare(x.Index, y.Index))
}

func (t *task) fire(event chart.Event) { tasksChart.Fire(&t.state, event, t) }

// failureOwner returns the task whose failures count towards the limit: a
// gang counts them on its first task.
func (t *task) failureOwner() *task {
	if t.step.Gang {
		return t.step.tasks[0]
	}
	return t
}

// limitReached reports whether the task has failed as often as its queue allows.
func (t *task) limitReached() bool {
	failures := len(t.failureOwner().failedRuns)
	if t.step.Lasting || t.step.state == stepComplete || failures == 0 {
		return false
	}
	// While the queue is not in the configuration, none of its tasks can be started.
	queue := t.step.job.p.queueOf(t.step.job)
	return queue != nil && failures >= queue.Attempts
}

func (t *task) failJob() {
	var runs []string
	for _, number := range t.failureOwner().failedRuns {
		runs = append(runs, strconv.Itoa(number))
	}
	t.step.job.finish(jobs.Failed, "task "+t.id.String()+" failed as often as its queue allows, in runs "+strings.Join(runs, ", "))
}

// recordFailure records a failed run and reports whether it was new. A run
// that is already recorded is not counted again.
func (t *task) recordFailure(number int, id model.EndpointID) bool {
	owner := t.failureOwner()
	if slices.Contains(owner.failedRuns, number) {
		return false
	}
	owner.setFailedRuns(append(owner.failedRuns, number))
	if id != "" {
		t.avoid(id)
	}
	t.step.job.markChanged()
	return true
}

// setFailedRuns keeps what the task needs of the numbers, which are in the order in which
// the failures became known.
func (t *task) setFailedRuns(numbers []int) {
	if t.step.Lasting && len(numbers) > 1 {
		numbers = []int{numbers[len(numbers)-1]}
	}
	t.failedRuns = numbers
}

// avoid makes other endpoints preferred for the task.
func (t *task) avoid(id model.EndpointID) {
	if !slices.Contains(t.avoidedEndpoints, id) {
		t.avoidedEndpoints = append(t.avoidedEndpoints, id)
	}
}

// liveRuns returns the task's live runs.
func (t *task) liveRuns() []*run {
	var live []*run
	for _, r := range []*run{t.run, t.secondRun} {
		if r != nil {
			live = append(live, r)
		}
	}
	return live
}

// stopRuns stops the task's live runs.
func (t *task) stopRuns(reason string) {
	for _, r := range t.liveRuns() {
		r.stop(reason)
	}
}

// checkpoint returns the checkpoint from which the task's next run resumes.
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
