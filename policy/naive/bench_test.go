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

// benchEndpoints are the measured numbers of endpoints.
var benchEndpoints = []int{48, 200, 800, 1600}

// The load of the benchmarks.
const (
	benchTeams = 71
	// benchRunning is the number of running tasks per 1,600 endpoints.
	benchRunning = 17000
	// benchBacklog is the number of queued requests.
	benchBacklog = 10000
	// benchWarmUp and benchWarmUpNaive are the numbers of cycles before the
	// measurement.
	benchWarmUp      = 20000
	benchWarmUpNaive = 50
	// benchFinishInterval is the virtual time between the ends of two tasks.
	benchFinishInterval = 1333 * time.Microsecond
)

var benchClasses = []model.Class{
	{Name: "urgent", MaxWait: 4 * time.Second, Window: time.Minute, Shortage: model.Wait, Repeatable: true},
	{Name: "prompt", MaxWait: time.Minute, Window: time.Hour, Shortage: model.Wait},
	{Name: "batch", MaxWait: time.Hour, Window: 48 * time.Hour, Shortage: model.Checkpoint, Repeatable: true},
	{Name: "nightly", MaxWait: 8 * time.Hour, Window: 48 * time.Hour, Shortage: model.Rerun, Repeatable: true},
}

// loadedCell is a fully loaded cell. Ended requests are submitted again, so that
// only the scheduler allocates memory.
type loadedCell struct {
	scheduler  policy.Scheduler
	now        time.Time
	plan       policy.Plan
	running    []policy.Start
	head       int
	urgent     policy.Start
	created    int
	cycleTimes *hdrhistogram.Histogram
}

func newLoadedCell(scheduler policy.Scheduler, endpoints, backlog int) *loadedCell {
	b := &loadedCell{scheduler: scheduler, now: epoch, cycleTimes: hdrhistogram.New(1, int64(time.Second), 3)}
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
	for i := range endpoints {
		info := fixtureEndpoint(i)
		info.Rack = model.RackName(fmt.Sprintf("r%d", i/8))
		info.Capacity = model.Resources{32000, 131072, 0, 11, 64}
		scheduler.SetEndpoint(b.now, info)
	}
	running := benchRunning * endpoints / 1600
	b.fill(running, backlog)
	return b
}

// fill submits requests until the given number of tasks run and backlog requests
// are queued.
func (b *loadedCell) fill(running, backlog int) {
	for range running {
		b.submit(b.request(2))
	}
	for len(b.running) < running {
		b.decide()
	}
	for b.created < running+backlog {
		b.submit(b.request(b.created%2 + 2))
	}
	b.decide()
}

