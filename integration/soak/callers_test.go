package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// The answers that end a caller's tries.
const (
	// accepts and refuses are what a caller was told; unsure is neither.
	unsure = iota
	accepts
	refuses
)

const (
	// tries is how often a caller hands a job in before it gives up.
	tries = 12
	// tryPause is the pause between two tries.
	tryPause = 250 * time.Millisecond
	// cancelShare and abandonShare are the parts of the jobs that are cancelled
	// once accepted, and given up at the first refusal.
	cancelShare  = 0.1
	abandonShare = 0.3
)

// job is a job of a caller.
type job struct {
	id   string
	told int
	// refusedBefore says that a try got no answer before the refusal, so that the
	// job may have been accepted.
	doubtful  bool
	cancelled bool
}

// j0 is a job with an id of the usual length.
var j0 = job{id: fmt.Sprintf("%016x", 0)}

// ends returns the final states that the job may have.
func (j *job) ends() []string {
	if j.cancelled {
		return []string{"cancelled", "completed"}
	}
	return []string{"completed"}
}

// call hands in jobs one after the other until the faults end.
func (r *run) call(caller int, rng *rand.Rand) []*job {
	var jobs []*job
	for n := 0; time.Now().Before(r.ends); n++ {
		j := &job{id: fmt.Sprintf("%08x%08x", caller+1, n)}
		r.submit(j, rng)
		jobs = append(jobs, j)
		if j.told == accepts && rng.Float64() < cancelShare {
			status, _ := r.site.Call(rng.IntN(nodes), http.MethodDelete, j.id, nil)
			// Without an answer the job may be cancelled or not.
			j.cancelled = status != http.StatusGone
		}
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
	}
	return jobs
}

// submit hands the job in, at any node, until it is accepted or given up.
func (r *run) submit(j *job, rng *rand.Rand) {
	abandon := rng.Float64() < abandonShare
	for range tries {
		status := r.site.Submit(rng.IntN(nodes), j.id, 1+rng.IntN(4))
		switch {
		case status == http.StatusOK:
			j.told = accepts
			return
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			if abandon && !j.doubtful {
				j.told = refuses
				return
			}
		default:
			j.doubtful = true
		}
		time.Sleep(tryPause)
	}
}

// state asks any node for the job's state.
func (r *run) state(j *job) string {
	for node := range nodes {
		if status, state := r.site.Call(node, http.MethodGet, j.id, nil); status == http.StatusOK {
			return state
		}
	}
	return ""
}
