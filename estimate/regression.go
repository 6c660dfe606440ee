package estimate

import "math"

// regression is a linear regression of y on x with exponential forgetting.
type regression struct {
	// weight is the weight of all samples, meanX and meanY are their weighted means, and
	// sxx, sxy and syy the weighted sums of the products of their deviations.
	weight, meanX, meanY, sxx, sxy, syy float64
	// sequence orders the regressions by their last samples.
	sequence uint64
}

// weightTolerance makes up for the decay of the first samples: 8 samples weigh 7.86.
const weightTolerance = 0.2

func (r *regression) add(x, y float64) {
	previous := r.weight * decay
	r.weight = previous + 1
	dx, dy := x-r.meanX, y-r.meanY
	if previous == 0 {
		r.meanX, r.meanY = x, y
		return
	}
	r.meanX += dx / r.weight
	r.meanY += dy / r.weight
	share := previous / r.weight
	r.sxx = r.sxx*decay + share*dx*dx
	r.sxy = r.sxy*decay + share*dx*dy
	r.syy = r.syy*decay + share*dy*dy
}

// slope returns the slope with the prior that run times are proportional to estimates.
func (r *regression) slope() float64 {
	const prior = priorSamples * priorVariance
	return min(max((r.sxy+prior)/(r.sxx+prior), 0), maxSlope)
}

// deviation returns the standard deviation of the residuals.
func (r *regression) deviation() float64 {
	slope := r.slope()
	sum := r.syy - 2*slope*r.sxy + slope*slope*r.sxx
	return math.Sqrt(max(sum, 0) / max(r.weight-1, 1))
}
