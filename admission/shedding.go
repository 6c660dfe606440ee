package admission

import (
	"math"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
)

// QueueFigures are the recent rates and the waiting work of a queue, by expected run times.
// Rates are in core-milliseconds per second, work is in core-milliseconds.
type QueueFigures struct {
	// Completed is the rate at which its work was completed, Tight the part that had
	// gone ahead of urgent surplus work, and Surplus that of surplus work.
	Completed int64 `json:"completed,omitempty"`
	Tight     int64 `json:"tight,omitempty"`
	Surplus   int64 `json:"surplus,omitempty"`
	// LateSurplus is the part of QueueLoad.Surplus that is late.
	LateSurplus int64 `json:"late_surplus,omitempty"`
	// Steps counts the waiting steps, Short those of them that found too little capacity.
	Steps int64 `json:"steps,omitempty"`
	Short int64 `json:"short,omitempty"`
	// Ended counts the tasks that Completed is taken from, Spread is the standard
	// deviation of the logarithm of their run times relative to the expected ones.
	Ended  int64   `json:"ended,omitempty"`
	Spread float64 `json:"spread,omitempty"`
	// RunTime is the mean expected run time of the ended tasks in milliseconds.
	RunTime int64 `json:"run_time,omitempty"`
}

const (
	// RateWindow is the time over which the holder averages the rates, and how long they are
	// expected to last.
	RateWindow = 5 * time.Second
	// certainty is the standard normal quantile of the probability of 0.9 with which a
	// refused job can't be of use.
	certainty = 1.2816
	// maxCount and maxSpread bound the figures that are taken for those of a cell.
	maxCount  = 1_000_000_000
	maxSpread = 10
)

func (f *QueueFigures) valid() bool {
	for _, work := range []int64{f.Completed, f.Tight, f.Surplus, f.LateSurplus, f.RunTime} {
		if work < 0 || work > maxWork {
			return false
		}
	}
	for _, n := range []int64{f.Steps, f.Short, f.Ended} {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return f.Short <= f.Steps && f.Spread >= 0 && f.Spread <= maxSpread
}

// shed returns the refusal of a surplus job that can't be of use with a probability of 0.9;
// nil if it may be. While the current rule refuses jobs of teams within their weights,
// surplus work is refused too: none may begin in their place.
func (l *Load) shed(c *catalog.Catalog, queue *catalog.Queue, job *jobs.Job) *Refusal {
	expected, least := l.surplusWait(c, queue)
	useful := catalog.OverdueFactor*queue.JobObjective(job) - job.LongestPath()
	excess := max(least-useful, l.excessWithinWeights(c, queue.Service))
	if excess <= 0 {
		return nil
	}
	return &Refusal{Cause: OverWeight, Wait: least, Expected: expected, Useful: useful, RetryAfter: shedTime(excess, queue, job)}
}

// excessWithinWeights returns by how much the wait of jobs within weights exceeds the time
// in which a typical one is of use, in the queue of the service where it does most.
func (l *Load) excessWithinWeights(c *catalog.Catalog, service catalog.ServiceName) time.Duration {
	excess := time.Duration(0)
	for name, q := range c.Queues {
		figures := l.Shedding[name]
		if q.Service != service || figures.RunTime == 0 {
			continue
		}
		runTime := seconds(float64(figures.RunTime) / 1000)
		typical := &jobs.Job{Steps: []jobs.Step{{Count: 1, Estimate: runTime}}}
		excess = max(excess, l.wait(c, q, false)-(catalog.OverdueFactor*q.JobObjective(typical)-runTime))
	}
	return excess
}

// surplusWait returns the expected time until a surplus job of the queue could start, and the
// time that this takes at least with a probability of 0.9. What its queue serves before it is
// served at the rate that more urgent work has left: that at which surplus work and work that
// goes behind it were completed, and what is free. More urgent work that waits does not count
// beyond that, since small jobs start in gaps that gangs can't use. The size of the job does
// not count.
func (l *Load) surplusWait(c *catalog.Catalog, queue *catalog.Queue) (expected, least time.Duration) {
	highest, lowest := c.Priorities()
	urgent := queue.Priority == highest && highest < lowest
	var rate, total, steps, ended, spread float64
	for name, other := range c.Queues {
		if other.Service != queue.Service {
			continue
		}
		figures := l.Shedding[name]
		total += float64(figures.Completed)
		steps += float64(figures.Steps)
		ended += float64(figures.Ended)
		spread = max(spread, figures.Spread)
		switch {
		case urgent:
			rate += float64(max(figures.Completed-figures.Tight, 0))
		case other.Priority >= queue.Priority:
			rate += float64(figures.Surplus)
		}
	}
	waiting := l.Queues[queue.Name]
	own := l.Shedding[queue.Name]
	free := float64(l.Free)
	if own.Steps > 0 {
		// Where steps find too little capacity, what is free is in parts that are too small.
		free *= 1 - float64(own.Short)/float64(own.Steps)
	}
	rate = min(rate+free, float64(l.Capacity))
	ahead := float64(waiting.InTime+waiting.Late) + float64(waiting.Surplus)
	if ahead <= 0 {
		return 0, 0
	}
	expected = drain(ahead, rate, total+free)
	variation := math.Sqrt(math.Expm1(min(spread, maxSpread) * min(spread, maxSpread)))
	margin := certainty * variation * math.Sqrt(1/max(steps, 1)+1/max(ended, 1))
	least = drain(ahead*math.Exp(-margin), rate, float64(l.Capacity))
	return expected, max(least, seconds(ahead/float64(max(l.Capacity, 1))))
}

// drain returns the time in which the work ahead is served: at the rate that more
// urgent work left for as long as these were observed, and then at that of the whole
// cell, since a surge may end.
func drain(ahead, rate, whole float64) time.Duration {
	first := max(rate, 0) * RateWindow.Seconds()
	if ahead <= first {
		return seconds(ahead / max(rate, 1))
	}
	return seconds(RateWindow.Seconds() + (ahead-first)/max(whole, 1))
}

// seconds converts seconds of a wait, at most maxWait.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}
