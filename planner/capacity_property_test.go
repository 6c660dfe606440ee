package planner_test

import (
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
	// capacitySeeds is the number of random sequences, of capacitySteps events each,
	// on a cell of capacityEndpoints endpoints.
	capacitySeeds     = 60
	capacitySteps     = 400
	capacityEndpoints = 4
)

// simulatedEndpoint is an endpoint that starts whatever it is sent.
type simulatedEndpoint struct {
	entry   fleet.Endpoint
	running map[jobs.RunID]model.Resources
	// refused are the runs that a stop has preceded.
	refused map[jobs.RunID]bool
	ended   []fleet.End
}

func (e *simulatedEndpoint) used() (sum model.Resources) {
	for _, size := range e.running {
		sum = sum.Add(size)
	}
	return sum
}

// end ends a run that is running.
func (e *simulatedEndpoint) end(id jobs.RunID, outcome fleet.Outcome) {
	if _, found := e.running[id]; found {
		delete(e.running, id)
		e.ended = append(e.ended, fleet.End{Run: id, Outcome: outcome})
	}
}

// clear ends everything without a trace.
func (e *simulatedEndpoint) clear() {
	e.running, e.refused, e.ended = map[jobs.RunID]model.Resources{}, map[jobs.RunID]bool{}, nil
}

// simulation is a cell whose endpoints change their capacity at random.
type simulation struct {
	*fixture
	random    *rand.Rand
	epoch     uint64
	endpoints []*simulatedEndpoint
	accepted  map[jobs.ID]*jobs.Job
	submitted int
	// unsent are the starts that are being recorded.
	unsent []planner.Start
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		fixture: newFixture(1, capacityEndpoints), random: rand.New(rand.NewPCG(seed, 0)),
		epoch: 1, accepted: map[jobs.ID]*jobs.Job{},
	}
	for i := range capacityEndpoints {
		e := &simulatedEndpoint{entry: endpointInfo(i)}
		e.clear()
		s.endpoints = append(s.endpoints, e)
	}
	return s
}

func (s *simulation) chance(percent int) bool { return s.random.IntN(100) < percent }

func (s *simulation) endpoint(id model.EndpointID) *simulatedEndpoint {
	return s.endpoints[slices.IndexFunc(s.endpoints, func(e *simulatedEndpoint) bool { return e.entry.ID == id })]
}

func (s *simulation) anyEndpoint() *simulatedEndpoint {
	return s.endpoints[s.random.IntN(len(s.endpoints))]
}

// step makes one random event and checks what the planner counts.
func (s *simulation) step() {
	s.tick(time.Duration(s.random.IntN(100)) * time.Millisecond)
	e := s.anyEndpoint()
	switch n := s.random.IntN(100); {
	case n < 12:
		s.submitAny()
	case n < 40:
		s.decide()
	case n < 55:
		s.sendStarts()
	case n < 65:
		s.endAny(e)
	case n < 80:
		s.listRuns(e)
	case n < 93:
		s.register(e, int64(s.random.IntN(5))*4000)
	case n < 96:
		e.clear()
		e.entry.Born++
		s.SetEndpoint(e.entry)
	case n < 98:
		s.EndpointUnresponsive(e.entry.ID)
		e.clear()
		s.EndpointLapsed(e.entry.ID)
	default:
		s.succeed()
	}
	s.checkUsed()
}

func (s *simulation) submitAny() {
	s.submitted++
	id := jobs.ID(fmt.Sprintf("job%03d", s.submitted))
	step := jobs.Step{
		Count: 1 + s.random.IntN(capacityEndpoints), Size: size(1000<<s.random.IntN(5), 1024), Estimate: time.Second,
		Checkpoints: s.chance(50), Gang: s.chance(25),
	}
	queue := []jobs.QueueName{urgent, gangs, batch}[s.random.IntN(3)]
	s.accepted[id] = s.submit(id, queue, step)
}

// register changes the endpoint's capacity.
func (s *simulation) register(e *simulatedEndpoint, cpu int64) {
	e.entry.Capacity[model.CPU] = cpu
	s.SetEndpoint(e.entry)
}

// decide takes a plan. Stops are executed at once; starts are sent later.
func (s *simulation) decide() {
	plan := s.plan()
	s.unsent = append(s.unsent, plan.Starts...)
	for _, stop := range plan.Stops {
		e := s.endpoint(stop.Endpoint)
		e.refused[stop.Run] = true
		s.endGang(stop.Run, fleet.Broken)
		e.end(stop.Run, fleet.Stopped)
		s.StopConfirmed(stop.Run)
	}
	for _, id := range plan.Removed {
		delete(s.accepted, id)
	}
}

// endGang ends the other members of a gang.
func (s *simulation) endGang(id jobs.RunID, outcome fleet.Outcome) {
	job := s.accepted[id.Task.Job]
	if job == nil || !job.Steps[id.Task.Step].Gang {
		return
	}
	for _, e := range s.endpoints {
		for other := range e.running {
			if other.Task.StepID == id.Task.StepID && other.Number == id.Number && other != id {
				e.end(other, outcome)
			}
		}
	}
}

