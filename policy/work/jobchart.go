package work

import (
	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// jobs is the chart of jobs.
var jobs = chart.MustBind(charts.MustLoad("job"),
	chart.Guards[Job]{
		"serving":    func(j *Job) bool { return j.Served },
		"repeatable": (*Job).Repeatable,
	},
	chart.Actions[Job]{
		"abandon":      (*Job).abandonTasks,
		"answer":       (*Job).answer,
		"forget":       func(j *Job) { j.Host.Forget(j) },
		"note_cancel":  (*Job).noteCancel,
		"note_expiry":  (*Job).noteExpiry,
		"note_scatter": (*Job).noteScatter,
		"recall":       (*Job).recall,
	})

// The events and states of jobs that are named in code.
var (
	jobBreak    = jobs.MustEvent("break")
	jobCancel   = jobs.MustEvent("cancel")
	jobComplete = jobs.MustEvent("complete")
	jobExpire   = jobs.MustEvent("expire")
	jobScatter  = jobs.MustEvent("scatter")
	jobSettle   = jobs.MustEvent("settle")

	openStates     = jobs.MustSet("active")
	answeredStates = jobs.MustSet("answered", "gone")
)

// Cancel ends the job: queued tasks are dropped and live ones halted.
func (j *Job) Cancel() {
	jobs.Fire(&j.state, jobCancel, j)
	j.Review()
}

// Expire says that the window has ended.
func (j *Job) Expire() {
	jobs.Fire(&j.state, jobExpire, j)
	j.Review()
}

// Review fires what follows from the states of the tasks. It is called after
// events of tasks. The job may be forgotten when it returns.
func (j *Job) Review() {
	if jobs.Final(j.state) {
		return
	}
	switch {
	case j.Verdict != 0 && openStates.Has(j.state):
		jobs.Fire(&j.state, jobBreak, j)
	case j.Done == len(j.Tasks):
		jobs.Fire(&j.state, jobComplete, j)
	case j.Gang() && j.Live > 0 && j.Queued+j.Backoff > 0:
		jobs.Fire(&j.state, jobScatter, j)
	}
	if j.Live == 0 {
		jobs.Fire(&j.state, jobSettle, j)
	}
	if jobs.Final(j.state) {
		return
	}
	j.Served = j.Served || j.Service() && j.Live == len(j.Tasks) && j.Assumed == 0
	j.reviewQueue()
}

// reviewQueue enters or leaves the queue as the tasks demand.
func (j *Job) reviewQueue() {
	ready := j.Ready()
	if ready && !j.InQueue {
		j.Host.Enter(j)
	}
	if !ready && j.InQueue {
		j.Host.Leave(j)
	}
}

// abandonTasks drops the queued tasks and halts the live ones.
func (j *Job) abandonTasks() {
	if j.InQueue {
		j.Host.Leave(j)
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		t.Treatment = model.Refuse
		t.fire(taskAbandon)
	}
}

// recall halts the live tasks of a gang that has lost a member, so that all
// start again together.
func (j *Job) recall() {
	for i := range j.Tasks {
		t := &j.Tasks[i]
		t.Treatment = model.Rerun
		t.fire(Preempt)
	}
}

func (j *Job) noteCancel() {
	j.Verdict, j.Reason = result.Cancelled, "the request was cancelled"
}

func (j *Job) noteScatter() {
	j.Verdict, j.Reason = result.ShortOfCapacity, "not every task of the gang could be started"
}

func (j *Job) noteExpiry() {
	j.Verdict, j.Reason = result.WindowPassed, "the window ended before the work could start"
	if j.InQueue && j.Host.Limited(j) {
		j.Verdict, j.Reason = result.OverLimit, "the team stayed at its limit until the end of the window"
	}
}

// answer settles the verdict by what has run and reports it.
func (j *Job) answer() {
	switch {
	case j.Done == len(j.Tasks):
		j.Verdict, j.Reason = result.OK, ""
	case j.Verdict == result.OutcomeUnknown || j.Verdict == result.TaskFailed:
	case j.Ran && j.Verdict == result.Cancelled:
		j.Verdict = result.CancelledRunning
	case j.Ran:
		j.Verdict, j.Reason = result.TaskFailed, "the work had started and was stopped: "+j.Reason
	case j.Unsure || j.Assumed > 0:
		j.Verdict, j.Reason = result.OutcomeUnknown, "no endpoint has said whether the work started"
	}
	j.Host.Answer(j)
}
