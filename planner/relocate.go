package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// relocationSlowdown is the slowdown from which an endpoint's runs are considered for
	// a move. It exceeds the differences between kinds of endpoints and what one wrong
	// estimate shows.
	relocationSlowdown = 2.0
	// relocationMargin is the part by which a move may take longer than expected and still
	// has to pay, since run times are predicted from few measurements.
	relocationMargin = 0.25
	// maxRelocations bounds the moves of one examination, so that a wrong reading of many
	// endpoints at once stops few runs before further listings correct it.
	maxRelocations = 16
)

// RelocationFigures are the figures by which a run stays or moves. Times count from now.
type RelocationFigures struct {
	// Stay is when the task ends if it stays, Move if it moves. Others is when the last of
	// the step's other tasks ends at the earliest, Following the time of the steps after.
	Stay, Move, Others, Following time.Duration
	// Age is the time since the job's objective began to count.
	Age, Objective time.Duration
}

// Moves reports whether moving the run ends it earlier, by a margin, and improves the
// class of the job's result.
func (f RelocationFigures) Moves() bool {
	move := f.Move + time.Duration(relocationMargin*float64(f.Move))
	return move < f.Stay && f.class(move) < f.class(f.Stay)
}

// class returns the class of the job's result if the task ends at the given time: 0 if the
// job meets its objective, 1 if its result is of use, 2 otherwise.
func (f RelocationFigures) class(end time.Duration) int {
	switch took := f.Age + max(end, f.Others) + f.Following; {
	case took <= f.Objective:
		return 0
	case took <= catalog.OverdueFactor*f.Objective:
		return 1
	default:
		return 2
	}
}

// Relocation is a run that is stopped because its task ends earlier on another endpoint.
type Relocation struct {
	Run              jobs.RunID
	Endpoint, Target model.EndpointID
	Queue            jobs.QueueName
	// Slowdown is that of the endpoint, Percent the run's progress.
	Slowdown, Percent float64
	RelocationFigures
}

// movingTask is a task that has been moved and is not placed again yet: capacity on the
// target is meant for it.
type movingTask struct {
	target *endpoint
	from   *run
	at     time.Time
}

// relocateRuns moves runs off endpoints that have become slow, those of the most urgent
// queues first.
func (p *Planner) relocateRuns() {
	if !p.policy.Relocation || p.now.Sub(p.relocationCheckedAt) < progressCheckPeriod {
		return
	}
	p.relocationCheckedAt = p.now
	p.updateProgressSlowdowns()
	var runs []*run
	for _, e := range p.endpoints {
		if e.runSlowdown.weight == 0 || !usableStates.Has(e.state) || e.slowdown(p.now) < relocationSlowdown {
			continue
		}
		for r := range e.runs {
			if p.relocatable(r) {
				runs = append(runs, r)
			}
		}
	}
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(cmp.Compare(p.queueOf(a.task.step.job).Priority, p.queueOf(b.task.step.job).Priority), compareRuns(a, b))
	})
	moved, meant := 0, p.capacityForMoving()
	for _, r := range runs {
		if moved == maxRelocations {
			return
		}
		if f, target := p.figuresOf(r, meant); target != nil && f.Moves() {
			p.relocate(r, target, f)
			meant[target] = meant[target].Add(r.size)
			moved++
		}
	}
}

// relocatable reports whether the run may be moved: once for each task, and neither gangs
// nor lasting tasks, nor tasks that may crash their endpoints.
func (p *Planner) relocatable(r *run) bool {
	t, s := r.task, r.task.step
	return r.state == runRunning && r.projectedRunTime > 0 && s.measurable() && !t.relocated &&
		len(t.liveRuns()) == 1 && !s.job.closing() && t.crashes() == 0 && p.queueOf(s.job) != nil
}

// figuresOf compares staying with moving to the best target; it returns a nil
// target if there is none or the run is not slow itself.
func (p *Planner) figuresOf(r *run, meant map[*endpoint]model.Resources) (f RelocationFigures, target *endpoint) {
	s, queue := r.task.step, p.queueOf(r.task.step.job)
	runTime := p.runTimeElsewhere(r)
	if float64(r.projectedRunTime) < relocationSlowdown*float64(runTime) {
		return f, nil
	}
	target, wait := p.relocationTarget(r, meant)
	if target == nil {
		return f, nil
	}
	f.Stay = r.remaining(p.now)
	f.Move = wait + time.Duration(max(target.slowdown(p.now), 1)*float64(r.workLeft(runTime)))
	f.Others = p.othersEnd(r, runTime)
	f.Following = s.job.CriticalPath(s.id.Step) - s.Estimate
	f.Age = p.now.Sub(s.job.occurrenceStart(s.id.Occurrence))
	// Callers' objectives follow from the work, which the step's run times show better
	// than its estimate.
	f.Objective = max(queue.JobObjective(s.job.Job)+time.Duration(queue.Stretch*float64(runTime-s.Estimate)), queue.Objective)
	return f, target
}

// runTimeElsewhere returns the run time of the run's task on a usual endpoint. Estimates
// are used only together with what other runs show of the endpoint.
func (p *Planner) runTimeElsewhere(r *run) time.Duration {
	if runTime, variance := p.usualRunTime(r); runTime > 0 && variance < estimateDeviation*estimateDeviation {
		return runTime
	}
	return time.Duration(float64(r.projectedRunTime) / r.endpoint.measuredSlowdown())
}

