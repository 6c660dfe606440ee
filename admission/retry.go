package admission

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
)

// errOutOfRange is the error of figures that can't be those of a cell.
var errOutOfRange = eris.New("the figures of the cell's load are out of range")

const (
	// minRetry and maxRetry bound the time after which a caller returns.
	minRetry = time.Second
	maxRetry = 8 * time.Second
	// maxShedRetry bounds the time before a caller returns whose surplus job was refused.
	// With the spread it is 2 s: callers wait 3 s in all, so that another try is left.
	maxShedRetry = 4 * time.Second / 3
	// expectedTries is how often a caller is expected to try: its tries cover the time
	// in which its job is of use.
	expectedTries = 4
	// spread is the part of the time by which callers are spread, so that those who
	// were refused together do not return together.
	spread = 0.5
)

// RetryAfter returns when a caller should return who was refused since the table does not
// answer. unavailable is how long that has lasted: an outage lasts longer on average the
// longer it has lasted. Callers of urgent queues return first, since their jobs are of
// use for less time. id spreads the callers. job may be nil.
func RetryAfter(queue *catalog.Queue, job *jobs.Job, id jobs.ID, unavailable time.Duration) time.Duration {
	pause := min(max(unavailable, minRetry), retryBound(queue, job))
	return spreadOver(id, pause)
}

// drainTime returns when a caller should return whose job would wait too long by excess.
func drainTime(excess time.Duration, queue *catalog.Queue, job *jobs.Job) time.Duration {
	return spreadOver(job.ID, min(max(excess, minRetry), retryBound(queue, job)))
}

// shedTime is drainTime for surplus work.
func shedTime(excess time.Duration, queue *catalog.Queue, job *jobs.Job) time.Duration {
	return spreadOver(job.ID, min(max(excess, minRetry), retryBound(queue, job), maxShedRetry))
}

// retryBound returns the longest pause of a caller between two tries.
func retryBound(queue *catalog.Queue, job *jobs.Job) time.Duration {
	if queue == nil || job == nil {
		return minRetry
	}
	return min(max(catalog.OverdueFactor*queue.JobObjective(job)/expectedTries, minRetry), maxRetry)
}

// spreadOver returns the pause plus up to spread of it, depending on the id.
func spreadOver(id jobs.ID, pause time.Duration) time.Duration {
	const buckets = 64
	sum := uint32(0)
	for _, b := range []byte(id) {
		sum = sum*31 + uint32(b)
	}
	return pause + time.Duration(spread*float64(pause)*float64(sum%buckets)/buckets)
}
