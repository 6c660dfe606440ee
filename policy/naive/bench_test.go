package naive_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/policy/naive"
)

// benchWorkers are the numbers of endpoints that are measured.
var benchWorkers = []int{48, 200, 800, 1600}

// The load of the benchmarks.
const (
	// benchTeams is the number of teams.
	benchTeams = 71
	// benchRunning is the number of running tasks for each 1,600 endpoints.
	benchRunning = 17000
	// benchBacklog is the number of queued requests beside them.
	benchBacklog = 10000
	// benchWarmUp and benchWarmUpNaive are the turns before the measurement.
	benchWarmUp      = 20000
	benchWarmUpNaive = 50
	// benchStep is the virtual time between two ends of tasks.
	benchStep = 1333 * time.Microsecond
)

// benchClasses are the classes of the benchmarks.
var benchClasses = []model.Class{
	{Name: "urgent", MaxWait: 4 * time.Second, Window: time.Minute, Shortage: model.Wait, Repeatable: true},
	{Name: "prompt", MaxWait: time.Minute, Window: time.Hour, Shortage: model.Wait},
	{Name: "batch", MaxWait: time.Hour, Window: 48 * time.Hour, Shortage: model.Checkpoint, Repeatable: true},
	{Name: "nightly", MaxWait: 8 * time.Hour, Window: 48 * time.Hour, Shortage: model.Rerun, Repeatable: true},
}

// bench is a full cell whose requests are submitted again when they have ended,
// so that the scheduler's own allocations are all there is.
type bench struct {
	scheduler policy.Scheduler
	now       time.Time
	plan      policy.Plan
	running   []policy.Start
	head      int
	urgent    policy.Start
	made      int
	decided   *hdrhistogram.Histogram
}

func newBench(scheduler policy.Scheduler, workers, backlog int) *bench {
	b := &bench{scheduler: scheduler, now: epoch, decided: hdrhistogram.New(1, int64(time.Second), 3)}
	limit := model.Resources{1 << 40, 1 << 40, 1 << 40, 1 << 40, 1 << 40}
	config := &model.Config{Version: 1, Classes: benchClasses}
	for i := range benchTeams {
		config.Teams = append(config.Teams, model.Team{
			Name: model.TeamName(fmt.Sprintf("t%02d", i)), Share: int64(5 + i%20), Limit: limit,
		})
	}
	scheduler.SetConfig(b.now, config)
	for _, team := range config.Teams {
		scheduler.SetPart(team.Name, limit)
	}
	for i := range workers {
		info := worldEndpoint(i)
		info.Rack = model.RackName(fmt.Sprintf("r%d", i/8))
		info.Capacity = model.Resources{32000, 131072, 0, 11, 64}
		scheduler.SetEndpoint(b.now, info)
	}
	running := benchRunning * workers / 1600
	b.fill(running, backlog)
	return b
}

// fill submits until running tasks run and backlog requests wait.
func (b *bench) fill(running, backlog int) {
	for range running {
		b.submit(b.request(2))
	}
	for len(b.running) < running {
		b.decide()
	}
	for b.made < running+backlog {
		b.submit(b.request(b.made%2 + 2))
	}
	b.decide()
}

// request makes a request; sizes differ from team to team.
func (b *bench) request(class int) *model.Request {
	i := b.made
	b.made++
	return &model.Request{
		ID:   model.RequestID(fmt.Sprintf("0-%d-west", i)),
		Team: model.TeamName(fmt.Sprintf("t%02d", i%benchTeams)),
		Spec: model.Spec{
			Class: benchClasses[class].Name, Tasks: 1, Estimate: 20 * time.Second,
			Size: model.Resources{int64(1500 + 250*(i%6)), int64(4096 + 1024*(i%5)), 0, 1, 1},
		},
		Accepted: b.now, Deadline: b.now.Add(benchClasses[class].Window),
	}
}

func (b *bench) submit(request *model.Request) {
	request.Accepted, request.Deadline = b.now, b.now.Add(48*time.Hour)
	if err := b.scheduler.Submit(b.now, request); err != nil {
		panic(err)
	}
}

func (b *bench) decide() {
	b.plan.Reset()
	b.scheduler.Decide(b.now, &b.plan)
	for _, start := range b.plan.Starts {
		b.scheduler.Confirm(b.now, start.Attempt)
		b.running = append(b.running, start)
	}
}