// remaining returns the time until the run ends at its present rate.
func (r *run) remaining(now time.Time) time.Duration {
	return max(time.Duration(float64(r.projectedRunTime)*(100-r.percent)/100)-now.Sub(r.listedAt), 0)
}

// workLeft returns the run time of the task's next run, of which the whole takes runTime.
func (r *run) workLeft(runTime time.Duration) time.Duration {
	if r.task.checkpoint() == "" {
		return runTime
	}
	return time.Duration(float64(runTime)*(100-r.percent)/100) + maxCheckpointLoss
}

// othersEnd returns when the last of the step's other tasks ends if those on slow
// endpoints are moved as well. Moving one task is of no use if others hold up the job.
func (p *Planner) othersEnd(r *run, runTime time.Duration) time.Duration {
	end := time.Duration(0)
	for _, t := range r.task.step.tasks {
		if t == r.task || t.state == taskDone {
			continue
		}
		left := runTime
		if other := t.run; other != nil && other.projectedRunTime > 0 {
			left = other.remaining(p.now)
			if t.relocated && other.state != runRunning {
				left = p.stopTime + other.workLeft(runTime)
			} else if p.relocatable(other) {
				left = min(left, p.stopTime+other.workLeft(runTime))
			}
		} else if other != nil && !other.startedAt.IsZero() {
			left = max(runTime-p.now.Sub(other.startedAt), 0)
		}
		end = max(end, left)
	}
	return end
}

// relocationTarget returns the endpoint with free capacity on which the run's task could
// start first, and the time until then: that of the stop, and of advice if the ticket
// does not outlast it.
func (p *Planner) relocationTarget(r *run, meant map[*endpoint]model.Resources) (best *endpoint, wait time.Duration) {
	s, queue := r.task.step, p.queueOf(r.task.step.job)
	bestSlowdown := toleratedSlowdown
	for _, e := range p.allowed(s, queue) {
		slowdown := e.slowdown(p.now)
		if e == r.endpoint || slowdown > toleratedSlowdown || e.state == endpointSuspect ||
			p.now.Before(e.avoidUntil) || s.atEndpointLimit(e) ||
			slices.Contains(r.task.avoidedEndpoints, e.ID) ||
			!fits(r.size, e.free.Sub(meant[e])) || !fits(r.size, e.planned.Sub(meant[e])) {
			continue
		}
		until := p.stopTime
		if queue.Advice != nil && s.advice.eligible[e.ID].expires.Before(p.now.Add(p.stopTime)) {
			until += 2 * queue.Advice.Cost(1) // renewAdvice at most doubles the fixed time.
		}
		if best == nil || until < wait || until == wait && slowdown < bestSlowdown {
			best, wait, bestSlowdown = e, until, slowdown
		}
	}
	return best, wait
}

// capacityForMoving returns the capacity that is meant for moved tasks which have not been
// placed again.
func (p *Planner) capacityForMoving() map[*endpoint]model.Resources {
	meant := map[*endpoint]model.Resources{}
	maps.DeleteFunc(p.movingTasks, func(t *task, m movingTask) bool {
		return t.state == taskDone || t.run != nil && t.run != m.from || t.step.job.closing() || p.now.Sub(m.at) > reservationTimeout
	})
	for _, m := range p.movingTasks {
		meant[m.target] = meant[m.target].Add(m.from.size)
	}
	return meant
}

// relocate stops the run, after which its task is placed again. That the task has been
// moved is recorded, so that a successor does not move it again.
func (p *Planner) relocate(r *run, target *endpoint, f RelocationFigures) {
	t, queue := r.task, r.task.step.job.Queue
	t.relocated, t.relocatedFrom, t.relocatedAt = true, r.endpoint, p.now
	t.avoid(r.endpoint.ID)
	t.step.job.markChanged()
	p.movingTasks[t] = movingTask{target: target, from: r, at: p.now}
	use := p.useOf(queue)
	use.Relocated++
	use.RelocationLoss += p.lostWork(r)
	slowdown := r.endpoint.slowdown(p.now)
	p.plan.Relocations = append(p.plan.Relocations, Relocation{
		Run: r.id, Endpoint: r.endpoint.ID, Target: target.ID, Queue: queue, Slowdown: slowdown, Percent: r.percent, RelocationFigures: f,
	})
	r.stop(fmt.Sprintf("its endpoint is slow by a factor of %.1f, and the task ends earlier on another one", slowdown))
}

// mayReturn reports whether the task may be placed on the endpoint: a task that has been
// moved does not return while the endpoint is slow, unless no other has taken it for
// reservationTimeout.
func (t *task) mayReturn(e *endpoint) bool {
	now := t.step.job.p.now
	return t.relocatedFrom != e || now.Sub(t.relocatedAt) > reservationTimeout || e.slowdown(now) <= toleratedSlowdown
}

// returnable returns the endpoints on which the task may be placed by mayReturn.
func (t *task) returnable(endpoints []*endpoint) []*endpoint {
	if t.relocatedFrom == nil || t.mayReturn(t.relocatedFrom) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e *endpoint) bool { return e == t.relocatedFrom })
}
