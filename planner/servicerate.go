package planner

import (
	"math"
	"time"

	"github.com/hornbeamworks/hornbeam/admission"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// minRateTime is how long a new holder observes rates before it publishes them.
const minRateTime = time.Second

// decayingSum is a sum whose parts lose their weight exponentially within
// admission.RateWindow.
type decayingSum struct {
	value float64
	at    time.Time
}

func (d *decayingSum) valueAt(now time.Time) float64 {
	return d.value * math.Exp(-max(now.Sub(d.at).Seconds(), 0)/admission.RateWindow.Seconds())
}

func (d *decayingSum) add(now time.Time, amount float64) {
	d.value, d.at = d.valueAt(now)+amount, now
}

// queueRates are the recent rates of a queue's work, by expected run times in
// core-milliseconds. They are used with Policy.ShedByCost only.
type queueRates struct {
	// completed is the work of all tasks that succeeded, tight the part that was served
	// as inTime, surplus the part that teams sent beyond their weights.
	completed, tight, surplus decayingSum
	// ended counts the tasks that succeeded; logRatio and logRatioSquared sum the
	// logarithms of their run times relative to the expected ones, and the squares.
	// runTime sums the expected run times in milliseconds.
	ended, logRatio, logRatioSquared, runTime decayingSum
}

func (p *Planner) ratesOf(name jobs.QueueName) *queueRates {
	if p.rates == nil {
		p.rates, p.ratesSince = map[jobs.QueueName]*queueRates{}, p.now
	}
	if p.rates[name] == nil {
		p.rates[name] = &queueRates{}
	}
	return p.rates[name]
}

// recordCompletion adds a run that has succeeded.
func (p *Planner) recordCompletion(r *run) {
	s := r.task.step
	if !p.policy.ShedByCost || s.Lasting {
		return
	}
	rates := p.ratesOf(s.job.Queue)
	work := s.expectedWork(1)
	rates.completed.add(p.now, work)
	switch s.rank.urgency {
	case inTime:
		rates.tight.add(p.now, work)
	case surplus, urgentSurplus:
		rates.surplus.add(p.now, work)
	}
	runTime, _ := p.expected(s)
	if ran := p.now.Sub(r.startedAt); runTime > 0 && ran > 0 && !r.startedAt.IsZero() {
		ratio := math.Log(ran.Seconds() / runTime.Seconds())
		rates.ended.add(p.now, 1)
		rates.runTime.add(p.now, float64(runTime.Milliseconds()))
		rates.logRatio.add(p.now, ratio)
		rates.logRatioSquared.add(p.now, ratio*ratio)
	}
}

// addShedding adds the figures from which fronts refuse surplus work.
func (p *Planner) addShedding(load *admission.Load) {
	observed := p.now.Sub(p.ratesSince)
	if !p.policy.ShedByCost || p.rates == nil || p.catalog == nil || observed < minRateTime {
		return
	}
	// The sums have not reached their final weight in the first windows.
	scale := 1 / (admission.RateWindow.Seconds() * (1 - math.Exp(-observed.Seconds()/admission.RateWindow.Seconds())))
	load.Shedding = map[jobs.QueueName]admission.QueueFigures{}
	for name := range p.catalog.Queues {
		rates := p.ratesOf(name)
		figures := admission.QueueFigures{
			Completed: int64(scale * rates.completed.valueAt(p.now)), Tight: int64(scale * rates.tight.valueAt(p.now)),
			Surplus: int64(scale * rates.surplus.valueAt(p.now)), Ended: int64(rates.ended.valueAt(p.now)),
		}
		if n := rates.ended.valueAt(p.now); n > 0 {
			figures.RunTime = int64(rates.runTime.valueAt(p.now) / n)
			mean := rates.logRatio.valueAt(p.now) / n
			figures.Spread = math.Sqrt(max(rates.logRatioSquared.valueAt(p.now)/n-mean*mean, 0))
		}
		load.Shedding[name] = figures
	}
	for _, s := range p.openSteps() {
		p.addWaitingFigures(load, s)
	}
	for _, e := range p.endpoints {
		load.Free += max(e.planned[model.CPU], 0)
	}
}

// addWaitingFigures adds a waiting step, whose rank Load has updated.
func (p *Planner) addWaitingFigures(load *admission.Load, s *step) {
	figures, found := load.Shedding[s.job.Queue]
	if !found || len(s.pending) == 0 || s.Lasting || s.job.closing() || s.rank.urgency == overdue {
		return
	}
	figures.Steps++
	if s.waitCause == WaitCapacity {
		figures.Short++
	}
	if s.rank.late && (s.rank.urgency == surplus || s.rank.urgency == urgentSurplus) {
		figures.LateSurplus += int64(s.expectedWork(len(s.pending)))
	}
	load.Shedding[s.job.Queue] = figures
}
