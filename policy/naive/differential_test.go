package naive_test

import (
	"fmt"
	"reflect"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/policy/naive"
)

// schedulerPair sends the same events to the naive and the cell scheduler.
type schedulerPair struct {
	schedulers    [2]policy.Scheduler
	plans         [2]policy.Plan
	checker       *checker
	now           time.Time
	config        model.Config
	endpointCount int
	created       int
	accepted      []model.RequestID
}

func newSchedulerPair(t *rapid.T) *schedulerPair {
	settings := policy.Settings{QueueLimit: 40}
	p := &schedulerPair{
		schedulers:    [2]policy.Scheduler{naive.New(settings), cell.New(settings)},
		checker:       newChecker(),
		now:           epoch,
		config:        *fixtureConfig(),
		endpointCount: rapid.IntRange(1, 9).Draw(t, "endpoints"),
	}
	var infos []model.EndpointInfo
	for i := range p.endpointCount {
		infos = append(infos, fixtureEndpoint(i))
	}
	p.each(func(s policy.Scheduler) {
		s.SetConfig(p.now, &p.config)
		s.SetFleet(infos)
		for _, info := range infos {
			s.SetEndpoint(p.now, info)
		}
		for _, team := range p.config.Teams {
			s.SetPart(team.Name, team.Limit)
		}
	})
	return p
}

func (p *schedulerPair) each(call func(policy.Scheduler)) {
	for _, s := range p.schedulers {
		call(s)
	}
}

// decide requests a plan from both schedulers, compares them and checks the
// invariants.
func (p *schedulerPair) decide(t *rapid.T) {
	for i, s := range p.schedulers {
		p.plans[i].Reset()
		s.Decide(p.now, &p.plans[i])
	}
	if !reflect.DeepEqual(p.plans[0], p.plans[1]) {
		t.Fatalf("the plans differ:\nnaive %+v\ncell  %+v", p.plans[0], p.plans[1])
	}
	p.checker.applyPlan(t, &p.plans[1])
}

func (p *schedulerPair) drawTeam(t *rapid.T) model.TeamName {
	return rapid.SampledFrom([]model.TeamName{"a", "b", "c"}).Draw(t, "team")
}

func (p *schedulerPair) drawEndpoint(t *rapid.T) model.EndpointInfo {
	return fixtureEndpoint(rapid.IntRange(0, p.endpointCount-1).Draw(t, "endpoint"))
}

// drawLive draws a live attempt; ok is false when there is none.
func (p *schedulerPair) drawLive(t *rapid.T) (start policy.Start, ok bool) {
	if len(p.checker.live) == 0 {
		return policy.Start{}, false
	}
	all := make([]policy.Start, 0, len(p.checker.live))
	for _, live := range p.checker.live {
		all = append(all, live)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Attempt.String() < all[k].Attempt.String() })
	return rapid.SampledFrom(all).Draw(t, "attempt"), true
}

func (p *schedulerPair) submit(t *rapid.T) {
	class := rapid.SampledFrom(p.config.Classes).Draw(t, "class")
	spec := model.Spec{
		Class:         class.Name,
		Kind:          rapid.SampledFrom([]model.Kind{model.Batch, model.Batch, model.Gang, model.Service}).Draw(t, "kind"),
		Tasks:         rapid.IntRange(1, 6).Draw(t, "tasks"),
		Estimate:      time.Duration(rapid.IntRange(1, 600).Draw(t, "estimate")) * time.Second,
		NotRepeatable: rapid.IntRange(0, 5).Draw(t, "once") == 0,
	}
	spec.Size = model.Resources{
		int64(rapid.IntRange(1, 17).Draw(t, "cores")) * 1000,
		int64(rapid.IntRange(1, 64).Draw(t, "memory")) * 1024, 0, 1, 1,
	}
	p.created++
	request := &model.Request{
		ID: model.RequestID(fmt.Sprintf("0-%d-west", p.created)), Team: p.drawTeam(t), Spec: spec,
		Accepted: p.now, Deadline: p.now.Add(class.Window),
	}
	var errs [2]error
	for i, s := range p.schedulers {
		errs[i] = s.Submit(p.now, request)
	}
	if (errs[0] == nil) != (errs[1] == nil) || errs[0] != nil && errs[0].Error() != errs[1].Error() {
		t.Fatalf("the results of Submit differ: naive %v, cell %v", errs[0], errs[1])
	}
	if errs[0] == nil {
		p.accepted = append(p.accepted, request.ID)
		p.checker.requests[request.ID] = request
	}
}

