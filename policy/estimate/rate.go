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

// Frequency estimates how often a queue starts something while it has
// something to start, by an exponentially weighted mean of the time between.
type Frequency struct {
	last time.Time
	mean time.Duration
}

// frequencyWeight divides the weight of a new sample in a Frequency.
const frequencyWeight = 8

// Observe notes a start of work that has waited since the time given.
func (f *Frequency) Observe(now, since time.Time) {
	f.mean += (f.gap(now, since) - f.mean) / frequencyWeight
	f.last = now
}

// Wait returns how long n starts take, when the oldest work that waits has
// done so since the time given; ok is false while nothing is known.
func (f *Frequency) Wait(now, since time.Time, n int) (wait time.Duration, ok bool) {
	if f.last.IsZero() {
		return 0, false
	}
	return max(f.mean, f.gap(now, since)/frequencyWeight) * time.Duration(n), true
}

// gap is the time since the last start in which there was something to start.
func (f *Frequency) gap(now, since time.Time) time.Duration {
	if f.last.After(since) {
		since = f.last
	}
	return now.Sub(since)
}
