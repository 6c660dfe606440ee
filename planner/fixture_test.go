package planner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
)

// The queues of these tests: urgent work, gangs and batch work.
const (
	urgent = jobs.QueueName("urgent")
	gangs  = jobs.QueueName("gangs")
	batch  = jobs.QueueName("batch")
)

// world drives a planner by hand.
type world struct {
	*planner.Planner
	now     time.Time
	catalog *catalog.Catalog
	clock   map[model.EndpointID]int64
	ends    map[model.EndpointID]int64
}

// newWorld returns a cell of n endpoints of 16 cores and 64 GiB that have all
// been listed.
func newWorld(epoch uint64, n int) *world {
	w := &world{
		Planner: planner.New(epoch),
		now:     time.Unix(1000, 0),
		clock:   map[model.EndpointID]int64{},
		ends:    map[model.EndpointID]int64{},
	}
	w.catalog = &catalog.Catalog{
		Version: 1,
		Queues: map[jobs.QueueName]*catalog.Queue{
			urgent: {Name: urgent, Service: "cook", Priority: 0, Attempts: 2, Stretch: 1.5, Objective: 250 * time.Millisecond},
			gangs:  {Name: gangs, Service: "cook", Priority: 1, Attempts: 3, Stretch: 2.2, Objective: time.Second},
			batch:  {Name: batch, Service: "cook", Priority: 2, Attempts: 3, Stretch: 4, Objective: 3 * time.Second},
		},
		Services: map[catalog.ServiceName]*catalog.Service{"cook": {Name: "cook"}},
		Teams:    map[model.TeamName]*catalog.Team{"red": {Name: "red", Weight: 100}},
	}
	w.tick(0)
	w.SetCatalog(w.catalog)
	w.SetAdvisers(3)
	for i := range n {
		w.SetEndpoint(endpointInfo(i))
		w.list(endpointID(i))
	}
	return w
}

func endpointID(i int) model.EndpointID { return model.EndpointID(fmt.Sprintf("e%02d", i)) }

func endpointInfo(i int) fleet.Endpoint {
	return fleet.Endpoint{
		ID: endpointID(i), Service: "cook", Address: "10.0.0.1:1", Domain: model.DomainName(fmt.Sprintf("d%d", i%3)),
		Rack: model.RackName(fmt.Sprintf("r%d", i/4)), Capacity: size(16000, 65536), Born: 1,
	}
}

func size(cpu, memory int64) model.Resources {
	return model.Resources{model.CPU: cpu, model.Memory: memory}
}

// tick moves the time on.
func (w *world) tick(d time.Duration) {
	w.now = w.now.Add(d)
	w.Clock(w.now, w.now.UnixMilli())
}

// plan decides and returns the plan.
func (w *world) plan() planner.Plan {
	w.Decide()
	return w.Take()
}

// submit takes in a job of one step.
func (w *world) submit(id jobs.ID, queue jobs.QueueName, step jobs.Step) *jobs.Job {
	job := &jobs.Job{ID: id, Team: "red", Queue: queue, Spec: "work", Steps: []jobs.Step{step}, Accepted: w.now.UnixMilli()}
	w.AddJob(job, nil)
	return job
}

// list tells the planner an endpoint's listing.
func (w *world) list(id model.EndpointID, parts ...any) []jobs.RunID {
	l := fleet.Listing{Born: 1}
	for _, p := range parts {
		switch p := p.(type) {
		case fleet.Sighting:
			l.Running = append(l.Running, p)
		case fleet.End:
			w.ends[id]++
			p.Number = w.ends[id]
			l.Ended = append(l.Ended, p)
		case int64:
			l.Born = p
		}
	}
	w.tick(time.Millisecond)
	return w.Listed(id, l, w.now)
}

// start confirms every start of the plan.
func (w *world) start(plan planner.Plan) {
	for _, s := range plan.Starts {
		w.tick(time.Millisecond)
		w.Started(s.Run)
	}
}

func ended(run jobs.RunID, outcome fleet.Outcome) fleet.End {
	return fleet.End{Run: run, Outcome: outcome}
}

func running(run jobs.RunID, percent float64) fleet.Sighting {
	return fleet.Sighting{Run: run, Percent: percent}
}

// progress returns the job's progress as it would be recorded.
func (w *world) progress(id jobs.ID) *jobs.Progress {
	found, known := w.Progress(id)
	Expect(known).To(BeTrue())
	return &found
}