// request returns a new request; sizes differ between requests.
func (b *loadedCell) request(class int) *model.Request {
	i := b.created
	b.created++
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

func (b *loadedCell) submit(request *model.Request) {
	request.Accepted, request.Deadline = b.now, b.now.Add(48*time.Hour)
	if err := b.scheduler.Submit(b.now, request); err != nil {
		panic(err)
	}
}

func (b *loadedCell) decide() {
	b.plan.Reset()
	b.scheduler.Decide(b.now, &b.plan)
	for _, start := range b.plan.Starts {
		b.scheduler.Confirm(b.now, start.Attempt)
		b.running = append(b.running, start)
	}
}

// cycle ends the oldest task, submits its request again, makes a plan and
// records the wall-clock time that the scheduler took.
func (b *loadedCell) cycle() {
	b.now = b.now.Add(benchFinishInterval)
	ended := b.running[b.head]
	startedAt := time.Now()
	b.scheduler.Finish(b.now, policy.Finish{
		Attempt: ended.Attempt, Outcome: model.Succeeded, Elapsed: 20 * time.Second, Peak: ended.Size,
	})
	b.submit(ended.Request)
	b.plan.Reset()
	b.scheduler.Decide(b.now, &b.plan)
	_ = b.cycleTimes.RecordValue(int64(time.Since(startedAt)))
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
	for _, endpoints := range benchEndpoints {
		b.Run(fmt.Sprintf("workers=%d", endpoints), func(b *testing.B) {
			full := newLoadedCell(create(), endpoints, benchBacklog)
			for range warmUp {
				full.cycle()
			}
			full.cycleTimes.Reset()
			b.ReportAllocs()
			for b.Loop() {
				full.cycle()
			}
			b.ReportMetric(float64(full.cycleTimes.ValueAtQuantile(99)), "p99-ns")
			b.ReportMetric(float64(len(full.running)-full.head), "running")
		})
	}
}

// BenchmarkPlace measures one cycle of the cell scheduler in a fully loaded
// cell: a task ends, a request is submitted and a plan is made.
func BenchmarkPlace(b *testing.B) {
	benchmarkPlace(b, benchWarmUp, func() policy.Scheduler { return cell.New(policy.Settings{}) })
}

// BenchmarkPlaceNaive is BenchmarkPlace with the naive scheduler.
func BenchmarkPlaceNaive(b *testing.B) {
	benchmarkPlace(b, benchWarmUpNaive, func() policy.Scheduler { return naive.New(policy.Settings{}) })
}

// BenchmarkUrgent measures one cycle of an urgent request, without and with a
// backlog of other classes.
func BenchmarkUrgent(b *testing.B) {
	for _, backlog := range []int{0, benchBacklog} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) {
			full := newLoadedCell(cell.New(policy.Settings{}), 1600, backlog)
			request := full.request(0)
			full.submit(request)
			full.finishOldest()
			full.startUrgent(request)
			b.ReportAllocs()
			for b.Loop() {
				full.cycleUrgent()
			}
		})
	}
}

func (b *loadedCell) finishOldest() {
	b.scheduler.Finish(b.now, policy.Finish{
		Attempt: b.running[b.head].Attempt, Outcome: model.Succeeded, Peak: b.running[b.head].Size,
	})
	b.head++
}

// cycleUrgent ends the urgent task, submits its request again and expects the
// next plan to start it.
func (b *loadedCell) cycleUrgent() {
	b.now = b.now.Add(benchFinishInterval)
	request := b.urgent.Request
	b.scheduler.Finish(b.now, policy.Finish{Attempt: b.urgent.Attempt, Outcome: model.Succeeded, Peak: b.urgent.Size})
	b.submit(request)
	b.startUrgent(request)
}

// startUrgent makes a plan and panics unless it starts the request.
func (b *loadedCell) startUrgent(request *model.Request) {
	b.decide()
	for _, start := range b.plan.Starts {
		if start.Request == request {
			b.urgent = start
			return
		}
	}
	panic("the urgent request was not started")
}

// BenchmarkCancel measures one cancellation in a burst of 10,000. The time
// includes the plan that ends all of them, divided by their number.
func BenchmarkCancel(b *testing.B) {
	full := newLoadedCell(cell.New(policy.Settings{}), 1600, 0)
	burst := make([]*model.Request, benchBacklog)
	for i := range burst {
		burst[i] = full.request(2)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		position := i % len(burst)
		if position == 0 {
			b.StopTimer()
			full.submitBurst(burst)
			b.StartTimer()
		}
		full.scheduler.Cancel(full.now, burst[position].ID)
		if position == len(burst)-1 {
			full.decide()
			full.finishHalted()
		}
	}
}

// finishHalted ends the attempts that the plan halts.
func (b *loadedCell) finishHalted() {
	for _, halt := range b.plan.Halts {
		b.scheduler.Finish(b.now, policy.Finish{Attempt: halt.Attempt, Outcome: model.Stopped})
	}
}

// submitBurst submits the requests after a plan that ends those cancelled
// before, and makes a plan.
func (b *loadedCell) submitBurst(burst []*model.Request) {
	b.now = b.now.Add(time.Second)
	b.decide()
	for _, request := range burst {
		b.submit(request)
	}
	b.decide()
}
