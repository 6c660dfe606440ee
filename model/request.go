package model

import "time"

// Kind is the scheduling type of a job.
type Kind string

// The kinds of jobs.
const (
	// Batch is a job whose tasks run to completion independently of each other.
	Batch Kind = "batch"
	// Gang is a job whose tasks start all together or not at all.
	Gang Kind = "gang"
	// Service is a job whose tasks run until they are cancelled.
	Service Kind = "service"
)

// Spec is the caller's specification of a job.
type Spec struct {
	Class ClassName `json:"class"`
	// Kind is the type of the job; empty means Batch.
	Kind Kind `json:"kind,omitempty"`
	// Tasks is the number of tasks; 0 means 1.
	Tasks int `json:"tasks,omitempty"`
	// Size is the declared size of each task.
	Size Resources `json:"size"`
	// Estimate is the declared run time of each task.
	Estimate time.Duration `json:"estimate_ns"`
	// NotRepeatable is set for a request that must run at most once, even when
	// its class is repeatable.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// Payload is passed unchanged to every task.
	Payload string `json:"payload,omitempty"`
}

// Request is an accepted request.
type Request struct {
	ID RequestID `json:"id"`
	// Team is the team of the key that submitted the request; OpenTeam without a
	// key.
	Team TeamName       `json:"team"`
	Key  IdempotencyKey `json:"key"`
	// Spec is the submitted specification with its defaults filled in.
	Spec Spec `json:"spec"`
	// Accepted is the wall-clock time of acceptance.
	Accepted time.Time `json:"accepted"`
	// Deadline is the end of the class's window, by which the request is
	// answered.
	Deadline time.Time `json:"deadline"`
}

// Ran states whether the work of a request ran.
type Ran string

// The values of Ran.
const (
	// NotRun means that no task of the request ran and none will.
	NotRun Ran = "not run"
	// DidRun means that the work ran.
	DidRun Ran = "ran"
	// Unknown means that the work may or may not have run.
	Unknown Ran = "unknown"
)

// Part is the result of one task.
type Part struct {
	// Index is the task's number, from 0.
	Index int `json:"index"`
	// Output is the output that the endpoint returned.
	Output string `json:"output"`
}

// Answer is the state or the final answer of a request, as sent to callers.
type Answer struct {
	// ID is empty when the call was refused before the request had an id.
	ID RequestID `json:"id"`
	// Code is a result code of package result.
	Code int `json:"code"`
	Ran  Ran `json:"ran"`
	// Reason is a one-sentence explanation when Code is not OK.
	Reason string `json:"reason,omitempty"`
	// Parts are the results of all tasks in task order; set when Code is OK.
	Parts []Part `json:"parts,omitempty"`
	// Waited is the time from acceptance to the start of the last task.
	Waited time.Duration `json:"waited_ns"`
}
