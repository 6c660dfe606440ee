package bench_test

import (
	"container/heap"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
)

// start is when the virtual clock starts.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The periods of the event loop.
const (
	// reportPeriod is how often every endpoint reports its usage.
	reportPeriod = 2 * time.Second
	// samplePeriod is how often use and shares are sampled.
	samplePeriod = time.Second
	// minTurn is the least time between two plans without an event.
	minTurn = 10 * time.Millisecond
)

// scheduler is the part of policy.Scheduler that the measurements need.
type scheduler interface {
	Submit(now time.Time, request *model.Request) error
	Decide(now time.Time, plan *policy.Plan)
	Confirm(now time.Time, attempt model.AttemptID)
	Finish(now time.Time, finished policy.Finish)
	Report(now time.Time, id model.EndpointID, running []model.Running)
}

// event is something that happens at a time; the number makes the order total.
type event struct {
	at     time.Time
	number int
	act    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	if !e[i].at.Equal(e[k].at) {
		return e[i].at.Before(e[k].at)
	}
	return e[i].number < e[k].number
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// attempt is a running task.
type attempt struct {
	start policy.Start
	job   *job
	began time.Time
	// done is how much of the run time an earlier attempt had checkpointed.
	done  time.Duration
	ended bool
}

// run is one measurement.
type run struct {
	deployment *deployment
	scheduler  scheduler
	now        time.Time
	queue      events
	numbered   int
	jobs       map[model.RequestID]*job
	running    map[model.EndpointID][]*attempt
	byID       map[model.AttemptID]*attempt
	saved      map[model.TaskID]time.Duration
	plan       policy.Plan
	result     *measurement
}

// measure runs the jobs through the scheduler for the span.
func measure(d *deployment, s scheduler, jobs []*job, span time.Duration) *measurement {
	r := &run{
		deployment: d, scheduler: s, now: start,
		jobs: map[model.RequestID]*job{}, running: map[model.EndpointID][]*attempt{},
		byID: map[model.AttemptID]*attempt{}, saved: map[model.TaskID]time.Duration{},
		result: newMeasurement(d),
	}
	for _, j := range jobs {
		r.at(j.request.Accepted, func() { r.submit(j) })
	}
	for _, info := range d.endpoints() {
		r.every(reportPeriod, func() { r.report(info.ID) })
	}
	r.every(samplePeriod, func() { r.result.sample(r) })
	end := start.Add(span)
	for len(r.queue) > 0 && r.queue[0].at.Before(end) {
		r.step()
	}
	r.result.close(r)
	return r.result
}

func (r *run) at(when time.Time, act func()) {
	r.numbered++
	heap.Push(&r.queue, event{at: when, number: r.numbered, act: act})
}

func (r *run) every(period time.Duration, act func()) {
	var again func()
	again = func() {
		act()
		r.at(r.now.Add(period), again)
	}
	r.at(r.now.Add(period), again)
}

// step works off all events of one moment and makes a plan.
func (r *run) step() {
	r.now = r.queue[0].at
	for len(r.queue) > 0 && !r.queue[0].at.After(r.now) {
		heap.Pop(&r.queue).(event).act()
	}
	r.plan.Reset()
	r.scheduler.Decide(r.now, &r.plan)
	for _, s := range r.plan.Starts {
		r.begin(s)
	}
	for _, h := range r.plan.Halts {
		r.halt(h)
	}
	for _, e := range r.plan.Endings {
		r.result.end(r.jobs[e.Request], e)
	}
	if !r.plan.Wake.IsZero() {
		wake := r.plan.Wake
		if earliest := r.now.Add(minTurn); wake.Before(earliest) {
			wake = earliest
		}
		if len(r.queue) == 0 || wake.Before(r.queue[0].at) {
			r.at(wake, func() {})
		}
	}
}

func (r *run) submit(j *job) {
	r.jobs[j.request.ID] = j
	r.result.of(j).accepted++
	if err := r.scheduler.Submit(r.now, j.request); err != nil {
		r.result.refuse(j)
		return
	}
	r.result.waiting[j.team]++
}

func (r *run) begin(s policy.Start) {
	j := r.jobs[s.Request.ID]
	a := &attempt{start: s, job: j, began: r.now, done: r.saved[s.Attempt.Task]}
	r.byID[s.Attempt] = a
	r.running[s.Endpoint] = append(r.running[s.Endpoint], a)
	r.result.begin(r.now, a)
	r.result.starts = append(r.result.starts, s)
	r.scheduler.Confirm(r.now, s.Attempt)
	r.at(r.now.Add(j.runTime-a.done), func() { r.finish(a, model.Succeeded) })
	r.outOfMemory(s.Endpoint)
}

// outOfMemory ends the attempt that is furthest above its size while the
// endpoint's memory is used beyond its capacity, as an operating system does.
func (r *run) outOfMemory(id model.EndpointID) {
	for {
		used := int64(0)
		var worst *attempt
		for _, a := range r.running[id] {
			used += a.job.usage[model.Memory]
			if worst == nil || a.over() > worst.over() {
				worst = a
			}
		}
		if used <= r.deployment.capacity[model.Memory] {
			return
		}
		r.result.outOfMemory++
		r.finish(worst, model.Failed)
	}
}

// over is the memory that the attempt uses above its size.
func (a *attempt) over() int64 { return a.job.usage[model.Memory] - a.start.Size[model.Memory] }

// finish ends an attempt.
func (r *run) finish(a *attempt, outcome model.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	id := a.start.Endpoint
	for i, other := range r.running[id] {
		if other == a {
			r.running[id] = append(r.running[id][:i], r.running[id][i+1:]...)
			break
		}
	}
	delete(r.byID, a.start.Attempt)
	elapsed := r.now.Sub(a.began)
	if outcome == model.Checkpointed {
		r.saved[a.start.Attempt.Task] = a.done + elapsed
	}
	r.result.finish(r.now, a, outcome)
	r.scheduler.Finish(r.now, policy.Finish{
		Attempt: a.start.Attempt, Outcome: outcome, Elapsed: elapsed, Peak: a.job.usage,
	})
}

func (r *run) halt(h policy.Halt) {
	a := r.byID[h.Attempt]
	switch {
	case a == nil || h.Treatment == model.Throttle:
	case h.Treatment == model.Checkpoint:
		r.at(r.now.Add(minTurn), func() { r.finish(a, model.Checkpointed) })
	default:
		r.at(r.now.Add(minTurn), func() { r.finish(a, model.Stopped) })
	}
}

func (r *run) report(id model.EndpointID) {
	var running []model.Running
	for _, a := range r.running[id] {
		running = append(running, model.Running{
			Attempt: a.start.Attempt, Size: a.start.Size, Usage: a.job.usage, Elapsed: r.now.Sub(a.began),
		})
	}
	r.scheduler.Report(r.now, id, running)
}
