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
	// Slot is the task's place among the node's tasks.
	Slot int
	// Size is what the live attempt has committed.
	Size model.Resources
	// Floor is the most that an earlier attempt used.
	Floor model.Resources
	// Excess is the reported usage above Size.
	Excess model.Resources
	// Outgrown counts the reports in a row with usage above Size.
	Outgrown int
	// Started is when the live attempt was placed.
	Started time.Time
	// Ends is when the live attempt is expected to end.
	Ends time.Time
	// Due is the end of the backoff.
	Due time.Time
	// Treatment is how a halt is to be carried out.
	Treatment model.Treatment
	// Throttled says that the live attempt has been throttled.
	Throttled bool
	// Timer is the entry of the task's backoff.
	Timer Timer

	state   chart.State
	assumed bool
	next    *Task
	avoided [maxAvoided]model.EndpointID
	avoids  int
}

// tasksOf is the chart of tasks.
var tasksOf = chart.MustBind(charts.MustLoad("task"),
	chart.Guards[Task]{
		"may_retry":  func(t *Task) bool { return t.Job.Host.MayRetry(t) },
		"repeatable": func(t *Task) bool { return t.Job.Repeatable() },
	},
	chart.Actions[Task]{
		"commit":  func(t *Task) { t.Job.Host.Commit(t) },
		"release": func(t *Task) { t.Job.Host.Release(t) },
		"enqueue": func(*Task) {},
		"delay":   func(t *Task) { t.Job.Host.Delay(t) },
		"halt":    func(t *Task) { t.Job.Host.Halt(t) },
	})

// Event is something that happens to a task.
type Event = chart.Event

// The events of tasks.
var (
	// Place starts an attempt on t.Node.
	Place = tasksOf.MustEvent("place")
	// Adopt takes over a running attempt on t.Node.
	Adopt = tasksOf.MustEvent("adopt")
	// Restore says that the task succeeded under a former holder.
	Restore = tasksOf.MustEvent("restore")
	// Forfeit says that nobody will know the outcome.
	Forfeit = tasksOf.MustEvent("forfeit")
	// Confirm says that the endpoint has started the attempt.
	Confirm = tasksOf.MustEvent("confirm")
	// Reject says that the attempt never ran.
	Reject = tasksOf.MustEvent("reject")
	// Succeed says that the attempt succeeded.
	Succeed = tasksOf.MustEvent("succeed")
	// Fail says that the attempt failed.
	Fail = tasksOf.MustEvent("fail")
	// Interrupt says that the attempt was stopped.
	Interrupt = tasksOf.MustEvent("interrupt")
	// Vanish says that nobody knows whether the attempt ran.
	Vanish = tasksOf.MustEvent("vanish")
	// Preempt halts the attempt so that the task runs again later.
	Preempt = tasksOf.MustEvent("preempt")
	// Due says that the backoff has ended.
	Due = tasksOf.MustEvent("due")

	taskAbandon = tasksOf.MustEvent("abandon")

	queuedTasks    = tasksOf.MustSet("queued")
	backoffTasks   = tasksOf.MustSet("backoff")
	liveTasks      = tasksOf.MustSet("live")
	placedTasks    = tasksOf.MustSet("placed")
	succeededTasks = tasksOf.MustSet("succeeded")
	failedTasks    = tasksOf.MustSet("failed")
	unknownTasks   = tasksOf.MustSet("unknown")
)

// Fire hands the event to the task, reports whether it had an effect and keeps
// the job's counts. The caller calls Review on the job afterwards.
func (t *Task) Fire(e Event) bool { return t.fire(e) }

func (t *Task) fire(e Event) bool {
	j, before := t.Job, t.state
	if !tasksOf.Fire(&t.state, e, t) {
		return false
	}
	if queuedTasks.Has(before) && !queuedTasks.Has(t.state) {
		j.drop(t)
	}
	if !queuedTasks.Has(before) && queuedTasks.Has(t.state) {
		j.push(t)
	}
	j.Backoff += change(backoffTasks, before, t.state)
	j.Live += change(liveTasks, before, t.state)
	j.Done += change(succeededTasks, before, t.state)
	if !liveTasks.Has(t.state) {
		t.settle()
	}
	t.noteEnd()
	return true
}

// Assume notes that no endpoint has confirmed the attempt yet.
func (t *Task) Assume() {
	t.assumed = true
	t.Job.Assumed++
}

// Ran notes that the attempt has surely run.
func (t *Task) Ran() {
	t.settle()
	t.Job.Ran = true
}

// settle ends the assumption.
func (t *Task) settle() {
	if t.assumed {
		t.assumed = false
		t.Job.Assumed--
	}
}

// noteEnd records what a task's end for good means for its job.
func (t *Task) noteEnd() {
	j := t.Job
	if j.Verdict != 0 {
		return
	}
	if failedTasks.Has(t.state) {
		j.Verdict, j.Reason = result.TaskFailed, "a task failed and may not or can no longer be retried"
	}
	if unknownTasks.Has(t.state) {
		j.Verdict, j.Reason = result.OutcomeUnknown, "the endpoint of a task that may not be repeated is gone"
	}
}

// change is 1 when the set is entered, -1 when it is left, else 0.
func change(set chart.StateSet, before, after chart.State) int {
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
	t.avoided[t.avoids%maxAvoided] = id
	t.avoids++
}

// Avoids reports whether the task is kept off the endpoint.
func (t *Task) Avoids(id model.EndpointID) bool {
	for _, avoided := range t.avoided[:min(t.avoids, maxAvoided)] {
		if avoided == id {
			return true
		}
	}
	return false
}
