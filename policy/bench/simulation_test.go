package bench_test

import (
	"container/heap"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
)

// startTime is the start of the virtual clock.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The periods of the event loop.
const (
	// reportPeriod is the period at which every endpoint reports its usage.
	reportPeriod = 2 * time.Second
	// samplePeriod is the period at which utilization and shares are sampled.
	samplePeriod = time.Second
	// minDelay is the minimum delay until the next plan when no event occurs
	// before, and the delay until a halted attempt ends.
	minDelay = 10 * time.Millisecond
)

// scheduler is the part of policy.Scheduler that the simulation uses.
type scheduler interface {
	Submit(now time.Time, request *model.Request) error
	Decide(now time.Time, plan *policy.Plan)
	Confirm(now time.Time, attempt model.AttemptID)
	Finish(now time.Time, finished policy.Finish)
	ReportUsage(now time.Time, id model.EndpointID, running []model.Running)
}

// event is an action at a time. Events of the same time occur in the order of
// sequence.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, k int) bool {
	if !e[i].at.Equal(e[k].at) {
		return e[i].at.Before(e[k].at)
	}
	return e[i].sequence < e[k].sequence
}
func (e eventHeap) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// attempt is an attempt of a task.
type attempt struct {
	start     policy.Start
	job       *job
	startedAt time.Time
	// checkpointed is the part of the run time covered by the checkpoint of an
	// earlier attempt.
	checkpointed time.Duration
	ended        bool
}

// simulation runs a scheduler with a virtual clock and fake endpoints.
type simulation struct {
	deployment   *deployment
	scheduler    scheduler
	now          time.Time
	events       eventHeap
	lastSequence int
	jobs         map[model.RequestID]*job
	running      map[model.EndpointID][]*attempt
	live         map[model.AttemptID]*attempt
	checkpoints  map[model.TaskID]time.Duration
	plan         policy.Plan
	measured     *measurement
}

// simulate submits the jobs to the scheduler and returns the measurements of the
// given duration.
func simulate(d *deployment, s scheduler, jobs []*job, duration time.Duration) *measurement {
	sim := &simulation{
		deployment: d, scheduler: s, now: startTime,
		jobs: map[model.RequestID]*job{}, running: map[model.EndpointID][]*attempt{},
		live: map[model.AttemptID]*attempt{}, checkpoints: map[model.TaskID]time.Duration{},
		measured: newMeasurement(d),
	}
	for _, j := range jobs {
		sim.at(j.request.Accepted, func() { sim.submit(j) })
	}
	for _, info := range d.endpoints() {
		sim.every(reportPeriod, func() { sim.report(info.ID) })
	}
	sim.every(samplePeriod, func() { sim.measured.sample(sim) })
	end := startTime.Add(duration)
	for len(sim.events) > 0 && sim.events[0].at.Before(end) {
		sim.step()
	}
	sim.measured.countNeverStarted(sim)
	return sim.measured
}

func (sim *simulation) at(when time.Time, action func()) {
	sim.lastSequence++
	heap.Push(&sim.events, event{at: when, sequence: sim.lastSequence, action: action})
}

func (sim *simulation) every(period time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		action()
		sim.at(sim.now.Add(period), repeat)
	}
	sim.at(sim.now.Add(period), repeat)
}

// step processes all events of the next time, makes a plan and applies it.
func (sim *simulation) step() {
	sim.now = sim.events[0].at
	for len(sim.events) > 0 && !sim.events[0].at.After(sim.now) {
		heap.Pop(&sim.events).(event).action()
	}
	sim.plan.Reset()
	sim.scheduler.Decide(sim.now, &sim.plan)
	for _, s := range sim.plan.Starts {
		sim.start(s)
	}
	for _, h := range sim.plan.Halts {
		sim.halt(h)
	}
	for _, e := range sim.plan.Endings {
		sim.measured.recordEnding(sim.jobs[e.Request], e)
	}
	if !sim.plan.Wake.IsZero() {
		wake := sim.plan.Wake
		if earliest := sim.now.Add(minDelay); wake.Before(earliest) {
			wake = earliest
		}
		if len(sim.events) == 0 || wake.Before(sim.events[0].at) {
			sim.at(wake, func() {})
		}
	}
}

