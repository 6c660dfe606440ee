package estimate

import "time"

// rateWeight is the weight of a new sample in a Rate.
const rateWeight = 0.1

// Rate is an exponentially weighted share of failures.
type Rate struct {
	value float64
}

// Observe adds an end.
func (r *Rate) Observe(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	r.value += rateWeight * (sample - r.value)
}

// Value returns the share of failures, from 0 to 1.
func (r *Rate) Value() float64 { return r.value }

// Frequency estimates how often something happens, by an exponentially
// weighted mean of the time between two times.
type Frequency struct {
	last time.Time
	mean time.Duration
}

// frequencyWeight divides the weight of a new sample in a Frequency.
const frequencyWeight = 8

// Observe notes that it happened.
func (f *Frequency) Observe(now time.Time) {
	if !f.last.IsZero() {
		f.mean += (now.Sub(f.last) - f.mean) / frequencyWeight
	}
	f.last = now
}

// Wait returns how long it takes to happen n times; ok is false while nothing
// is known.
func (f *Frequency) Wait(now time.Time, n int) (wait time.Duration, ok bool) {
	if f.last.IsZero() {
		return 0, false
	}
	return max(f.mean, now.Sub(f.last)/frequencyWeight) * time.Duration(n), true
}
