package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// The outcome of a submission, from the caller's view.
const (
	// outcomeUnknown means that no attempt gave a definite answer.
	outcomeUnknown = iota
	outcomeAccepted
	outcomeRejected
)

const (
	// maxAttempts bounds the submissions of a job.
	maxAttempts = 12
	// retryPause is the time between two submissions of a job.
	retryPause = 250 * time.Millisecond
	// cancelShare is the fraction of the accepted jobs that are cancelled,
	// abandonShare that of the jobs that are not retried after a rejection.
	cancelShare  = 0.1
	abandonShare = 0.3
)

// job is a job of a caller with the outcome of its submission.
type job struct {
	id      string
	outcome int
	// ambiguous is set when an attempt got no definite answer, so that the job may
	// have been accepted despite a later rejection.
	ambiguous bool
	cancelled bool
}

// sampleJob has an id of the length that all jobs' ids have.
var sampleJob = job{id: fmt.Sprintf("%016x", 0)}

// finalStates returns the final states that the job may have.
func (j *job) finalStates() []string {
	if j.cancelled {
		return []string{"cancelled", "completed"}
	}
	return []string{"completed"}
}

// submitJobs submits jobs one after the other until the faults end.
func (r *run) submitJobs(caller int, rng *rand.Rand) []*job {
	var jobs []*job
	for n := 0; time.Now().Before(r.end); n++ {
		j := &job{id: fmt.Sprintf("%08x%08x", caller+1, n)}
		r.submit(j, rng)
		jobs = append(jobs, j)
		if j.outcome == outcomeAccepted && rng.Float64() < cancelShare {
			status, _ := r.site.Call(rng.IntN(nodes), http.MethodDelete, j.id, nil)
			// Without a response, the job may or may not have been cancelled.
			j.cancelled = status != http.StatusGone
		}
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
	}
	return jobs
}

// submit submits the job to random nodes until it is accepted or abandoned, at most
// maxAttempts times.
func (r *run) submit(j *job, rng *rand.Rand) {
	abandon := rng.Float64() < abandonShare
	for range maxAttempts {
		status := r.site.Submit(rng.IntN(nodes), j.id, 1+rng.IntN(4))
		switch {
		case status == http.StatusOK:
			j.outcome = outcomeAccepted
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if abandon && !j.ambiguous {
				j.outcome = outcomeRejected
				return
			}
		default:
			j.ambiguous = true
		}
		time.Sleep(retryPause)
	}
}

// state returns the job's state as reported by the first node that has it; empty when
// none does.
func (r *run) state(j *job) string {
	for node := range nodes {
		if status, state := r.site.Call(node, http.MethodGet, j.id, nil); status == http.StatusOK {
			return state
		}
	}
	return ""
}
