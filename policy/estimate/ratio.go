// Package estimate learns from what has ended: how far declarations are off,
// how often tasks fail and how fast a queue is served. Each estimator has a
// fixed size.
package estimate

import "math"

// The histogram of Ratio: bucket i holds ratios up to step^(i-exact), so that a
// declaration that is right falls on a bound.
const (
	buckets = 64
	exact   = 32
	step    = 1.1
	// rounding keeps a ratio on a bound in the bucket below it.
	rounding = 1e-9
)

// The bounds of what a Ratio keeps and when it says something.
const (
	// minSamples is the least evidence that Quantile speaks from.
	minSamples = 8
	// maxWeight is the weight at which all buckets are halved.
	maxWeight = 256
)

// Ratio is a histogram with exponential buckets of observed by declared
// amounts, in which old samples fade. The zero value is empty.
type Ratio struct {
	counts [buckets]float32
	weight float32
}

// Observe adds a sample. It ignores samples without a declared amount.
func (r *Ratio) Observe(observed, declared float64) {
	if declared <= 0 || observed < 0 {
		return
	}
	r.counts[bucket(observed/declared)]++
	r.weight++
	if r.weight >= maxWeight {
		r.fade()
	}
}

// fade halves the weight of every sample.
func (r *Ratio) fade() {
	for i := range r.counts {
		r.counts[i] /= 2
	}
	r.weight /= 2
}

// Weight returns how much evidence there is, in samples.
func (r *Ratio) Weight() float64 { return float64(r.weight) }

// Quantile returns the upper bound of the bucket that the quantile q falls
// into; ok is false while there are too few samples.
func (r *Ratio) Quantile(q float64) (ratio float64, ok bool) {
	if r.weight < minSamples {
		return 0, false
	}
	left := float32(q) * r.weight
	for i, count := range r.counts {
		left -= count
		if left <= 0 {
			return bounds[i], true
		}
	}
	return bounds[buckets-1], true
}

// bounds are the upper bounds of the buckets.
var bounds = newBounds()

func newBounds() [buckets]float64 {
	var all [buckets]float64
	for i := range all {
		all[i] = math.Pow(step, float64(i-exact))
	}
	return all
}

// bucket returns the bucket of a ratio; the outer ones take what is beyond.
func bucket(ratio float64) int {
	if ratio <= bounds[0] {
		return 0
	}
	steps := math.Log(ratio) / math.Log(step)
	i := int(math.Ceil(steps-rounding)) + exact
	return min(i, buckets-1)
}
