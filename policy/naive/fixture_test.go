package naive_test

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/result"
)

// epoch is the start of the virtual clock in every test.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// endpointCapacity is the capacity of each endpoint.
var endpointCapacity = model.Resources{16000, 65536, 0, 8, 64}

// smallSize is the size of an ordinary task.
var smallSize = model.Resources{2000, 4096, 0, 1, 1}

// fullSize is the size of a task that uses all processors of an endpoint, so
// that no other task fits beside it.
var fullSize = model.Resources{16000, 4096, 0, 1, 1}

// fixture is a scheduler under test with a virtual clock. It collects the
// starts, halts and endings of all plans.
type fixture struct {
	scheduler policy.Scheduler
	config    *model.Config
	now       time.Time
	plan      policy.Plan
	starts    []policy.Start
	halts     []policy.Halt
	endings   map[model.RequestID]policy.Ending
	created   int
}

func fixtureConfig() *model.Config {
	limit := model.Resources{1 << 30, 1 << 30, 1 << 20, 1 << 20, 1 << 20}
	return &model.Config{
		Version: 1,
		Classes: []model.Class{
			{Name: "urgent", MaxWait: 4 * time.Second, Window: time.Minute, Shortage: model.Wait, Repeatable: true},
			{Name: "batch", MaxWait: time.Hour, Window: 4 * time.Hour, Shortage: model.Rerun, Repeatable: true},
			{Name: "nightly", MaxWait: 3 * time.Hour, Window: 8 * time.Hour, Shortage: model.Checkpoint, Repeatable: true},
			{Name: "once", MaxWait: time.Minute, Window: 10 * time.Minute, Shortage: model.Wait},
			{Name: "brief", MaxWait: time.Minute, Window: 10 * time.Minute, Shortage: model.Refuse, Repeatable: true},
		},
		Teams: []model.Team{
			{Name: "a", Share: 500, Limit: limit},
			{Name: "b", Share: 300, Limit: limit},
			{Name: "c", Share: 200, Limit: limit},
		},
		Domains: []model.Domain{{Name: "west", Shards: 1}},
	}
}

func fixtureEndpoint(i int) model.EndpointInfo {
	return model.EndpointInfo{
		ID:       model.EndpointID(fmt.Sprintf("e%03d", i)),
		Domain:   "west",
		Rack:     model.RackName(fmt.Sprintf("r%d", i/2)),
		Capacity: endpointCapacity,
	}
}

func newFixture(scheduler policy.Scheduler, endpoints int) *fixture {
	f := &fixture{scheduler: scheduler, now: epoch, endings: map[model.RequestID]policy.Ending{}}
	config := fixtureConfig()
	f.config = config
	scheduler.SetConfig(f.now, config)
	var infos []model.EndpointInfo
	for i := range endpoints {
		infos = append(infos, fixtureEndpoint(i))
		scheduler.SetEndpoint(f.now, infos[i])
	}
	scheduler.SetFleet(infos)
	for _, team := range config.Teams {
		scheduler.SetPart(team.Name, team.Limit)
	}
	return f
}

// request returns a new request of the team in the class. Zero fields of spec
// get defaults.
func (f *fixture) request(team model.TeamName, class model.ClassName, spec model.Spec) *model.Request {
	f.created++
	found, _ := f.config.Class(class)
	spec.Class = class
	spec.Tasks = max(spec.Tasks, 1)
	if spec.Size.IsZero() {
		spec.Size = smallSize
	}
	if spec.Estimate == 0 {
		spec.Estimate = time.Minute
	}
	return &model.Request{
		ID:       model.RequestID(fmt.Sprintf("0-%06d-west", f.created)),
		Team:     team,
		Spec:     spec,
		Accepted: f.now,
		Deadline: f.now.Add(found.Window),
	}
}

// submit submits a request, expects it to be accepted and returns its id.
func (f *fixture) submit(team model.TeamName, class model.ClassName, spec model.Spec) model.RequestID {
	request := f.request(team, class, spec)
	Expect(f.scheduler.Submit(f.now, request)).To(Succeed())
	return request.ID
}

// submitRejected submits a request, expects it to be rejected and returns the
// code.
func (f *fixture) submitRejected(team model.TeamName, class model.ClassName, spec model.Spec) result.Code {
	err := f.scheduler.Submit(f.now, f.request(team, class, spec))
	Expect(err).To(HaveOccurred())
	return result.Of(err).Code
}

// decide advances the clock and returns the starts of the next plan.
func (f *fixture) decide(after time.Duration) []policy.Start {
	f.now = f.now.Add(after)
	f.plan.Reset()
	f.scheduler.Decide(f.now, &f.plan)
	f.starts = append(f.starts, f.plan.Starts...)
	f.halts = append(f.halts, f.plan.Halts...)
	for _, ending := range f.plan.Endings {
		Expect(f.endings).NotTo(HaveKey(ending.Request), "each request must end once")
		f.endings[ending.Request] = ending
	}
	return append([]policy.Start(nil), f.plan.Starts...)
}

func (f *fixture) confirm(starts ...policy.Start) {
	for _, start := range starts {
		f.scheduler.Confirm(f.now, start.Attempt)
	}
}

func (f *fixture) finish(start policy.Start, outcome model.Outcome) {
	f.scheduler.Finish(f.now, policy.Finish{
		Attempt: start.Attempt,
		Outcome: outcome,
		Elapsed: time.Minute,
		Peak:    start.Size,
	})
}
