// Package retry says how long to wait before the next attempt.
package retry

import (
	"hash/fnv"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// maxShift bounds the doubling of the backoff.
const maxShift = 16

// Backoff returns the wait after the given number of failures: exponential
// from base to limit, of which the upper half is jitter. The jitter is a hash
// of the attempt, so that equal inputs give equal plans.
func Backoff(attempt model.AttemptID, failures int, base, limit time.Duration) time.Duration {
	wait := min(base<<min(max(failures-1, 0), maxShift), limit)
	half := wait / 2
	if half <= 0 {
		return wait
	}
	return half + time.Duration(digest(attempt)%uint64(half))
}

func digest(attempt model.AttemptID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(attempt.Task.Request))
	h.Write([]byte{byte(attempt.Task.Index), byte(attempt.Task.Index >> 8), byte(attempt.Number)})
	return h.Sum64()
}
