package work

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// maxAvoided is the number of endpoints that a task avoids after failures;
// further failures replace the oldest entry.
const maxAvoided = 8

// Task is one task of a job.
type Task struct {
	Job *Job
	// Index is the task's index in the job.
	Index int
	// Number is the number of the latest attempt; 0 before the first.
	Number int
	// Failures counts the failed attempts.
	Failures int
	// Node is the endpoint of the live attempt, or nil.
	Node *Node
	// NodeIndex is the task's index in Node.Tasks.
	NodeIndex int
	// Size is the committed size of the live attempt.
	Size model.Resources
	// PeakUsage is the highest usage reported for any attempt. The next attempt
	// commits at least this size, within the bounds of endpoint and limit.
	PeakUsage model.Resources
	// Excess is the reported usage above Size.
	Excess model.Resources
	// OversizeReports counts the consecutive reports with usage above Size.
	OversizeReports int
	// Started is when the live attempt was placed.
	Started time.Time
	// ExpectedEnd is when the live attempt is expected to end.
	ExpectedEnd time.Time
	// BackoffEnds is the end of the backoff.
	BackoffEnds time.Time
	// Treatment is the treatment to request when the attempt is halted.
	Treatment model.Treatment
	// Throttled is set when the live attempt has been throttled.
	Throttled bool
	// Timer is the entry for the end of the backoff.
	Timer Timer

	state        chart.State
	assumed      bool
	next         *Task
	avoided      [maxAvoided]model.EndpointID
	avoidedCount int
}

// taskMachine is the compiled chart of tasks.
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

// Event is an event of a task or an endpoint.
type Event = chart.Event

// The events and state sets of tasks.
var (
	// Place is fired when an attempt is placed on t.Node.
	Place = taskMachine.MustEvent("place")
	// Adopt is fired when an attempt already running on t.Node is taken over.
	Adopt = taskMachine.MustEvent("adopt")
	// Restore is fired when the task has succeeded under the previous holder.
	Restore = taskMachine.MustEvent("restore")
	// MarkUnknown is fired when the outcome of an earlier attempt can't be
	// determined and the task may not be repeated.
	MarkUnknown = taskMachine.MustEvent("mark_unknown")
	// Confirm is fired when the endpoint has started the attempt.
	Confirm = taskMachine.MustEvent("confirm")
	// Reject is fired when the attempt has not run and never will.
	Reject = taskMachine.MustEvent("reject")
	// Succeed is fired when the attempt has succeeded.
	Succeed = taskMachine.MustEvent("succeed")
	// Fail is fired when the attempt has failed.
	Fail = taskMachine.MustEvent("fail")
	// Interrupt is fired when the attempt was stopped before its end.
	Interrupt = taskMachine.MustEvent("interrupt")
	// Lose is fired when it is unknown whether the attempt ran, since its
	// endpoint was removed.
	Lose = taskMachine.MustEvent("lose")
	// Preempt halts the attempt so that the task can run again later.
	Preempt = taskMachine.MustEvent("preempt")
	// BackoffDue is fired when the backoff has ended.
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

// Fire fires an event of the task's chart, updates the job's counts and reports
// whether the event had an effect. The caller must call Reconcile on the job
// afterwards.
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

// Assume marks the attempt as not yet confirmed by its endpoint.
func (t *Task) Assume() {
	t.assumed = true
	t.Job.Assumed++
}

// MarkRan records that the attempt has certainly run.
func (t *Task) MarkRan() {
	t.clearAssumed()
	t.Job.Ran = true
}

// clearAssumed removes the mark that Assume set.
func (t *Task) clearAssumed() {
	if t.assumed {
		t.assumed = false
		t.Job.Assumed--
	}
}

// recordEnd sets the job's result when the task has failed for good or its
// outcome is unknown.
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

// setDelta returns 1 when the transition enters the set, -1 when it leaves it,
// otherwise 0.
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

// Attempt returns the id of the latest attempt.
func (t *Task) Attempt() model.AttemptID {
	return model.AttemptID{Task: model.TaskID{Request: t.Job.Request.ID, Index: t.Index}, Number: t.Number}
}

// Live reports whether an attempt counts against an endpoint.
func (t *Task) Live() bool { return liveTasks.Has(t.state) }

// Placed reports whether an attempt is assumed or running and not halted.
func (t *Task) Placed() bool { return placedTasks.Has(t.state) }

// Avoid excludes an endpoint on which the task failed from further attempts.
func (t *Task) Avoid(id model.EndpointID) {
	if t.Avoids(id) {
		return
	}
	t.avoided[t.avoidedCount%maxAvoided] = id
	t.avoidedCount++
}

// Avoids reports whether the endpoint is excluded for the task.
func (t *Task) Avoids(id model.EndpointID) bool {
	for _, avoided := range t.avoided[:min(t.avoidedCount, maxAvoided)] {
		if avoided == id {
			return true
		}
	}
	return false
}
