package work

import (
	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// jobMachine is the compiled chart of jobs.
var jobMachine = chart.MustBind(charts.MustLoad("job"),
	chart.Guards[Job]{
		"service_started": func(j *Job) bool { return j.ServiceStarted },
		"repeatable":      (*Job).Repeatable,
	},
	chart.Actions[Job]{
		"abandon":                (*Job).abandonTasks,
		"answer":                 (*Job).answer,
		"remove":                 func(j *Job) { j.Host.RemoveJob(j) },
		"record_cancel":          (*Job).recordCancel,
		"record_expiry":          (*Job).recordExpiry,
		"record_incomplete_gang": (*Job).recordIncompleteGang,
		"preempt_tasks":          (*Job).preemptTasks,
	})

// The events and state sets of jobs that the code refers to.
var (
	jobFail           = jobMachine.MustEvent("fail")
	jobCancel         = jobMachine.MustEvent("cancel")
	jobComplete       = jobMachine.MustEvent("complete")
	jobExpire         = jobMachine.MustEvent("expire")
	jobGangIncomplete = jobMachine.MustEvent("gang_incomplete")
	jobNoLiveTasks    = jobMachine.MustEvent("no_live_tasks")

	activeStates   = jobMachine.MustSet("active")
	answeredStates = jobMachine.MustSet("answered", "removed")
)

// Cancel ends the job: queued tasks are dropped and live ones halted.
func (j *Job) Cancel() {
	jobMachine.Fire(&j.state, jobCancel, j)
	j.Reconcile()
}

// Expire handles the end of the job's window.
func (j *Job) Expire() {
	jobMachine.Fire(&j.state, jobExpire, j)
	j.Reconcile()
}

// Reconcile fires the job events that follow from the states of its tasks. The
// caller invokes it after firing task events. The job may have been removed
// when it returns.
func (j *Job) Reconcile() {
	if jobMachine.Final(j.state) {
		return
	}
	switch {
	case j.Code != 0 && activeStates.Has(j.state):
		jobMachine.Fire(&j.state, jobFail, j)
	case j.Done == len(j.Tasks):
		jobMachine.Fire(&j.state, jobComplete, j)
	case j.Gang() && j.Live > 0 && j.Queued+j.Backoff > 0:
		jobMachine.Fire(&j.state, jobGangIncomplete, j)
	}
	if j.Live == 0 {
		jobMachine.Fire(&j.state, jobNoLiveTasks, j)
	}
	if jobMachine.Final(j.state) {
		return
	}
	j.ServiceStarted = j.ServiceStarted || j.Service() && j.Live == len(j.Tasks) && j.Assumed == 0
	j.reconcileQueue()
}

// reconcileQueue enqueues or dequeues the job depending on whether it is ready.
func (j *Job) reconcileQueue() {
	ready := j.Ready()
	if ready && !j.InQueue {
		j.Host.Enqueue(j)
	}
	if !ready && j.InQueue {
		j.Host.Dequeue(j)
	}
}

// abandonTasks drops the queued tasks and halts the live ones.
func (j *Job) abandonTasks() {
	if j.InQueue {
		j.Host.Dequeue(j)
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		t.Treatment = model.Refuse
		t.fire(taskAbandon)
	}
}

// preemptTasks halts the live tasks of a gang of which some tasks are not live,
// so that all tasks start again together.
func (j *Job) preemptTasks() {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		t.Treatment = model.Rerun
		t.fire(Preempt)
	}
}

func (j *Job) recordCancel() {
	j.Code, j.Reason = result.Cancelled, "the request was cancelled"
}

func (j *Job) recordIncompleteGang() {
	j.Code, j.Reason = result.ShortOfCapacity, "not every task of the gang could be started"
}

func (j *Job) recordExpiry() {
	j.Code, j.Reason = result.WindowPassed, "the window ended before the work could start"
	if j.InQueue && j.Host.Limited(j) {
		j.Code, j.Reason = result.OverLimit, "the team stayed at its limit until the end of the window"
	}
}

// answer adjusts the result for attempts that have or may have run, and reports
// it.
func (j *Job) answer() {
	switch {
	case j.Done == len(j.Tasks):
		j.Code, j.Reason = result.OK, ""
	case j.Code == result.OutcomeUnknown || j.Code == result.TaskFailed:
	case j.Ran && j.Code == result.Cancelled:
		j.Code = result.CancelledRunning
	case j.Ran:
		j.Code, j.Reason = result.TaskFailed, "the work had started and was stopped: "+j.Reason
	case j.Ambiguous || j.Assumed > 0:
		j.Code, j.Reason = result.OutcomeUnknown, "no endpoint has said whether the work started"
	}
	j.Host.Answer(j)
}
