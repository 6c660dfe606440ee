// Package jobs holds the types of submitted work: a job has steps, a step has
// tasks, and each task has one or more runs. It knows no encoding beyond the
// field tags of the rows in the table.
package jobs

import (
	"slices"
	"strconv"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// ID identifies a job. The caller chooses it, and a repeated submission has the
// same ID.
type ID string

// QueueName is the name of a queue, to which jobs are submitted.
type QueueName string

// Step is one stage of a job: tasks of one size.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"n"`
	// Size is the capacity that one task takes while it runs.
	Size model.Resources `json:"size"`
	// Estimate is the caller's estimate of a task's run time.
	Estimate time.Duration `json:"est,omitempty"`
	// After are the indexes of the earlier steps whose tasks must all have
	// succeeded.
	After []int `json:"after,omitempty"`
	// Checkpoints is set when a stopped task can resume from its last
	// checkpoint.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang is set when the tasks make progress only while all of them run.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set when a gang runs slower on more than one rack.
	SameRack bool `json:"same_rack,omitempty"`
	// Label is a label that the endpoint must have; empty for none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the step's data; tasks run slower on
	// other racks.
	DataRack model.RackName `json:"data_rack,omitempty"`
	// MaxPerEndpoint limits the step's tasks on one endpoint; 0 for no limit.
	MaxPerEndpoint int `json:"spread,omitempty"`
	// Copies is set when a task may have several live runs at a time; the
	// first result counts.
	Copies bool `json:"copies,omitempty"`
	// Lasting is set when the tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Image is what the tasks execute; tasks of an image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the upper bound of a lasting task's tail latency; 0
	// for none.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// Filler is set when the tasks use only processors that others leave
	// idle.
	Filler bool `json:"filler,omitempty"`
	// MayMiss is how many lasting tasks may be down because of the system's
	// own actions.
	MayMiss int `json:"may_miss,omitempty"`
}

// Committed returns the part of an endpoint's capacity that one task of the
// step takes. It excludes the processors of a filler.
func (s *Step) Committed() model.Resources {
	size := s.Size
	if s.Filler {
		size[model.CPU] = 0
	}
	return size
}

// Job is an accepted job.
type Job struct {
	ID ID `json:"id"`
	// Team is the team of the key that the job was submitted with; empty on a
	// queue that is open to all.
	Team  model.TeamName `json:"team,omitempty"`
	Queue QueueName      `json:"queue"`
	// Spec is passed to every task.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Occurrences is how often a scheduled job runs; 0 for a job that is not
	// scheduled.
	Occurrences int `json:"times,omitempty"`
	// First is when the first occurrence is due, in Unix milliseconds.
	First int64 `json:"first,omitempty"`
	// Interval is the time between two occurrences.
	Interval time.Duration `json:"every,omitempty"`
	// Accepted is when the job was accepted, in Unix milliseconds.
	Accepted int64 `json:"at"`
	// Cancelled is set when the caller has cancelled the job.
	Cancelled bool `json:"cancelled,omitempty"`
	// CancelledAt is when the front cancelled the job, in Unix milliseconds; 0 if an older
	// build did.
	CancelledAt int64 `json:"cancelled_at,omitempty"`
	// RowVersion is the version of the row that the job was read from; 0 if it was not
	// read from a row.
	RowVersion uint64 `json:"-"`
}

// OccurrenceCount returns the number of occurrences: 1 for a job that is not scheduled.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// CriticalPath returns the estimated time of the longest chain of dependent
// steps that begins with the given one.
func (j *Job) CriticalPath(step int) time.Duration { return j.criticalPaths()[step] }

// LongestPath returns the estimated time of the longest chain of dependent steps.
func (j *Job) LongestPath() time.Duration { return slices.Max(append(j.criticalPaths(), 0)) }

// maxPath bounds the estimated time of a chain of steps, so that multiples of it do not
// overflow.
const maxPath = 365 * 24 * time.Hour

// criticalPaths returns the critical path of each step. A step depends on earlier ones
// only, so that one pass from the last step to the first is enough.
func (j *Job) criticalPaths() []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		paths[i] = min(paths[i]+j.Steps[i].Estimate, maxPath)
		for _, before := range j.Steps[i].After {
			if before >= 0 && before < i {
				paths[before] = max(paths[before], paths[i])
			}
		}
	}
	return paths
}

// State is a job's state as reported to callers.
type State string

// The states of a job.
const (
	// Queued means that no task has started.
	Queued State = "queued"
	// Running means that a task has started.
	Running State = "running"
	// Completed means that every task has succeeded.
	Completed State = "completed"
	// Failed means that a task has failed as often as its queue allows.
	Failed State = "failed"
	// Cancelled means that the caller has cancelled the job.
	Cancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job ID
	// Occurrence is the index of the occurrence, from 0.
	Occurrence int
	// Step is the index of the step in the job.
	Step int
}

// String returns the three parts joined by dots.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies a task.
type TaskID struct {
	StepID
	// Index is the index of the task in the step.
	Index int
}

// String returns the parts joined by dots.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// RunID identifies one run of a task. The numbers of a task's runs increase.
type RunID struct {
	Task TaskID
	// Number is the run's number, from 1.
	Number int
}

// String returns the task and the number joined by #.
func (r RunID) String() string { return r.Task.String() + "#" + strconv.Itoa(r.Number) }
