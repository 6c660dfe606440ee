// Package work defines the objects of scheduling: requests as jobs with tasks,
// the queues of each class and team, teams, and endpoints. The charts task, job
// and endpoint define the life cycles. A Host executes the effects of a life
// cycle. Which task runs next, and where, is decided by package cell.
package work

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// Host executes the effects of life cycles.
type Host interface {
	// Commit counts the task's size against its endpoint and team.
	Commit(t *Task)
	// Release undoes Commit.
	Release(t *Task)
	// Halt requests the treatment t.Treatment for the task's attempt.
	Halt(t *Task)
	// Limited reports whether the team's limit prevents the job from starting.
	Limited(j *Job) bool
	// SetBackoff sets the end of the task's backoff after a failure.
	SetBackoff(t *Task)
	// MayRetry reports whether the failed task may be retried.
	MayRetry(t *Task) bool
	// Enqueue inserts a job that has tasks to start into its queue.
	Enqueue(j *Job)
	// Dequeue removes a job from its queue.
	Dequeue(j *Job)
	// Answer reports j.Code and j.Reason as the job's result.
	Answer(j *Job)
	// RemoveJob removes a job that has no live attempts.
	RemoveJob(j *Job)
}

// Job is an accepted request.
type Job struct {
	// Request is shared and must not be modified.
	Request *model.Request
	// Class is the class as configured when the request was accepted.
	Class model.Class
	// Team is the team that the job is accounted to.
	Team *Team
	// Queue is the queue of the job's class and team.
	Queue *Queue
	// Host executes the effects of the life cycle.
	Host Host
	// Tasks are the tasks by index.
	Tasks []Task
	// Queued, Backoff, Live and Done count the tasks by state.
	Queued, Backoff, Live, Done int
	// Assumed counts the live attempts that no endpoint has confirmed.
	Assumed int
	// Ran is set once an attempt is certain to have run.
	Ran bool
	// Ambiguous is set when it is unknown whether an attempt ran.
	Ambiguous bool
	// Code is the result that Answer reports; zero until one is determined.
	Code result.Code
	// Reason explains a Code other than result.OK.
	Reason string
	// InQueue is set while the job is in its queue.
	InQueue bool
	// Next and Prev link the jobs of a queue, oldest first.
	Next, Prev *Job
	// Timer is the entry for the end of the job's window.
	Timer Timer
	// Missing is the number of further tasks that must fit on endpoints before
	// the blocked job can start.
	Missing int
	// Limited is set when the team's limit prevented the last attempt to start
	// the job.
	Limited bool
	// Size is the size that the next attempt commits, computed at SizeVersion.
	Size model.Resources
	// SizeVersion is the version of the estimates that Size was computed from;
	// 0 when Size must be computed again.
	SizeVersion uint64
	// Reservations is the number of endpoints reserved for the job.
	Reservations int
	// PreemptUntil is the time before which the job halts no further attempts:
	// the capacity of those halted for it is reserved until then.
	PreemptUntil time.Time
	// ServiceStarted is set once all tasks of a service have run at the same
	// time.
	ServiceStarted bool

	state       chart.State
	gang        bool
	service     bool
	firstQueued *Task
	lastQueued  *Task
}

// Reset initializes j for a request and reuses the memory of its tasks.
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

// Gang reports whether all tasks must start together.
func (j *Job) Gang() bool { return j.gang }

// Service reports whether the tasks run until they are cancelled.
func (j *Job) Service() bool { return j.service }

// Repeatable reports whether a task may run more than once.
func (j *Job) Repeatable() bool {
	return j.Class.Repeatable && !j.Request.Spec.NotRepeatable
}

// StartBy returns the time at which the class's maximum wait ends.
func (j *Job) StartBy() time.Time { return j.Request.Accepted.Add(j.Class.MaxWait) }

// Ready reports whether the job has tasks that may start now. A gang is ready
// only when none of its tasks is live or in backoff.
func (j *Job) Ready() bool {
	if j.Queued == 0 || !activeStates.Has(j.state) {
		return false
	}
	return !j.Gang() || j.Live+j.Backoff == 0
}

// Count returns the number of tasks that start together: all queued tasks of a
// gang, otherwise one.
func (j *Job) Count() int {
	if j.Gang() {
		return j.Queued
	}
	return 1
}

// Head returns the queued task that starts next.
func (j *Job) Head() *Task { return j.firstQueued }

// NextQueued returns the queued task after t, or nil.
func (t *Task) NextQueued() *Task { return t.next }

// Before reports whether j precedes other in a queue.
func (j *Job) Before(other *Job) bool {
	if !j.Request.Accepted.Equal(other.Request.Accepted) {
		return j.Request.Accepted.Before(other.Request.Accepted)
	}
	return j.Request.ID < other.Request.ID
}

// Answered reports whether the job's result has been reported.
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

// removeQueued removes t from the queued tasks. It is O(1) for the head.
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
