package planner

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minProgressInterval and minProgress are the shortest time and the least progress,
	// in percent, over which a run's progress is measured: an endpoint reports whole
	// percents, and listings follow each other closely when runs end. Progress below
	// minProgress counts after maxListingGap.
	minProgressInterval = 300 * time.Millisecond
	minProgress         = 2.0
	// maxProgressPercent is the progress above which a run is not measured, since estimates
	// of progress stop short of 100 until the run has ended.
	maxProgressPercent = 98.0
	// maxRunTimeSamples is the number of tasks of a step whose run times are compared.
	maxRunTimeSamples = 32
	// speedDeviation is the deviation of the logarithm of an endpoint's slowdown that is
	// assumed before any run has been measured. estimateDeviation is that of a run time
	// from its estimate, a factor of 2.5, and taskDeviation that between the tasks of a
	// step, which share one estimate.
	speedDeviation    = 0.5
	estimateDeviation = 0.9
	taskDeviation     = 0.4
	// maxProjectedRatio limits the effect of one run on what is typical for its queue, which
	// is known after minTypicalRunTimes measurements.
	maxProjectedRatio  = 20.0
	minTypicalRunTimes = 20
	// minProjectedRatio limits the effect of a run that is faster than usual: no endpoint is,
	// and the estimate was off.
	minProjectedRatio = 0.4
	// progressWindow is how long the progress of an endpoint's runs counts as current.
	progressWindow = maxListingGap
	// endedSlowdownDecay is the time in which the progress of ended runs loses about two
	// thirds of its weight: those that still run are listed at least twice in it.
	endedSlowdownDecay = 2 * maxListingGap
)

// runTimeSample is the run time of a task of a step, measured on an endpoint at a time.
type runTimeSample struct {
	task     *task
	endpoint *endpoint
	runTime  time.Duration
	at       time.Time
}

// progressMark is the point of a run's progress from which its rate is measured.
type progressMark struct {
	percent float64
	at      time.Time
}

// slowdownAverage is the slowdown of an endpoint that the progress of its runs shows: the
// weighted sum of the logarithms of their slowdowns, and the sum of the weights.
type slowdownAverage struct {
	sum, weight float64
	updatedAt   time.Time
}

// add adds what a run shows.
func (a *slowdownAverage) add(r *run) {
	a.sum += r.slowdownWeight * r.logSlowdown
	a.weight += r.slowdownWeight
}

// decayed returns the average with the weight that it still has after the time constant.
func (a slowdownAverage) decayed(now time.Time, constant time.Duration) slowdownAverage {
	factor := math.Exp(-float64(now.Sub(a.updatedAt)) / float64(constant))
	return slowdownAverage{sum: factor * a.sum, weight: factor * a.weight, updatedAt: now}
}

// measurable reports whether the run time of the step's tasks depends on their
// endpoints: members of a gang wait for each other.
func (s *step) measurable() bool { return !s.Gang && !s.Lasting && s.Estimate > 0 }

// projectRunTime measures the run time of the run's whole task at the rate of progress since
// the last measurement. A run that resumed from a checkpoint starts at an unknown
// percentage and is measured from its first listing.
func (r *run) projectRunTime(now time.Time) {
	mark := r.progressMark
	if mark.at.IsZero() {
		r.progressMark = progressMark{r.percent, now}
		if r.resumed || r.inherited || r.startedAt.IsZero() || !r.startedAt.Before(now) {
			return
		}
		mark = progressMark{0, r.startedAt}
	}
	progress, elapsed := r.percent-mark.percent, now.Sub(mark.at)
	if r.percent > maxProgressPercent || elapsed < minProgressInterval || progress <= 0 ||
		progress < minProgress && elapsed < maxListingGap {
		r.progressMark = mark
		return
	}
	if r.projectedRunTime > 0 && (r.bestRunTime == 0 || r.projectedRunTime < r.bestRunTime) {
		r.bestRunTime = r.projectedRunTime
	}
	r.projectedRunTime = time.Duration(float64(elapsed) * 100 / progress)
	r.progressMark = progressMark{r.percent, now}
	s := r.task.step
	s.recordRunTimeSample(runTimeSample{task: r.task, endpoint: r.endpoint, runTime: r.projectedRunTime})
	ratio := min(float64(r.projectedRunTime)/float64(s.Estimate), maxProjectedRatio)
	typical := averageOf(s.job.p.typicalProjectedRunTime, s.job.Queue)
	typical.add(math.Log(max(ratio, 1/maxProjectedRatio)), queueRunTimeWindow)
}

// recordRunTimeSample records the latest run time of a task; the oldest of
// maxRunTimeSamples is dropped.
func (s *step) recordRunTimeSample(latest runTimeSample) {
	latest.at = s.job.p.now
	s.runTimeSamples = slices.DeleteFunc(s.runTimeSamples, func(other runTimeSample) bool {
		return other.task == latest.task
	})
	if len(s.runTimeSamples) >= maxRunTimeSamples {
		oldest := 0
		for i := range s.runTimeSamples {
			if s.runTimeSamples[i].at.Before(s.runTimeSamples[oldest].at) {
				oldest = i
			}
		}
		s.runTimeSamples = slices.Delete(s.runTimeSamples, oldest, oldest+1)
	}
	i, _ := slices.BinarySearchFunc(s.runTimeSamples, latest, func(a, b runTimeSample) int {
		return cmp.Compare(a.runTime, b.runTime)
	})
	s.runTimeSamples = slices.Insert(s.runTimeSamples, i, latest)
}

