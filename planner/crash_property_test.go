package planner_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
)

const (
	// crashSeeds is the number of random sequences, of crashRounds plans each, on a
	// cell that starts with crashEndpoints endpoints.
	crashSeeds     = 60
	crashRounds    = 250
	crashEndpoints = 5
	// maxStartsAfterLimit is how often a task may be started after it has crashed
	// three endpoints.
	maxStartsAfterLimit = 2
)

// crashableEndpoint is an endpoint that may be down.
type crashableEndpoint struct {
	*simulatedEndpoint
	// downFor is the number of rounds until it is back, replaced whether it is then
	// under another ID.
	downFor  int
	replaced bool
}

// crashSimulation is a cell with tasks that crash each endpoint that starts them,
// endpoints that crash by themselves, and holders that are replaced.
type crashSimulation struct {
	*fixture
	random    *rand.Rand
	epoch     uint64
	endpoints []*crashableEndpoint
	created   int
	accepted  map[jobs.ID]*jobs.Job
	recorded  map[jobs.ID][]byte
	deadly    map[jobs.ID]bool
	// crashes are the runs of each task, or gang, that have crashed an endpoint.
	// startsAfterLimit are those started after three such runs.
	crashes, startsAfterLimit map[jobs.TaskID]map[int]bool
	outcomes                  map[jobs.ID]planner.Outcome
	unanswered                []jobs.RunID
}

func newCrashSimulation(seed uint64) *crashSimulation {
	s := &crashSimulation{
		fixture: newFixture(1, 0), random: rand.New(rand.NewPCG(seed, 0)), epoch: 1,
		accepted: map[jobs.ID]*jobs.Job{}, recorded: map[jobs.ID][]byte{}, deadly: map[jobs.ID]bool{},
		crashes: map[jobs.TaskID]map[int]bool{}, startsAfterLimit: map[jobs.TaskID]map[int]bool{},
		outcomes: map[jobs.ID]planner.Outcome{},
	}
	for range crashEndpoints {
		s.addEndpoint()
	}
	return s
}

func (s *crashSimulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *crashSimulation) addEndpoint() {
	e := &crashableEndpoint{simulatedEndpoint: &simulatedEndpoint{entry: endpointInfo(s.created)}}
	e.clear()
	s.created++
	s.endpoints = append(s.endpoints, e)
	s.SetEndpoint(e.entry)
	s.listEndpoint(e)
}

func (s *crashSimulation) submitAll() {
	steps := map[string]jobs.Step{
		"single":  {Count: 2, Size: size(1000, 100), Estimate: time.Second},
		"gang":    {Count: 3, Size: size(3000, 100), Estimate: time.Second, Gang: true},
		"lasting": {Count: 2, Size: size(1000, 100), Estimate: time.Second, Lasting: true},
		"copies":  {Count: 2, Size: size(1000, 100), Estimate: time.Second, Copies: true},
		"wide":    {Count: 1, Size: size(16000, 100), Estimate: time.Second},
	}
	for kind, step := range steps {
		for _, deadly := range []bool{false, true} {
			id := jobs.ID(fmt.Sprintf("%s-%t", kind, deadly))
			s.deadly[id] = deadly
			job := &jobs.Job{ID: id, Team: "red", Queue: batch, Steps: []jobs.Step{step}, Accepted: s.now.UnixMilli()}
			s.accepted[id] = job
			s.AddJob(job, nil)
		}
	}
}

