package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
)

const (
	// decisions is the number of decisions whose mean is one sample.
	decisions = 5000
	// perRack is the number of endpoints per rack in the measured cell.
	perRack = 8
	// taskSizes is the number of different task sizes in the measured cell.
	taskSizes = 7
)

// cellSizes are the numbers of endpoints at which a cell is measured.
var cellSizes = []int{48, 200, 800, targetWorkers}

// fixture is a cell at full load, with its running tasks in order of their start.
type fixture struct {
	cell    *cell.Cell
	now     time.Time
	running []model.AttemptID
	next    int
	plan    policy.Plan
}

// newFixture returns a cell of n endpoints with the target number of running tasks
// per endpoint.
func newFixture(n int) (*fixture, error) {
	f := &fixture{cell: cell.New(policy.Settings{}), now: time.Unix(0, 0)}
	f.cell.SetConfig(f.now, fixtureConfig())
	endpoints := fixtureEndpoints(n)
	f.cell.SetFleet(endpoints)
	for _, e := range endpoints {
		f.cell.SetEndpoint(f.now, e)
		f.cell.SetReachable(f.now, e.ID, true)
	}
	unlimited := model.Resources{1 << 40, 1 << 40, 1 << 40, 1 << 40, 1 << 40}
	for i := range targetTeams {
		f.cell.SetPart(teamName(i), unlimited)
	}
	for range int(float64(n) * runningPerEndpoint) {
		if err := f.submit(); err != nil {
			return nil, err
		}
		f.decide()
	}
	return f, nil
}

func teamName(i int) model.TeamName { return model.TeamName(fmt.Sprintf("team-%04d", i)) }

func fixtureConfig() *model.Config {
	config := exampleConfig(targetTeams)
	config.Version = 1
	for i := range config.Teams {
		config.Teams[i].Limit = model.Resources{1 << 40, 1 << 40, 1 << 40, 1 << 40, 1 << 40}
	}
	for i := range config.Classes {
		config.Classes[i].Repeatable = true
	}
	return &config
}

func fixtureEndpoints(n int) []model.EndpointInfo {
	var endpoints []model.EndpointInfo
	for i := range n {
		endpoints = append(endpoints, model.EndpointInfo{
			ID:       model.EndpointID(fmt.Sprintf("worker-%04d", i)),
			Domain:   "fd0",
			Rack:     model.RackName(fmt.Sprintf("rack-%d", i/perRack)),
			Capacity: model.Resources{16000, 65536, 0, 16, 64},
		})
	}
	return endpoints
}

// submit submits the next request to the cell.
func (f *fixture) submit() error {
	request := exampleRequest(f.next)
	request.Team = teamName(f.next % targetTeams)
	request.Spec.Class = model.ClassName(fmt.Sprintf("class-%02d", f.next%taskSizes))
	request.Spec.Size = model.Resources{int64(100 * (1 + f.next%taskSizes)), int64(256 * (1 + f.next%taskSizes)), 0, 1, 1}
	request.Accepted, request.Deadline = f.now, f.now.Add(time.Minute)
	f.next++
	return f.cell.Submit(f.now, &request)
}

// decide computes a plan and confirms its starts.
func (f *fixture) decide() {
	f.plan.Reset()
	f.cell.Decide(f.now, &f.plan)
	for _, s := range f.plan.Starts {
		f.cell.Confirm(f.now, s.Attempt)
		f.running = append(f.running, s.Attempt)
	}
}

// step ends the oldest task, submits another request and decides.
func (f *fixture) step() error {
	f.now = f.now.Add(time.Millisecond)
	f.cell.Finish(f.now, policy.Finish{Attempt: f.running[0], Outcome: model.Succeeded, Elapsed: time.Second})
	f.running = f.running[1:]
	if err := f.submit(); err != nil {
		return err
	}
	f.decide()
	return nil
}

// DecisionTime measures the time of one decision in a cell at full load: the end of
// a task, a new request and the plan that starts it.
func DecisionTime() (Slope, error) {
	s := Slope{
		Name: "decision time", SizeUnit: "workers", Unit: "µs",
		Target: targetWorkers, Mechanism: "indexes of queues and endpoints that follow each event",
	}
	for _, n := range cellSizes {
		value, err := timeDecisions(n)
		if err != nil {
			return Slope{}, err
		}
		s.Samples = append(s.Samples, Sample{Size: float64(n), Value: value})
	}
	return s, nil
}

func timeDecisions(n int) (microseconds float64, err error) {
	f, err := newFixture(n)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	for range decisions {
		if err := f.step(); err != nil {
			return 0, err
		}
	}
	return float64(time.Since(started).Nanoseconds()) / decisions / 1000, nil
}

// CellMemory measures the heap size of a cell at full load.
func CellMemory() (Slope, error) {
	s := Slope{
		Name: "scheduler state", SizeUnit: "workers", Unit: "KiB",
		Target: targetWorkers, Mechanism: "one record for each request, task and endpoint",
	}
	for _, n := range cellSizes {
		before := heapInUse()
		f, err := newFixture(n)
		if err != nil {
			return Slope{}, err
		}
		s.Samples = append(s.Samples, Sample{Size: float64(n), Value: (heapInUse() - before) / 1024})
		runtime.KeepAlive(f)
	}
	return s, nil
}

func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
