package cell

import (
	"math"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/estimate"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// The parameters of size and run-time estimates.
const (
	// estimateInterval is the number of samples between two updates of a
	// queue's factors.
	estimateInterval = 8
	// sizeQuantile is the fraction of the tasks whose usage fits an estimated
	// size.
	sizeQuantile = 0.9
	// minLowerSamples is the minimum weight of samples for committing less than
	// the declared size.
	minLowerSamples = 32
	// lowerQuantile is the fraction of the tasks whose usage fits a lowered
	// size.
	lowerQuantile = 0.99
	// lowerMargin is the headroom factor of a lowered size.
	lowerMargin = 1.1
	// minSizeFactor is the minimum factor of a lowered size.
	minSizeFactor = 0.1
	// timeQuantile is the fraction of the tasks that end within an estimated
	// run time.
	timeQuantile = 0.8
	// minFactorChange is the relative change below which a size factor is not
	// updated.
	minFactorChange = 0.15
)

// Confirm records that the endpoint has started the attempt.
func (c *Cell) Confirm(now time.Time, attempt model.AttemptID) {
	c.now = now
	if t := c.liveTask(attempt); t != nil {
		t.MarkRan()
		t.Fire(work.Confirm)
		t.Job.Reconcile()
	}
}

// Reject records that the attempt has not run and never will. Its endpoint
// receives no further starts until its next usage report.
func (c *Cell) Reject(now time.Time, attempt model.AttemptID) {
	c.now = now
	t := c.liveTask(attempt)
	if t == nil {
		return
	}
	n := t.Node
	n.Full = true
	t.Fire(work.Reject)
	c.markChanged(n)
	t.Job.Reconcile()
}

// Finish records that the attempt has ended.
func (c *Cell) Finish(now time.Time, finished policy.Finish) {
	c.now = now
	t := c.liveTask(finished.Attempt)
	if t == nil {
		return
	}
	j, n := t.Job, t.Node
	if finished.Ambiguous {
		j.Ambiguous = true
	} else {
		t.MarkRan()
	}
	c.updateEstimates(t, finished)
	event := outcomeEvent(finished)
	if event == work.Fail {
		t.Failures++
		t.Avoid(n.Info.ID)
	}
	probe := n.Probe == t
	t.Fire(event)
	c.recordHealth(n, j, event, probe)
	j.Reconcile()
}

// outcomeEvent returns the task event for the end of an attempt.
func outcomeEvent(finished policy.Finish) work.Event {
	if finished.Ambiguous {
		return work.Lose
	}
	switch finished.Outcome {
	case model.Succeeded:
		return work.Succeed
	case model.Failed:
		return work.Fail
	}
	return work.Interrupt
}

// liveTask returns the task of which this is the live attempt, or nil.
func (c *Cell) liveTask(attempt model.AttemptID) *work.Task {
	j := c.jobs[attempt.Task.Request]
	if j == nil {
		return nil
	}
	t := taskOf(j, attempt.Task.Index)
	if t == nil || t.Number != attempt.Number || !t.Live() {
		return nil
	}
	return t
}

// updateEstimates records the peak usage of an ended attempt and, if it
// succeeded, adds its size and run time to the queue's estimates.
func (c *Cell) updateEstimates(t *work.Task, finished policy.Finish) {
	t.PeakUsage = t.PeakUsage.Max(finished.Peak)
	if finished.Outcome != model.Succeeded {
		return
	}
	spec, q := &t.Job.Request.Spec, t.Job.Queue
	for r := range work.LearnedResources {
		q.SizeRatios[r].Observe(float64(finished.Peak[r]), float64(spec.Size[r]))
	}
	q.RunTimeRatios.Observe(finished.Elapsed.Seconds(), spec.Estimate.Seconds())
	q.Samples++
	if q.Samples%estimateInterval == 0 {
		c.applyEstimates(q)
	}
}

// applyEstimates updates the queue's factors and unblocks the queue when they
// have changed.
func (c *Cell) applyEstimates(q *work.Queue) {
	changed := false
	if factor, known := q.RunTimeRatios.Quantile(timeQuantile); known && factor != q.RunTimeFactor {
		q.RunTimeFactor = factor
		changed = true
	}
	for r := range work.LearnedResources {
		factor, known := sizeFactor(&q.SizeRatios[r])
		if known && math.Abs(factor/q.SizeFactors[r]-1) > minFactorChange {
			q.SizeFactors[r] = factor
			changed = true
		}
	}
	if changed {
		c.minQueuedSize = model.Resources{}
		c.invalidateSizes(q)
		c.unblock(q)
	}
}

// sizeFactor returns the multiplier for declared sizes. A few samples suffice
// to raise sizes; lowering them takes at least minLowerSamples and uses a size
// that nearly every task fits.
func sizeFactor(sizes *estimate.Ratio) (factor float64, known bool) {
	factor, known = sizes.Quantile(sizeQuantile)
	if !known || factor >= 1 {
		return factor, known
	}
	if sizes.Weight() < minLowerSamples {
		return 1, true
	}
	factor, _ = sizes.Quantile(lowerQuantile)
	return min(1, max(factor*lowerMargin, minSizeFactor)), true
}

// invalidateSizes makes the first jobs of the queue recompute their sizes.
func (c *Cell) invalidateSizes(q *work.Queue) {
	j := q.First
	for range lookahead {
		if j == nil {
			return
		}
		j.SizeVersion = 0
		j = j.Next
	}
}
