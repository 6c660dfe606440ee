package model

import "time"

// Kind is the shape of a job.
type Kind string

// The kinds of jobs.
const (
	// Batch is a job whose tasks run to their end independently.
	Batch Kind = "batch"
	// Gang is a job whose tasks all start together or not at all.
	Gang Kind = "gang"
	// Service is a job whose tasks run until they are cancelled.
	Service Kind = "service"
)

// Spec is what a caller asks for.
type Spec struct {
	// Class is the class of work.
	Class ClassName `json:"class"`
	// Kind is the shape of the job; empty means Batch.
	Kind Kind `json:"kind,omitempty"`
	// Tasks is the number of tasks; 0 means 1.
	Tasks int `json:"tasks,omitempty"`
	// Size is the declared size of each task.
	Size Resources `json:"size"`
	// Estimate is the declared run time of each task.
	Estimate time.Duration `json:"estimate_ns"`
	// NotRepeatable marks a request that runs at most once, whatever its class
	// says.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// Payload is handed to every task as it is.
	Payload string `json:"payload,omitempty"`
}

// Request is an accepted request.
type Request struct {
	// ID names the request.
	ID RequestID `json:"id"`
	// Team is the team whose key came with the request.
	Team TeamName `json:"team"`
	// Key is the caller's idempotency key.
	Key IdempotencyKey `json:"key"`
	// Spec is what was asked for, with its defaults filled in.
	Spec Spec `json:"spec"`
	// Accepted is the wall-clock time of acceptance.
	Accepted time.Time `json:"accepted"`
	// Deadline is the end of the class's window: the request is answered by
	// then.
	Deadline time.Time `json:"deadline"`
}

// Ran says whether the work of a request ran.
type Ran string

// The three truths about work that was refused or answered.
const (
	// NotRun means that no task of the request ran and none will.
	NotRun Ran = "not run"
	// DidRun means that the work ran.
	DidRun Ran = "ran"
	// Unknown means that the work may or may not have run.
	Unknown Ran = "unknown"
)

// Part is the answer of one task.
type Part struct {
	// Index is the task's number, from 0.
	Index int `json:"index"`
	// Output is what the endpoint returned.
	Output string `json:"output"`
}

// Answer is the one answer to a request.
type Answer struct {
	// ID names the request.
	ID RequestID `json:"id"`
	// Code is the numbered result code, from package result.
	Code int `json:"code"`
	// Ran says whether the work ran.
	Ran Ran `json:"ran"`
	// Reason says in one sentence why, when Code is not OK.
	Reason string `json:"reason,omitempty"`
	// Parts are the answers of all tasks in their order when Code is OK.
	Parts []Part `json:"parts,omitempty"`
	// Waited is the time from acceptance to the start of the last task.
	Waited time.Duration `json:"waited_ns"`
}