// countedTask returns the task whose crashes count: a gang's first.
func (s *crashSimulation) countedTask(run jobs.RunID) jobs.TaskID {
	t := run.Task
	if s.accepted[t.Job] != nil && s.accepted[t.Job].Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

func addRun(set map[jobs.TaskID]map[int]bool, t jobs.TaskID, number int) {
	if set[t] == nil {
		set[t] = map[int]bool{}
	}
	set[t][number] = true
}

func (s *crashSimulation) listEndpoint(e *crashableEndpoint) {
	parts := []any{e.entry.Born}
	for run := range e.running {
		parts = append(parts, running(run, 10))
	}
	for _, end := range e.ended {
		parts = append(parts, end)
	}
	e.ended = nil
	s.list(e.entry.ID, parts...)
}

func (s *crashSimulation) find(id model.EndpointID) *crashableEndpoint {
	for _, e := range s.endpoints {
		if e.entry.ID == id && e.downFor == 0 {
			return e
		}
	}
	return nil
}

func (s *crashSimulation) crash(e *crashableEndpoint) {
	e.clear()
	e.downFor, e.replaced = 1+s.random.IntN(4), s.chance(50)
	if s.chance(50) {
		s.EndpointUnresponsive(e.entry.ID)
	}
}

// record makes the progress of all jobs durable.
func (s *crashSimulation) record(plan planner.Plan) {
	for _, o := range plan.Outcomes {
		s.outcomes[o.Job] = o
	}
	for id := range s.accepted {
		if progress, held := s.Progress(id); held {
			raw, err := json.Marshal(progress)
			Expect(err).NotTo(HaveOccurred())
			s.recorded[id] = raw
		} else {
			delete(s.accepted, id)
		}
	}
}

// replaceHolder lets a successor take over what has been recorded.
func (s *crashSimulation) replaceHolder() {
	now := s.now
	s.epoch++
	s.fixture = newFixture(s.epoch, 0)
	s.unanswered = nil
	s.now = now
	s.tick(time.Duration(s.random.IntN(3000)) * time.Millisecond)
	for _, e := range s.endpoints {
		s.SetEndpoint(fleet.Endpoint{ID: e.entry.ID, Leaving: true})
	}
	for id, job := range s.accepted {
		var progress jobs.Progress
		Expect(json.Unmarshal(s.recorded[id], &progress)).To(Succeed())
		s.AddJob(job, &progress)
	}
	for _, e := range s.endpoints {
		if e.downFor == 0 {
			s.SetEndpoint(e.entry)
		}
	}
}

// start executes a start, with or without a response.
func (s *crashSimulation) start(start planner.Start) {
	if !s.StartPending(start.Run) {
		return
	}
	e := s.find(start.Endpoint)
	if e == nil || e.refused[start.Run] {
		s.StartRefused(start.Run, fleet.ErrRefused)
		return
	}
	s.StartSent(start.Run)
	e.running[start.Run] = model.Resources{}
	counted := s.countedTask(start.Run)
	if len(s.crashes[counted]) >= 3 {
		addRun(s.startsAfterLimit, counted, start.Run.Number)
	}
	switch s.random.IntN(4) {
	case 0:
		s.NoResponse(start.Run)
	case 1:
		s.unanswered = append(s.unanswered, start.Run)
	default:
		s.StartConfirmed(start.Run)
	}
	if s.deadly[start.Run.Task.Job] {
		if s.chance(20) {
			s.listEndpoint(e)
		}
		addRun(s.crashes, counted, start.Run.Number)
		s.crash(e)
	}
}

func (s *crashSimulation) stop(stop planner.Stop) {
	e := s.find(stop.Endpoint)
	if e == nil {
		s.NoResponse(stop.Run)
		return
	}
	e.refused[stop.Run] = true
	e.end(stop.Run, fleet.Stopped)
	s.StopConfirmed(stop.Run)
}

// serve lets the endpoint crash by itself, return or list its runs.
func (s *crashSimulation) serve(e *crashableEndpoint) {
	switch {
	case e.downFor > 1:
		e.downFor--
		s.EndpointUnresponsive(e.entry.ID)
	case e.downFor == 1 && e.replaced:
		s.EndpointLapsed(e.entry.ID)
		s.RemoveEndpoint(e.entry.ID)
		s.endpoints = slices.DeleteFunc(s.endpoints, func(other *crashableEndpoint) bool { return other == e })
		s.addEndpoint()
	case e.downFor == 1:
		e.downFor = 0
		e.entry.Born++
		if s.chance(50) {
			s.SetEndpoint(e.entry)
		}
		s.listEndpoint(e)
	case s.chance(1):
		s.crash(e)
	default:
		s.listEndpoint(e)
	}
}

func (s *crashSimulation) round() {
	s.tick(time.Duration(20+s.random.IntN(300)) * time.Millisecond)
	plan := s.plan()
	s.record(plan)
	if s.chance(3) {
		s.replaceHolder()
		return
	}
	for _, start := range plan.Starts {
		s.start(start)
	}
	if s.chance(3) {
		s.replaceHolder()
		return
	}
	for _, stop := range plan.Stops {
		s.stop(stop)
	}
	for _, run := range s.unanswered {
		s.NoResponse(run)
	}
	s.unanswered = nil
	for _, e := range slices.Clone(s.endpoints) {
		s.serve(e)
	}
}

var _ = Describe("Tasks that crash their endpoints, in random sequences", func() {
	It("are not started three times more after three endpoints have crashed", func() {
		for seed := range uint64(crashSeeds) {
			s := newCrashSimulation(seed)
			s.submitAll()
			for range crashRounds {
				s.round()
			}
			for t, numbers := range s.startsAfterLimit {
				Expect(len(numbers)).To(BeNumerically("<=", maxStartsAfterLimit), "seed %d, task %s, crashes %v", seed, t, s.crashes[t])
			}
		}
	})
})