// peerRunTime returns the median run time of the step's tasks on other endpoints, the
// lower one of two, and the number of these tasks.
func (s *step) peerRunTime(e *endpoint) (runTime time.Duration, tasks int) {
	for i := range s.runTimeSamples {
		if s.runTimeSamples[i].endpoint != e {
			tasks++
		}
	}
	before := 0
	for i := range s.runTimeSamples {
		if s.runTimeSamples[i].endpoint == e {
			continue
		}
		if before == (tasks-1)/2 {
			return s.runTimeSamples[i].runTime, tasks
		}
		before++
	}
	return 0, 0
}

// usualRunTime returns the run time of the run's task on a usual endpoint and the variance
// of its logarithm. It is that of the step's tasks on other endpoints; if none has been
// measured, that of the run itself before it slowed down; otherwise what is typical for
// the queue at present, given the estimate. It returns 0 if nothing is known.
func (p *Planner) usualRunTime(r *run) (runTime time.Duration, variance float64) {
	s := r.task.step
	if runTime, tasks := s.peerRunTime(r.endpoint); tasks > 0 {
		return runTime, taskDeviation * taskDeviation * (1 + 1/float64(tasks))
	}
	if r.slowedDown() {
		return r.bestRunTime, 2 * taskDeviation * taskDeviation
	}
	typical := averageOf(p.typicalProjectedRunTime, s.job.Queue)
	if typical.count < minTypicalRunTimes {
		return 0, 0
	}
	return time.Duration(math.Exp(typical.value) * float64(s.Estimate)), estimateDeviation * estimateDeviation
}

// slowedDown reports whether the run has progressed faster before.
func (r *run) slowedDown() bool {
	return r.bestRunTime > 0 && float64(r.projectedRunTime) > toleratedSlowdown*float64(r.bestRunTime)
}

// updateProgressSlowdowns derives the slowdown of the endpoints from the progress of runs. It
// examines all of them, since listings of other endpoints show what is usual.
func (p *Planner) updateProgressSlowdowns() {
	for _, e := range p.endpoints {
		p.updateProgressSlowdown(e)
	}
}

// updateProgressSlowdown derives the endpoint's slowdown from the progress of its runs.
// Runs of a step of which only this endpoint shows the run time count once together,
// since their estimate is the same.
func (p *Planner) updateProgressSlowdown(e *endpoint) {
	var runs []*run
	perStep := map[*step]float64{}
	for r := range e.runs {
		if r.projectedRunTime > 0 && r.state == runRunning {
			runs = append(runs, r)
			perStep[r.task.step]++
		}
	}
	if len(runs) == 0 && !e.slowdownChanged {
		return
	}
	e.slowdownChanged = false
	slices.SortFunc(runs, compareRuns)
	measured := e.endedSlowdown.decayed(p.now, endedSlowdownDecay)
	for _, r := range runs {
		r.slowdownWeight = 0
		p.rate(r, r.projectedRunTime, perStep[r.task.step])
		measured.add(r)
	}
	if measured.weight > 0 {
		e.runSlowdown = measured
	}
}

// rate derives from the run time of a run's whole task what the run shows of its
// endpoint. alike is the number of runs there that share an estimate.
func (p *Planner) rate(r *run, runTime time.Duration, alike float64) {
	usual, variance := p.usualRunTime(r)
	if usual <= 0 {
		return
	}
	if variance >= estimateDeviation*estimateDeviation {
		variance *= alike
	}
	ratio := min(max(float64(runTime)/float64(usual), minProjectedRatio), maxRunTimeRatio)
	r.logSlowdown, r.slowdownWeight = math.Log(ratio), 1/variance
}

// keepSlowdown keeps what a run showed that has ended: runs that are moved off an endpoint
// would otherwise leave it unknown that it is slow.
func (e *endpoint) keepSlowdown(r *run, now time.Time) {
	if r.slowdownWeight > 0 {
		e.endedSlowdown = e.endedSlowdown.decayed(now, endedSlowdownDecay)
		e.endedSlowdown.add(r)
		e.slowdownChanged = true
	}
}

// measuredSlowdown returns the slowdown that the progress of the endpoint's runs shows on
// average, regardless of how certain it is.
func (e *endpoint) measuredSlowdown() float64 {
	return math.Exp(e.runSlowdown.sum / e.runSlowdown.weight)
}

// recordEndedRunTime records the run time of a run that has succeeded. Runs that have ended
// before their progress was measured show the speed of their endpoint as well.
func (p *Planner) recordEndedRunTime(r *run) {
	if r.resumed || r.inherited {
		return // Its run time is not that of the whole task.
	}
	runTime := p.now.Sub(r.startedAt)
	r.task.step.recordRunTimeSample(runTimeSample{task: r.task, endpoint: r.endpoint, runTime: runTime})
	if r.projectedRunTime == 0 {
		p.rate(r, runTime, 1)
	}
}

// progressSlowdown returns the slowdown that the progress and the ends of runs show. The
// less certain it is, the closer it is to 1.
func (e *endpoint) progressSlowdown(now time.Time) float64 {
	age := max(now.Sub(e.runSlowdown.updatedAt)-progressWindow, 0)
	decay := math.Exp(-float64(age) / float64(slowdownDecayTime))
	prior := 1 / (speedDeviation * speedDeviation)
	return math.Exp(decay * e.runSlowdown.sum / (prior + decay*e.runSlowdown.weight))
}