func (sim *simulation) submit(j *job) {
	sim.jobs[j.request.ID] = j
	sim.measured.classOf(j).accepted++
	if err := sim.scheduler.Submit(sim.now, j.request); err != nil {
		sim.measured.recordRejected(j)
		return
	}
	sim.measured.waitingByTeam[j.team]++
}

func (sim *simulation) start(s policy.Start) {
	j := sim.jobs[s.Request.ID]
	a := &attempt{start: s, job: j, startedAt: sim.now, checkpointed: sim.checkpoints[s.Attempt.Task]}
	sim.live[s.Attempt] = a
	sim.running[s.Endpoint] = append(sim.running[s.Endpoint], a)
	sim.measured.recordStart(sim.now, a)
	sim.measured.starts = append(sim.measured.starts, s)
	sim.scheduler.Confirm(sim.now, s.Attempt)
	sim.at(sim.now.Add(j.runTime-a.checkpointed), func() { sim.finish(a, model.Succeeded) })
	sim.killOverMemory(s.Endpoint)
}

// killOverMemory fails attempts, those with the largest excess over their size
// first, until the memory usage of the endpoint is within its capacity, as the
// out-of-memory killer of an operating system does.
func (sim *simulation) killOverMemory(id model.EndpointID) {
	for {
		used := int64(0)
		var victim *attempt
		for _, a := range sim.running[id] {
			used += a.job.usage[model.Memory]
			if victim == nil || a.excessMemory() > victim.excessMemory() {
				victim = a
			}
		}
		if used <= sim.deployment.capacity[model.Memory] {
			return
		}
		sim.measured.outOfMemoryKills++
		sim.finish(victim, model.Failed)
	}
}

// excessMemory returns the memory usage above the committed size, in MiB;
// negative when the usage is below it.
func (a *attempt) excessMemory() int64 { return a.job.usage[model.Memory] - a.start.Size[model.Memory] }

// finish ends an attempt and notifies the scheduler; it does nothing when the
// attempt has ended before.
func (sim *simulation) finish(a *attempt, outcome model.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	id := a.start.Endpoint
	for i, other := range sim.running[id] {
		if other == a {
			sim.running[id] = append(sim.running[id][:i], sim.running[id][i+1:]...)
			break
		}
	}
	delete(sim.live, a.start.Attempt)
	elapsed := sim.now.Sub(a.startedAt)
	if outcome == model.Checkpointed {
		sim.checkpoints[a.start.Attempt.Task] = a.checkpointed + elapsed
	}
	sim.measured.recordFinish(sim.now, a, outcome)
	sim.scheduler.Finish(sim.now, policy.Finish{
		Attempt: a.start.Attempt, Outcome: outcome, Elapsed: elapsed, Peak: a.job.usage,
	})
}

func (sim *simulation) halt(h policy.Halt) {
	a := sim.live[h.Attempt]
	switch {
	case a == nil || h.Treatment == model.Throttle:
	case h.Treatment == model.Checkpoint:
		sim.at(sim.now.Add(minDelay), func() { sim.finish(a, model.Checkpointed) })
	default:
		sim.at(sim.now.Add(minDelay), func() { sim.finish(a, model.Stopped) })
	}
}

func (sim *simulation) report(id model.EndpointID) {
	var running []model.Running
	for _, a := range sim.running[id] {
		running = append(running, model.Running{
			Attempt: a.start.Attempt, Size: a.start.Size, Usage: a.job.usage, Elapsed: sim.now.Sub(a.startedAt),
		})
	}
	sim.scheduler.ReportUsage(sim.now, id, running)
}
