package work

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// maxAvoided is how many endpoints a task remembers as having failed it.
const maxAvoided = 8

// Task is one task of a job.
type Task struct {
	// Job is the job of the task.
	Job *Job
	// Index is the task's place in the job.
	Index int
	// Number is the number of the latest attempt.
	Number int
	// Failures counts the attempts that failed.
	Failures int
	// Node is where the latest attempt runs; nil when none is live.
	Node *Node
	// NodeIndex is the task's place among the node's tasks.
	NodeIndex int
	// Size is what the live attempt has committed.
	Size model.Resources
	// PeakUsage is the most that an earlier attempt used.
	PeakUsage model.Resources
	// Excess is the reported usage above Size.
	Excess model.Resources
	// OversizeReports counts the reports in a row with usage above Size.
	OversizeReports int
	// Started is when the live attempt was placed.
	Started time.Time
	// ExpectedEnd is when the live attempt is expected to end.
	ExpectedEnd time.Time
	// BackoffEnds is the end of the backoff.
	BackoffEnds time.Time
	// Treatment is how a halt is to be carried out.
	Treatment model.Treatment
	// Throttled says that the live attempt has been throttled.
	Throttled bool
	// Timer is the entry of the task's backoff.
	Timer Timer

	state        chart.State
	assumed      bool
	next         *Task
	avoided      [maxAvoided]model.EndpointID
	avoidedCount int
}

// taskMachine is the chart of tasks.
var taskMachine = chart.MustBind(charts.MustLoad("task"),
	chart.Guards[Task]{
		"may_retry":  func(t *Task) bool { return t.Job.Host.MayRetry(t) },
		"repeatable": func(t *Task) bool { return t.Job.Repeatable() },
	},
	chart.Actions[Task]{
		"commit":      func(t *Task) { t.Job.Host.Commit(t) },
		"release":     func(t *Task) { t.Job.Host.Release(t) },
		"enqueue":     func(*Task) {},
		"set_backoff": func(t *Task) { t.Job.Host.SetBackoff(t) },
		"halt":        func(t *Task) { t.Job.Host.Halt(t) },
	})

// Event is something that happens to a task.
type Event = chart.Event

// The events of tasks.
var (
	// Place starts an attempt on t.Node.
	Place = taskMachine.MustEvent("place")
	// Adopt takes over a running attempt on t.Node.
	Adopt = taskMachine.MustEvent("adopt")
	// Restore says that the task succeeded under a former holder.
	Restore = taskMachine.MustEvent("restore")
	// MarkUnknown says that nobody will know the outcome.
	MarkUnknown = taskMachine.MustEvent("mark_unknown")
	// Confirm says that the endpoint has started the attempt.
	Confirm = taskMachine.MustEvent("confirm")
	// Reject says that the attempt never ran.
	Reject = taskMachine.MustEvent("reject")
	// Succeed says that the attempt succeeded.
	Succeed = taskMachine.MustEvent("succeed")
	// Fail says that the attempt failed.
	Fail = taskMachine.MustEvent("fail")
	// Interrupt says that the attempt was stopped.
	Interrupt = taskMachine.MustEvent("interrupt")
	// Lose says that nobody knows whether the attempt ran.
	Lose = taskMachine.MustEvent("lose")
	// Preempt halts the attempt so that the task runs again later.
	Preempt = taskMachine.MustEvent("preempt")
	// BackoffDue says that the backoff has ended.
	BackoffDue = taskMachine.MustEvent("backoff_due")

	taskAbandon = taskMachine.MustEvent("abandon")

	queuedTasks    = taskMachine.MustSet("queued")
	backoffTasks   = taskMachine.MustSet("backoff")
	liveTasks      = taskMachine.MustSet("live")
	placedTasks    = taskMachine.MustSet("placed")
	succeededTasks = taskMachine.MustSet("succeeded")
	failedTasks    = taskMachine.MustSet("failed")
	unknownTasks   = taskMachine.MustSet("unknown")
)

// Fire hands the event to the task, reports whether it had an effect and keeps
// the job's counts. The caller calls Review on the job afterwards.
func (t *Task) Fire(e Event) bool { return t.fire(e) }

func (t *Task) fire(e Event) bool {
	j, before := t.Job, t.state
	if !taskMachine.Fire(&t.state, e, t) {
		return false
	}
	if queuedTasks.Has(before) && !queuedTasks.Has(t.state) {
		j.removeQueued(t)
	}
	if !queuedTasks.Has(before) && queuedTasks.Has(t.state) {
		j.pushQueued(t)
	}
	j.Backoff += setDelta(backoffTasks, before, t.state)
	j.Live += setDelta(liveTasks, before, t.state)
	j.Done += setDelta(succeededTasks, before, t.state)
	if !liveTasks.Has(t.state) {
		t.clearAssumed()
	}
	t.recordEnd()
	return true
}

// Assume notes that no endpoint has confirmed the attempt yet.
func (t *Task) Assume() {
	t.assumed = true
	t.Job.Assumed++
}

// MarkRan notes that the attempt has surely run.
func (t *Task) MarkRan() {
	t.clearAssumed()
	t.Job.Ran = true
}

// clearAssumed ends the assumption.
func (t *Task) clearAssumed() {
	if t.assumed {
		t.assumed = false
		t.Job.Assumed--
	}
}

// recordEnd records what a task's end for good means for its job.
func (t *Task) recordEnd() {
	j := t.Job
	if j.Code != 0 {
		return
	}
	if failedTasks.Has(t.state) {
		j.Code, j.Reason = result.TaskFailed, "a task failed and may not or can no longer be retried"
	}
	if unknownTasks.Has(t.state) {
		j.Code, j.Reason = result.OutcomeUnknown, "the endpoint of a task that may not be repeated is gone"
	}
}

// setDelta is 1 when the set is entered, -1 when it is left, else 0.
func setDelta(set chart.StateSet, before, after chart.State) int {
	count := 0
	if set.Has(before) {
		count--
	}
	if set.Has(after) {
		count++
	}
	return count
}

// Attempt names the latest attempt.
func (t *Task) Attempt() model.AttemptID {
	return model.AttemptID{Task: model.TaskID{Request: t.Job.Request.ID, Index: t.Index}, Number: t.Number}
}

// Live reports whether an attempt counts against an endpoint.
func (t *Task) Live() bool { return liveTasks.Has(t.state) }

// Placed reports whether an attempt is assumed or running and not halted.
func (t *Task) Placed() bool { return placedTasks.Has(t.state) }

// Avoid keeps the task off an endpoint that failed it.
func (t *Task) Avoid(id model.EndpointID) {
	if t.Avoids(id) {
		return
	}
	t.avoided[t.avoidedCount%maxAvoided] = id
	t.avoidedCount++
}

// Avoids reports whether the task is kept off the endpoint.
func (t *Task) Avoids(id model.EndpointID) bool {
	for _, avoided := range t.avoided[:min(t.avoidedCount, maxAvoided)] {
		if avoided == id {
			return true
		}
	}
	return false
}