func (p *schedulerPair) cancel(t *rapid.T) {
	if len(p.accepted) == 0 {
		return
	}
	id := rapid.SampledFrom(p.accepted).Draw(t, "request")
	p.each(func(s policy.Scheduler) { s.Cancel(p.now, id) })
}

func (p *schedulerPair) confirm(t *rapid.T) {
	if start, ok := p.drawLive(t); ok {
		p.each(func(s policy.Scheduler) { s.Confirm(p.now, start.Attempt) })
	}
}

func (p *schedulerPair) reject(t *rapid.T) {
	start, ok := p.drawLive(t)
	if !ok {
		return
	}
	p.each(func(s policy.Scheduler) { s.Reject(p.now, start.Attempt) })
	if !p.remainsLive(start) {
		p.checker.remove(start, model.Stopped, true)
	}
}

// remainsLive reports whether the scheduler still counts a rejected attempt as
// live, as it does when the attempt was confirmed before.
func (p *schedulerPair) remainsLive(start policy.Start) bool {
	for _, standing := range p.schedulers[1].TeamUsages(nil) {
		if standing.Team == start.Request.Team {
			return standing.Running == p.checker.committedByTeam[standing.Team]
		}
	}
	return false
}

func (p *schedulerPair) finish(t *rapid.T) {
	start, ok := p.drawLive(t)
	if !ok {
		return
	}
	outcomes := []model.Outcome{model.Succeeded, model.Succeeded, model.Succeeded, model.Failed, model.Stopped, model.Lapsed}
	finished := policy.Finish{
		Attempt:   start.Attempt,
		Outcome:   rapid.SampledFrom(outcomes).Draw(t, "outcome"),
		Elapsed:   time.Duration(rapid.IntRange(1, 1000).Draw(t, "elapsed")) * time.Second,
		Peak:      p.drawUsage(t, start),
		Ambiguous: false,
	}
	finished.Ambiguous = finished.Outcome == model.Lapsed && rapid.Bool().Draw(t, "uncertain")
	p.each(func(s policy.Scheduler) { s.Finish(p.now, finished) })
	p.checker.remove(start, finished.Outcome, false)
}

func (p *schedulerPair) drawUsage(t *rapid.T, start policy.Start) model.Resources {
	usage := start.Size
	percent := int64(rapid.SampledFrom([]int{20, 80, 100, 300}).Draw(t, "percent"))
	usage[model.CPU] = usage[model.CPU] * percent / 100
	usage[model.Memory] = usage[model.Memory] * percent / 100
	return usage
}

func (p *schedulerPair) report(t *rapid.T) {
	info := p.drawEndpoint(t)
	var running []model.Running
	for _, start := range p.checker.live {
		if start.Endpoint == info.ID {
			running = append(running, model.Running{Attempt: start.Attempt, Size: start.Size})
		}
	}
	sort.Slice(running, func(i, k int) bool { return running[i].Attempt.String() < running[k].Attempt.String() })
	for i := range running {
		running[i].Usage = p.drawUsage(t, p.checker.live[running[i].Attempt])
	}
	p.each(func(s policy.Scheduler) { s.ReportUsage(p.now, info.ID, running) })
}

// toggleEndpoint closes an open endpoint, by leaving or by becoming unreachable,
// or reopens a closed one.
func (p *schedulerPair) toggleEndpoint(t *rapid.T) {
	info := p.drawEndpoint(t)
	closed := !p.checker.closed[info.ID]
	p.checker.closed[info.ID] = closed
	if rapid.Bool().Draw(t, "leaving") {
		info.Leaving = closed
		p.each(func(s policy.Scheduler) {
			s.SetEndpoint(p.now, info)
			s.SetReachable(p.now, info.ID, true)
		})
		return
	}
	p.each(func(s policy.Scheduler) {
		s.SetEndpoint(p.now, info)
		s.SetReachable(p.now, info.ID, !closed)
	})
}