// turn ends the oldest task, submits a request in its place and decides.
func (b *bench) turn() {
	b.now = b.now.Add(benchStep)
	ended := b.running[b.head]
	began := time.Now()
	b.scheduler.Finish(b.now, policy.Finish{
		Attempt: ended.Attempt, Outcome: model.Succeeded, Elapsed: 20 * time.Second, Peak: ended.Size,
	})
	b.submit(ended.Request)
	b.plan.Reset()
	b.scheduler.Decide(b.now, &b.plan)
	_ = b.decided.RecordValue(int64(time.Since(began)))
	b.head++
	for _, start := range b.plan.Starts {
		b.scheduler.Confirm(b.now, start.Attempt)
		b.running = append(b.running, start)
	}
	if b.head == len(b.running) || b.head > 1<<16 {
		b.running = append(b.running[:0], b.running[b.head:]...)
		b.head = 0
	}
}

func benchmarkPlace(b *testing.B, warmUp int, create func() policy.Scheduler) {
	for _, workers := range benchWorkers {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			cell := newBench(create(), workers, benchBacklog)
			for range warmUp {
				cell.turn()
			}
			cell.decided.Reset()
			b.ReportAllocs()
			for b.Loop() {
				cell.turn()
			}
			b.ReportMetric(float64(cell.decided.ValueAtQuantile(99)), "p99-ns")
			b.ReportMetric(float64(len(cell.running)-cell.head), "running")
		})
	}
}

// BenchmarkPlace measures one decision of the fast scheduler in a full cell: a
// task ends, a request comes and a plan is made.
func BenchmarkPlace(b *testing.B) {
	benchmarkPlace(b, benchWarmUp, func() policy.Scheduler { return cell.New(policy.Settings{}) })
}

// BenchmarkPlaceNaive is BenchmarkPlace with the naive scheduler.
func BenchmarkPlaceNaive(b *testing.B) {
	benchmarkPlace(b, benchWarmUpNaive, func() policy.Scheduler { return naive.New(policy.Settings{}) })
}

// BenchmarkUrgent measures the same turn of an urgent request, once with an
// empty queue behind it and once with a backlog.
func BenchmarkUrgent(b *testing.B) {
	for _, backlog := range []int{0, benchBacklog} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) {
			full := newBench(cell.New(policy.Settings{}), 1600, backlog)
			request := full.request(0)
			full.submit(request)
			full.finishOldest()
			full.startUrgent(request)
			b.ReportAllocs()
			for b.Loop() {
				full.turnUrgent()
			}
		})
	}
}

// finishOldest ends the oldest task.
func (b *bench) finishOldest() {
	b.scheduler.Finish(b.now, policy.Finish{
		Attempt: b.running[b.head].Attempt, Outcome: model.Succeeded, Peak: b.running[b.head].Size,
	})
	b.head++
}

// turnUrgent ends the urgent task, submits it again and wants it started.
func (b *bench) turnUrgent() {
	b.now = b.now.Add(benchStep)
	request := b.urgent.Request
	b.scheduler.Finish(b.now, policy.Finish{Attempt: b.urgent.Attempt, Outcome: model.Succeeded, Peak: b.urgent.Size})
	b.submit(request)
	b.startUrgent(request)
}

// startUrgent makes a plan and wants the request in it.
func (b *bench) startUrgent(request *model.Request) {
	b.decide()
	for _, start := range b.plan.Starts {
		if start.Request == request {
			b.urgent = start
			return
		}
	}
	panic("the urgent request was not started")
}

// BenchmarkCancel measures one cancellation in a wave of 10,000, with the plan
// that reports the whole wave spread over its cancellations.
func BenchmarkCancel(b *testing.B) {
	full := newBench(cell.New(policy.Settings{}), 1600, 0)
	wave := make([]*model.Request, benchBacklog)
	for i := range wave {
		wave[i] = full.request(2)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := i % len(wave)
		if at == 0 {
			b.StopTimer()
			full.submitWave(wave)
			b.StartTimer()
		}
		full.scheduler.Cancel(full.now, wave[at].ID)
		if at == len(wave)-1 {
			full.decide()
			full.stopHalted()
		}
	}
}

// stopHalted ends the attempts that the plan halts.
func (b *bench) stopHalted() {
	for _, halt := range b.plan.Halts {
		b.scheduler.Finish(b.now, policy.Finish{Attempt: halt.Attempt, Outcome: model.Stopped})
	}
}

// submitWave submits the requests and makes plans until all are queued.
func (b *bench) submitWave(wave []*model.Request) {
	b.now = b.now.Add(time.Second)
	b.decide()
	for _, request := range wave {
		b.submit(request)
	}
	b.decide()
}
