package estimate

import "time"

// rateWeight is the weight of a new sample in a Rate.
const rateWeight = 0.1

// Rate is an exponentially weighted failure rate. The zero value is a rate of
// 0.
type Rate struct {
	value float64
}

// Observe adds the end of an attempt.
func (r *Rate) Observe(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	r.value += rateWeight * (sample - r.value)
}

// Value returns the failure rate, from 0 to 1.
func (r *Rate) Value() float64 { return r.value }

// Frequency estimates how often jobs of a queue start while the queue has
// waiting jobs, as an exponentially weighted mean of the interval between
// starts.
type Frequency struct {
	lastStart    time.Time
	meanInterval time.Duration
}

// intervalSmoothing is the reciprocal of the weight of a new sample in a
// Frequency.
const intervalSmoothing = 8

// Observe adds a start, at now, of work that has waited since the given time.
func (f *Frequency) Observe(now, since time.Time) {
	f.meanInterval += (f.interval(now, since) - f.meanInterval) / intervalSmoothing
	f.lastStart = now
}

// Wait estimates how long the next n starts take; since is when the oldest
// waiting work began to wait. ok is false before the first start.
func (f *Frequency) Wait(now, since time.Time, n int) (wait time.Duration, ok bool) {
	if f.lastStart.IsZero() {
		return 0, false
	}
	return max(f.meanInterval, f.interval(now, since)/intervalSmoothing) * time.Duration(n), true
}

// interval returns the time since the last start or since the given time,
// whichever is later: only the time during which work waited counts.
func (f *Frequency) interval(now, since time.Time) time.Duration {
	if f.lastStart.After(since) {
		since = f.lastStart
	}
	return now.Sub(since)
}
