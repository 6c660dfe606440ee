package jobs

import (
	"strings"

	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// maxID is the largest length of a job's ID, maxSpec of its specification, in bytes.
	maxID   = 64
	maxSpec = 4000
	// maxTasks bounds the tasks of a job, those of all occurrences together.
	maxTasks = 100000
	// minStepBytes is the size of the shortest step in a job's row.
	minStepBytes = len(`{"n":1,"size":[0,0,0,0,0]},`)
	// MaxSteps bounds the steps of a job: more do not fit into its row.
	MaxSteps = storage.MaxValueBytes / minStepBytes
)

// Problem returns the reason why no job can have the ID; empty if it is valid.
func (id ID) Problem() string {
	switch {
	case id == "" || len(id) > maxID:
		return "the job's id is missing or too long"
	case strings.ContainsFunc(string(id), notInID):
		return "the job's id contains a character that is not allowed"
	}
	return ""
}

// Problem returns the reason why the job is malformed; empty if it is valid.
func (j *Job) Problem() string {
	if problem := j.ID.Problem(); problem != "" {
		return problem
	}
	switch {
	case len(j.Spec) > maxSpec:
		return "the specification is too long"
	case len(j.Steps) == 0:
		return "the job has no steps"
	case j.Occurrences < 0 || j.Occurrences > 0 && j.Interval < 0:
		return "the schedule is not valid"
	}
	tasks := 0
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.Count < 1 || step.Count > maxTasks-tasks {
			return "the number of tasks is not valid"
		}
		tasks += step.Count
		if problem := step.problem(i); problem != "" {
			return problem
		}
	}
	if j.OccurrenceCount() > maxTasks/tasks {
		return "the number of tasks of all occurrences is not valid"
	}
	return ""
}

// notInID reports whether a job's ID must not contain the character: keys of rows are
// split at slashes, and names of tasks at points.
func notInID(r rune) bool { return r <= ' ' || r > '~' || r == '/' || r == '.' }

// problem is Problem for the step with the index, except for its count.
func (s *Step) problem(index int) string {
	switch {
	case !s.Size.InRange():
		return "the size of a task is not valid"
	case s.Estimate < 0:
		return "the estimated run time of a task is not valid"
	case s.MaxPerEndpoint < 0:
		return "the number of tasks on one endpoint is not valid"
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return "a step waits for one that is not before it"
		}
	}
	return ""
}
