// Package retry computes the delay before the next attempt of a task. It does
// not decide whether the task may be retried.
package retry

import (
	"hash/fnv"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// maxDoublings is the maximum number of doublings, so that the shift does not
// overflow.
const maxDoublings = 16

// Backoff returns the delay after the given number of failures. It grows
// exponentially from base to limit, and its upper half is jitter. The jitter is
// a hash of the attempt, so that equal inputs give equal plans.
func Backoff(attempt model.AttemptID, failures int, base, limit time.Duration) time.Duration {
	wait := min(base<<min(max(failures-1, 0), maxDoublings), limit)
	half := wait / 2
	if half <= 0 {
		return wait
	}
	return half + time.Duration(jitterHash(attempt)%uint64(half))
}

func jitterHash(attempt model.AttemptID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(attempt.Task.Request))
	h.Write([]byte{byte(attempt.Task.Index), byte(attempt.Task.Index >> 8), byte(attempt.Number)})
	return h.Sum64()
}
