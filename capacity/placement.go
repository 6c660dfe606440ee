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
	// decisions is the number of decisions that one sample takes the mean of.
	decisions = 5000
	// perRack is the number of endpoints of a rack in the measured cell.
	perRack = 8
	// sizes is the number of different task sizes in the measured cell.
	sizes = 7
)

// workersOfTarget are the numbers of workers that a cell is measured at.
var workersOfTarget = []int{48, 200, 800, targetWorkers}

// world is a full cell with its running tasks.
type world struct {
	cell    *cell.Cell
	now     time.Time
	running []model.AttemptID
	next    int
	plan    policy.Plan
}

// newWorld returns a cell of n workers that runs the target's number of tasks
// for each worker.
func newWorld(n int) (*world, error) {
	w := &world{cell: cell.New(policy.Settings{}), now: time.Unix(0, 0)}
	w.cell.SetConfig(w.now, worldConfig())
	endpoints := worldEndpoints(n)
	w.cell.SetFleet(endpoints)
	for _, e := range endpoints {
		w.cell.SetEndpoint(w.now, e)
		w.cell.SetReachable(w.now, e.ID, true)
	}
	unlimited := model.Resources{1 << 40, 1 << 40, 1 << 40, 1 << 40, 1 << 40}
	for i := range targetTeams {
		w.cell.SetPart(teamName(i), unlimited)
	}
	for range int(float64(n) * runningPerEndpoint) {
		if err := w.submit(); err != nil {
			return nil, err
		}
		w.decide()
	}
	return w, nil
}

func teamName(i int) model.TeamName { return model.TeamName(fmt.Sprintf("team-%04d", i)) }

func worldConfig() *model.Config {
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

func worldEndpoints(n int) []model.EndpointInfo {
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

// submit hands in the next request.
func (w *world) submit() error {
	request := exampleRequest(w.next)
	request.Team = teamName(w.next % targetTeams)
	request.Spec.Class = model.ClassName(fmt.Sprintf("class-%02d", w.next%sizes))
	request.Spec.Size = model.Resources{int64(100 * (1 + w.next%sizes)), int64(256 * (1 + w.next%sizes)), 0, 1, 1}
	request.Accepted, request.Deadline = w.now, w.now.Add(time.Minute)
	w.next++
	return w.cell.Submit(w.now, &request)
}

// decide takes a plan and confirms its starts.
func (w *world) decide() {
	w.plan.Reset()
	w.cell.Decide(w.now, &w.plan)
	for _, s := range w.plan.Starts {
		w.cell.Confirm(w.now, s.Attempt)
		w.running = append(w.running, s.Attempt)
	}
}

// step ends the oldest task, submits another and decides.
func (w *world) step() error {
	w.now = w.now.Add(time.Millisecond)
	w.cell.Finish(w.now, policy.Finish{Attempt: w.running[0], Outcome: model.Succeeded, Elapsed: time.Second})
	w.running = w.running[1:]
	if err := w.submit(); err != nil {
		return err
	}
	w.decide()
	return nil
}

// DecisionTime measures the time of one decision in a full cell: the end of a
// task, a new request and the plan that starts it.
func DecisionTime() (Slope, error) {
	s := Slope{
		Name: "decision time", SizeUnit: "workers", Unit: "µs",
		Target: targetWorkers, Mechanism: "indexes of queues and endpoints that follow each event",
	}
	for _, n := range workersOfTarget {
		value, err := timeDecisions(n)
		if err != nil {
			return Slope{}, err
		}
		s.Samples = append(s.Samples, Sample{Size: float64(n), Value: value})
	}
	return s, nil
}

func timeDecisions(n int) (microseconds float64, err error) {
	w, err := newWorld(n)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	for range decisions {
		if err := w.step(); err != nil {
			return 0, err
		}
	}
	return float64(time.Since(started).Nanoseconds()) / decisions / 1000, nil
}

// CellMemory measures the heap of a full cell.
func CellMemory() (Slope, error) {
	s := Slope{
		Name: "scheduler state", SizeUnit: "workers", Unit: "KiB",
		Target: targetWorkers, Mechanism: "one record for each request, task and endpoint",
	}
	for _, n := range workersOfTarget {
		before := heapInUse()
		w, err := newWorld(n)
		if err != nil {
			return Slope{}, err
		}
		s.Samples = append(s.Samples, Sample{Size: float64(n), Value: (heapInUse() - before) / 1024})
		runtime.KeepAlive(w)
	}
	return s, nil
}

func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
