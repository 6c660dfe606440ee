// Package jobs holds the types of submitted work: a job has steps, a step has
// tasks, and a task is run one or more times. It knows no encoding beyond the
// field tags of the rows that the table keeps.
package jobs

import (
	"strconv"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// ID names a job. The caller chooses it, and a repeated submission carries the
// same one.
type ID string

// QueueName names a queue, which a job is submitted to.
type QueueName string

// Step is one stage of a job: tasks of one size.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"n"`
	// Size is what one task takes while it runs.
	Size model.Resources `json:"size"`
	// Estimate is the caller's guess of a task's run time.
	Estimate time.Duration `json:"est,omitempty"`
	// After are the earlier steps whose tasks must all have succeeded.
	After []int `json:"after,omitempty"`
	// Checkpoints says that a stopped task can go on from its last state.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang says that the tasks only progress while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that a gang runs slower on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the endpoint must have; empty for none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack with the step's data; tasks run slower elsewhere.
	DataRack model.RackName `json:"data_rack,omitempty"`
	// MaxPerEndpoint bounds the step's tasks on one endpoint; 0 for no bound.
	MaxPerEndpoint int `json:"spread,omitempty"`
	// Copies says that a task may run in several copies; the first end counts.
	Copies bool `json:"copies,omitempty"`
	// Lasting says that the tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Image names what the tasks run; tasks of an image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of a lasting task; 0 for none.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// Filler says that the tasks use processors that others leave idle.
	Filler bool `json:"filler,omitempty"`
	// MayMiss is how many lasting tasks may be away by the system's actions.
	MayMiss int `json:"may_miss,omitempty"`
}

// Committed returns what one task of the step takes of an endpoint's capacity.
func (s *Step) Committed() model.Resources {
	size := s.Size
	if s.Filler {
		size[model.CPU] = 0
	}
	return size
}

// Job is an accepted job.
type Job struct {
	// ID names the job.
	ID ID `json:"id"`
	// Team is the team of the key that it was submitted with; empty on a queue
	// that is open to all.
	Team model.TeamName `json:"team,omitempty"`
	// Queue is where it was submitted.
	Queue QueueName `json:"queue"`
	// Spec is handed to every task.
	Spec string `json:"spec"`
	// Steps are the job's steps.
	Steps []Step `json:"steps"`
	// Occurrences is how often a scheduled job runs; 0 for a plain job.
	Occurrences int `json:"times,omitempty"`
	// First is when the first occurrence is due, in Unix milliseconds.
	First int64 `json:"first,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `json:"every,omitempty"`
	// Accepted is when it was submitted, in Unix milliseconds.
	Accepted int64 `json:"at"`
	// Cancelled says that the caller has cancelled it.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Runs returns how many occurrences the job has: 1 for a plain job.
func (j *Job) Runs() int { return max(j.Occurrences, 1) }

// State is what callers are told of a job.
type State string

// The states of a job.
const (
	// Queued means that no task has started.
	Queued State = "queued"
	// Running means that a task has started.
	Running State = "running"
	// Completed means that every task has succeeded.
	Completed State = "completed"
	// Failed means that a task failed as often as its queue allows.
	Failed State = "failed"
	// Cancelled means that the caller cancelled it.
	Cancelled State = "cancelled"
)

// Final reports whether the state is the job's last one.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// StepID names a step of one occurrence of a job.
type StepID struct {
	// Job is the job.
	Job ID
	// Occurrence counts the job's runs from 0.
	Occurrence int
	// Step is the step's place in the job.
	Step int
}

// String returns the three parts joined by dots.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID names a task.
type TaskID struct {
	StepID
	// Index is the task's place in the step.
	Index int
}

// String returns the parts joined by dots.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// RunID names one run of a task. Numbers of a task rise.
type RunID struct {
	Task TaskID
	// Number is the run's number, from 1.
	Number int
}

// String returns the task and the number.
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Number) }