// changeConfig takes an endpoint, a rack or both out of service, or returns all
// endpoints to service, and changes a team's share and limit.
func (p *schedulerPair) changeConfig(t *rapid.T) {
	info := p.drawEndpoint(t)
	config := *fixtureConfig()
	config.Version = p.config.Version + 1
	if rapid.Bool().Draw(t, "rack") {
		config.RacksOut = []model.RackRef{{Domain: info.Domain, Rack: info.Rack}}
	}
	if rapid.Bool().Draw(t, "out") {
		config.EndpointsOut = []model.EndpointID{info.ID}
	}
	team := rapid.IntRange(0, len(config.Teams)-1).Draw(t, "changed")
	config.Teams[team].Share = int64(rapid.IntRange(0, 1000).Draw(t, "share"))
	config.Teams[team].Limit[model.CPU] = int64(rapid.IntRange(1, 200).Draw(t, "limit")) * 1000
	p.config = config
	p.checker.outOfService = map[model.EndpointID]bool{}
	for i := range p.endpointCount {
		endpoint := fixtureEndpoint(i)
		rackOut := len(config.RacksOut) > 0 && endpoint.Rack == info.Rack
		p.checker.outOfService[endpoint.ID] = rackOut || len(config.EndpointsOut) > 0 && endpoint.ID == info.ID
	}
	for _, changed := range config.Teams {
		p.checker.limit[changed.Name] = changed.Limit
	}
	p.each(func(s policy.Scheduler) { s.SetConfig(p.now, &config) })
}

// adopt makes both schedulers adopt a request with one succeeded, one running
// and one unstarted task.
func (p *schedulerPair) adopt(t *rapid.T) {
	p.created++
	info := p.drawEndpoint(t)
	request := &model.Request{
		ID: model.RequestID(fmt.Sprintf("0-%d-west", p.created)), Team: p.drawTeam(t),
		Spec:     model.Spec{Class: "batch", Kind: model.Batch, Tasks: 3, Size: smallSize, Estimate: time.Minute},
		Accepted: p.now.Add(-time.Minute), Deadline: p.now.Add(time.Hour),
	}
	running := policy.Start{
		Attempt:  model.AttemptID{Task: model.TaskID{Request: request.ID, Index: 1}, Number: 3},
		Endpoint: info.ID, Size: smallSize, Request: request,
	}
	if !p.checker.committedByEndpoint[info.ID].Add(smallSize).Fits(endpointCapacity) {
		return
	}
	p.checker.requests[request.ID] = request
	p.checker.add(running)
	p.accepted = append(p.accepted, request.ID)
	p.each(func(s policy.Scheduler) {
		s.Adopt(p.now, policy.Adoption{
			Request: request, Running: []policy.Start{running}, Done: []int{0},
			Started: []model.AttemptID{running.Attempt},
		})
	})
}

func (p *schedulerPair) setPart(t *rapid.T) {
	team := p.drawTeam(t)
	part := model.Resources{
		int64(rapid.IntRange(0, 60).Draw(t, "part")) * 1000, 1 << 20, 1 << 10, 1 << 10, 1 << 10,
	}
	p.checker.part[team] = part
	p.each(func(s policy.Scheduler) { s.SetPart(team, part) })
}

func (p *schedulerPair) advance(t *rapid.T) {
	p.now = p.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 5000, 60000}).Draw(t, "ms")) * time.Millisecond)
}

// TestDifferential applies random sequences of events and expects equal plans
// from both schedulers and no violated invariant.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newSchedulerPair(t)
		steps := []func(*rapid.T){
			p.submit, p.submit, p.submit, p.finish, p.finish, p.confirm, p.cancel,
			p.reject, p.report, p.toggleEndpoint, p.changeConfig, p.adopt, p.setPart, p.advance, p.advance,
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
			p.decide(t)
		}
	})
}