func (s *simulation) sendStarts() {
	for _, start := range slices.Backward(s.unsent) {
		if s.StartPending(start.Run) && s.CheckStart(start) != nil {
			s.StartRefused(start.Run, fleet.ErrRefused)
		}
	}
	for _, start := range s.unsent {
		if s.StartPending(start.Run) {
			s.sendStart(start)
		}
	}
	s.unsent = nil
}

// sendStart starts a run, and checks that the endpoint has enough capacity for it.
func (s *simulation) sendStart(start planner.Start) {
	e := s.endpoint(start.Endpoint)
	size := s.accepted[start.Run.Task.Job].Steps[0].Committed()
	if e.refused[start.Run] || s.chance(5) {
		s.StartRefused(start.Run, fleet.ErrRefused)
		return
	}
	lost := s.chance(10)
	if !lost || s.chance(50) {
		e.running[start.Run] = size
		Expect(e.used()[model.CPU]).To(BeNumerically("<=", e.entry.Capacity[model.CPU]), start.Run.String())
	}
	if lost {
		s.NoResponse(start.Run)
	} else {
		s.StartConfirmed(start.Run)
	}
}

// sortedRuns returns the endpoint's runs in an order that depends on the seed only.
func (e *simulatedEndpoint) sortedRuns() []jobs.RunID {
	var list []jobs.RunID
	for id := range e.running {
		list = append(list, id)
	}
	slices.SortFunc(list, func(a, b jobs.RunID) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	return list
}

func (s *simulation) endAny(e *simulatedEndpoint) {
	runs := e.sortedRuns()
	if len(runs) == 0 {
		return
	}
	id := runs[s.random.IntN(len(runs))]
	if s.chance(10) {
		s.endGang(id, fleet.Broken)
		e.end(id, fleet.RunFailed)
		return
	}
	s.endGang(id, fleet.Succeeded)
	e.end(id, fleet.Succeeded)
}

func (s *simulation) listRuns(e *simulatedEndpoint) {
	listing := fleet.Listing{Born: e.entry.Born}
	for _, id := range e.sortedRuns() {
		listing.Running = append(listing.Running, running(id, 50))
	}
	for _, end := range e.ended {
		s.ends[e.entry.ID]++
		end.Number = s.ends[e.entry.ID]
		listing.Ended = append(listing.Ended, end)
	}
	e.ended = nil
	s.tick(time.Millisecond)
	requestedAt := s.now
	for _, unknown := range s.ApplyListing(e.entry.ID, listing, requestedAt) {
		e.end(unknown, fleet.Stopped)
		e.refused[unknown] = true
	}
}

// succeed replaces the planner by that of the next holder, to which the endpoints'
// entries arrive later than their runs.
func (s *simulation) succeed() {
	s.decide()
	progress := map[jobs.ID]*jobs.Progress{}
	for id := range s.accepted {
		progress[id] = s.progress(id)
	}
	s.epoch++
	next := newFixture(s.epoch, 0)
	next.tick(s.now.Sub(next.now))
	s.fixture, s.unsent = next, nil
	for _, e := range s.endpoints {
		s.SetEndpoint(fleet.Endpoint{ID: e.entry.ID, Leaving: true})
	}
	s.Restore(s.accepted, progress)
	for _, e := range s.endpoints {
		s.decide()
		Expect(s.unsent).NotTo(ContainElement(HaveField("Endpoint", e.entry.ID)), "its entry has not been read")
		s.listRuns(e)
		s.SetEndpoint(e.entry)
	}
}

// checkUsed compares what the planner counts as used with what runs.
func (s *simulation) checkUsed() {
	for _, e := range s.endpoints {
		Expect(e.used()[model.CPU]).To(BeNumerically("<=", s.Used(e.entry.ID)[model.CPU]), string(e.entry.ID))
	}
}

// drain lets all jobs end at the full capacity.
func (s *simulation) drain() {
	for range 200 {
		for _, e := range s.endpoints {
			s.register(e, 16000)
			s.listRuns(e)
			for _, id := range e.sortedRuns() {
				e.end(id, fleet.Succeeded)
			}
			s.listRuns(e)
		}
		s.tick(time.Second)
		s.decide()
		s.sendStarts()
	}
}

var _ = Describe("Endpoints whose capacity changes at random", func() {
	It("get no start beyond their capacity, and their whole capacity is used in the end", func() {
		for seed := range uint64(capacitySeeds) {
			By(fmt.Sprintf("seed %d", seed))
			s := newSimulation(seed)
			for range capacitySteps {
				s.step()
			}
			s.drain()
			Expect(s.accepted).To(BeEmpty())
			for _, e := range s.endpoints {
				Expect(s.Used(e.entry.ID)).To(BeZero())
			}
			s.submit("last", batch, jobs.Step{Count: capacityEndpoints, Size: size(16000, 65536), Estimate: time.Second})
			Expect(s.plan().Starts).To(HaveLen(capacityEndpoints))
		}
	})
})
