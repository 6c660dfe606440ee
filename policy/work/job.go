// Package work holds what the decisions are about: requests as jobs with their
// tasks, the queues of classes and teams, teams and endpoints. Life cycles
// follow the charts task, job and endpoint. A Host carries out what a life
// cycle asks for; who runs next and where is decided elsewhere.
package work

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// Host carries out the effects of life cycles.
type Host interface {
	// Commit counts the task's size against its node and team.
	Commit(t *Task)
	// Release undoes Commit.
	Release(t *Task)
	// Halt asks for the task's attempt to be treated as t.Treatment says.
	Halt(t *Task)
	// Limited reports whether the team's limit holds the job up.
	Limited(j *Job) bool
	// SetBackoff sets the task's backoff after a failure.
	SetBackoff(t *Task)
	// MayRetry reports whether the failed task may be tried again.
	MayRetry(t *Task) bool
	// Enqueue puts a job with tasks to start into its queue.
	Enqueue(j *Job)
	// Dequeue takes a job out of its queue.
	Dequeue(j *Job)
	// Answer reports the job's verdict.
	Answer(j *Job)
	// RemoveJob drops the job: nothing of it is live.
	RemoveJob(j *Job)
}

// Job is an accepted request.
type Job struct {
	// Request is the request; it is shared and not changed.
	Request *model.Request
	// Class is the class as it was when the request was accepted.
	Class model.Class
	// Team is the team that the job is accounted to.
	Team *Team
	// Queue is the queue of the class and team.
	Queue *Queue
	// Host carries out the effects of the life cycle.
	Host Host
	// Tasks are the tasks by index.
	Tasks []Task
	// Queued, Backoff, Live and Done count the tasks by state.
	Queued, Backoff, Live, Done int
	// Assumed counts the live attempts that no endpoint has confirmed.
	Assumed int
	// Ran says that some attempt has surely run.
	Ran bool
	// Ambiguous says that nobody knows whether some attempt ran.
	Ambiguous bool
	// Code is the result that Answer reports.
	Code result.Code
	// Reason is the sentence that goes with Verdict.
	Reason string
	// InQueue says that the job stands in its queue.
	InQueue bool
	// Next and Prev link the job in its queue, oldest first.
	Next, Prev *Job
	// Timer is the entry of the job's window.
	Timer Timer
	// Missing is how many more tasks must fit before a blocked gang can start.
	Missing int
	// Limited says that the team's limit held it up when it was last tried.
	Limited bool
	// Size is what the next attempt commits, as of version Sized.
	Size model.Resources
	// SizeVersion is the version of the estimates that Size was worked out from; 0
	// when it has to be worked out anew.
	SizeVersion uint64
	// Reservations is the number of endpoints that are kept for the job.
	Reservations int
	// PreemptUntil is until when attempts halted for the job are waited for.
	PreemptUntil time.Time
	// ServiceStarted says that a service has had all its tasks running.
	ServiceStarted bool

	state       chart.State
	gang        bool
	service     bool
	firstQueued *Task
	lastQueued  *Task
}

// Reset prepares j for a request and keeps its memory.
func (j *Job) Reset(host Host, request *model.Request, class model.Class, q *Queue) {
	tasks := j.Tasks[:0]
	*j = Job{Host: host, Request: request, Class: class, Queue: q, Team: q.Team, Tasks: tasks}
	j.gang = request.Spec.Kind == model.Gang
	j.service = request.Spec.Kind == model.Service
	j.Timer.index = noTimer
	j.Timer.job = j
	jobMachine.Start(&j.state, j)
	for i := range request.Spec.Tasks {
		j.Tasks = append(j.Tasks, Task{Job: j, Index: i})
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		t.Timer = Timer{index: noTimer, task: t}
		taskMachine.Start(&t.state, t)
		j.pushQueued(t)
	}
}

// Gang reports whether the tasks start all together.
func (j *Job) Gang() bool { return j.gang }

// Service reports whether the tasks run until they are cancelled.
func (j *Job) Service() bool { return j.service }

// Repeatable reports whether a task may run more than once.
func (j *Job) Repeatable() bool {
	return j.Class.Repeatable && !j.Request.Spec.NotRepeatable
}

// StartBy is the end of the class's longest wait.
func (j *Job) StartBy() time.Time { return j.Request.Accepted.Add(j.Class.MaxWait) }

// Ready reports whether the job has tasks that may start now.
func (j *Job) Ready() bool {
	if j.Queued == 0 || !activeStates.Has(j.state) {
		return false
	}
	return !j.Gang() || j.Live+j.Backoff == 0
}

// Count is the number of tasks that start together: all queued tasks of a
// gang, else one.
func (j *Job) Count() int {
	if j.Gang() {
		return j.Queued
	}
	return 1
}

// Head returns the queued task that is started next.
func (j *Job) Head() *Task { return j.firstQueued }

// NextQueued returns the queued task after t, or nil.
func (t *Task) NextQueued() *Task { return t.next }

// Before reports whether j stands before other in a queue.
func (j *Job) Before(other *Job) bool {
	if !j.Request.Accepted.Equal(other.Request.Accepted) {
		return j.Request.Accepted.Before(other.Request.Accepted)
	}
	return j.Request.ID < other.Request.ID
}

// Answered reports whether the job has got its answer.
func (j *Job) Answered() bool { return answeredStates.Has(j.state) }

// pushQueued appends t to the queued tasks.
func (j *Job) pushQueued(t *Task) {
	t.next = nil
	if j.lastQueued == nil {
		j.firstQueued = t
	} else {
		j.lastQueued.next = t
	}
	j.lastQueued = t
	j.Queued++
	j.Queue.Tasks++
	j.Team.Queued = j.Team.Queued.Add(j.Request.Spec.Size)
}

// removeQueued takes t out of the queued tasks. It is O(1) for the head.
func (j *Job) removeQueued(t *Task) {
	var before *Task
	for at := j.firstQueued; at != t; at = at.next {
		before = at
	}
	if before == nil {
		j.firstQueued = t.next
	} else {
		before.next = t.next
	}
	if j.lastQueued == t {
		j.lastQueued = before
	}
	t.next = nil
	j.Queued--
	j.Queue.Tasks--
	j.Team.Queued = j.Team.Queued.Sub(j.Request.Spec.Size)
}
