package naive_test

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/result"
)

// epoch is when the virtual clock of every test starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// worldCapacity is the capacity of each endpoint.
var worldCapacity = model.Resources{16000, 65536, 0, 8, 64}

// smallSize is the size of an ordinary task.
var smallSize = model.Resources{2000, 4096, 0, 1, 1}

// wholeSize is the size of a task that fills an endpoint.
var wholeSize = model.Resources{16000, 4096, 0, 1, 1}

// world is a scheduler with the effects of its plans.
type world struct {
	scheduler policy.Scheduler
	config    *model.Config
	now       time.Time
	plan      policy.Plan
	starts    []policy.Start
	halts     []policy.Halt
	endings   map[model.RequestID]policy.Ending
	made      int
}

func worldConfig() *model.Config {
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

func worldEndpoint(i int) model.EndpointInfo {
	return model.EndpointInfo{
		ID:       model.EndpointID(fmt.Sprintf("e%03d", i)),
		Domain:   "west",
		Rack:     model.RackName(fmt.Sprintf("r%d", i/2)),
		Capacity: worldCapacity,
	}
}

func newWorld(scheduler policy.Scheduler, endpoints int) *world {
	w := &world{scheduler: scheduler, now: epoch, endings: map[model.RequestID]policy.Ending{}}
	config := worldConfig()
	w.config = config
	scheduler.SetConfig(w.now, config)
	var infos []model.EndpointInfo
	for i := range endpoints {
		infos = append(infos, worldEndpoint(i))
		scheduler.SetEndpoint(w.now, infos[i])
	}
	scheduler.SetFleet(infos)
	for _, team := range config.Teams {
		scheduler.SetPart(team.Name, team.Limit)
	}
	return w
}

// request makes a request of the team in the class.
func (w *world) request(team model.TeamName, class model.ClassName, spec model.Spec) *model.Request {
	w.made++
	found, _ := w.config.Class(class)
	spec.Class = class
	spec.Tasks = max(spec.Tasks, 1)
	if spec.Size.IsZero() {
		spec.Size = smallSize
	}
	if spec.Estimate == 0 {
		spec.Estimate = time.Minute
	}
	return &model.Request{
		ID:       model.RequestID(fmt.Sprintf("0-%06d-west", w.made)),
		Team:     team,
		Spec:     spec,
		Accepted: w.now,
		Deadline: w.now.Add(found.Window),
	}
}

// submit submits a request that has to be taken and returns its id.
func (w *world) submit(team model.TeamName, class model.ClassName, spec model.Spec) model.RequestID {
	request := w.request(team, class, spec)
	Expect(w.scheduler.Submit(w.now, request)).To(Succeed())
	return request.ID
}

// refused submits a request that has to be refused and returns the code.
func (w *world) refused(team model.TeamName, class model.ClassName, spec model.Spec) result.Code {
	err := w.scheduler.Submit(w.now, w.request(team, class, spec))
	Expect(err).To(HaveOccurred())
	return result.Of(err).Code
}

// decide moves the clock and returns the starts of the next plan.
func (w *world) decide(after time.Duration) []policy.Start {
	w.now = w.now.Add(after)
	w.plan.Reset()
	w.scheduler.Decide(w.now, &w.plan)
	w.starts = append(w.starts, w.plan.Starts...)
	w.halts = append(w.halts, w.plan.Halts...)
	for _, ending := range w.plan.Endings {
		Expect(w.endings).NotTo(HaveKey(ending.Request), "each request ends once")
		w.endings[ending.Request] = ending
	}
	return append([]policy.Start(nil), w.plan.Starts...)
}

func (w *world) confirm(starts ...policy.Start) {
	for _, start := range starts {
		w.scheduler.Confirm(w.now, start.Attempt)
	}
}

func (w *world) finish(start policy.Start, outcome model.Outcome) {
	w.scheduler.Finish(w.now, policy.Finish{
		Attempt: start.Attempt,
		Outcome: outcome,
		Elapsed: time.Minute,
		Peak:    start.Size,
	})
}
