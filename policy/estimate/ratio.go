// Package estimate estimates, from past attempts, the ratio of used to declared
// amounts, the failure rate of tasks and the rate at which a queue is served.
// Each estimator uses a fixed amount of memory.
package estimate

import "math"

// The histogram of Ratio. Bucket i holds ratios up to
// bucketGrowth^(i-exactBucket), so that 1, the ratio of an exact declaration,
// is a bound.
const (
	buckets      = 64
	exactBucket  = 32
	bucketGrowth = 1.1
	// boundTolerance keeps a ratio that equals a bound in the bucket below it
	// despite rounding errors.
	boundTolerance = 1e-9
)

// The limits on the samples of a Ratio.
const (
	// minSamples is the minimum weight for Quantile to return an estimate.
	minSamples = 8
	// maxWeight is the total weight at which all buckets are halved.
	maxWeight = 256
)

// Ratio is a histogram, with exponential buckets, of observed amounts divided
// by declared ones. The weight of old samples decays. The zero value is empty.
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
		r.halve()
	}
}

func (r *Ratio) halve() {
	for i := range r.counts {
		r.counts[i] /= 2
	}
	r.weight /= 2
}

// Weight returns the total weight of the samples; a new sample weighs 1.
func (r *Ratio) Weight() float64 { return float64(r.weight) }

// Quantile returns the upper bound of the bucket that contains the quantile q.
// ok is false while the weight is below minSamples.
func (r *Ratio) Quantile(q float64) (ratio float64, ok bool) {
	if r.weight < minSamples {
		return 0, false
	}
	remaining := float32(q) * r.weight
	for i, count := range r.counts {
		remaining -= count
		if remaining <= 0 {
			return bounds[i], true
		}
	}
	return bounds[buckets-1], true
}

// bounds holds the upper bound of each bucket.
var bounds = newBounds()

func newBounds() [buckets]float64 {
	var all [buckets]float64
	for i := range all {
		all[i] = math.Pow(bucketGrowth, float64(i-exactBucket))
	}
	return all
}

// bucket returns the index of the bucket of a ratio. Ratios outside all bounds
// belong to the first or last bucket.
func bucket(ratio float64) int {
	if ratio <= bounds[0] {
		return 0
	}
	exponent := math.Log(ratio) / math.Log(bucketGrowth)
	i := int(math.Ceil(exponent-boundTolerance)) + exactBucket
	return min(i, buckets-1)
}
