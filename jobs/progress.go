package jobs

import "github.com/hornbeamworks/hornbeam/model"

// Progress is what has to outlast the holder of a job that is under way.
type Progress struct {
	// Begun says that a task has started.
	Begun bool `json:"begun,omitempty"`
	// Outcome is the final state once it is decided; empty before.
	Outcome State `json:"outcome,omitempty"`
	// Steps is the progress of the steps that have any.
	Steps []StepProgress `json:"steps,omitempty"`
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	// Occurrence and Step name the step.
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	// Complete says that all tasks have succeeded; Done is then empty.
	Complete bool `json:"all,omitempty"`
	// Done are the indexes of the tasks that have succeeded.
	Done []int `json:"done,omitempty"`
	// Failures are the numbers of the failed runs by task index; a gang counts
	// as task 0.
	Failures map[int][]int `json:"failed,omitempty"`
	// Runs are the tasks' live runs: each is recorded before it is ordered.
	Runs []RunRecord `json:"runs,omitempty"`
	// Saved are the last checkpoints by task index.
	Saved map[int]string `json:"saved,omitempty"`
}

// RunRecord is a live run.
type RunRecord struct {
	// Task is the task's place in the step, Number the run's number.
	Task   int `json:"t"`
	Number int `json:"r"`
	// Endpoint is where it runs.
	Endpoint model.EndpointID `json:"e"`
}

// Status is the row that answers questions about a job.
type Status struct {
	// State is the job's state.
	State State `json:"state"`
	// Team is the team that may ask.
	Team string `json:"team,omitempty"`
	// Queue is the job's queue.
	Queue QueueName `json:"queue"`
	// Ended is when a final state was recorded, in Unix milliseconds.
	Ended int64 `json:"ended,omitempty"`
}

// Belongs reports whether it is the status of a job that the team submitted to
// the queue.
func (s Status) Belongs(team model.TeamName, queue QueueName) bool {
	return s.Team == string(team) && s.Queue == queue
}
