package catalog

import (
	"time"

	"github.com/hornbeamworks/hornbeam/jobs"
)

const (
	// OverdueFactor is the multiple of a job's objective after which its
	// result is of no use to the caller.
	OverdueFactor = 3
	// objectiveAdviceEndpoints is the number of endpoints of the one advice
	// request per step that a job's objective allows for.
	objectiveAdviceEndpoints = 30
)

// JobObjective returns the time within which an occurrence of the job should be
// complete.
func (q *Queue) JobObjective(job *jobs.Job) time.Duration {
	adviceTime := q.Advice.Cost(objectiveAdviceEndpoints)
	return time.Duration(q.Stretch*float64(job.LongestPath()+adviceTime)) + q.Objective
}
