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

// pair feeds the same events to both schedulers.
type pair struct {
	both   [2]policy.Scheduler
	plans  [2]policy.Plan
	ledger *ledger
	now    time.Time
	config model.Config
	nodes  int
	made   int
	order  []model.RequestID
}

func newPair(t *rapid.T) *pair {
	settings := policy.Settings{QueueLimit: 40}
	p := &pair{
		both:   [2]policy.Scheduler{naive.New(settings), cell.New(settings)},
		ledger: newLedger(),
		now:    epoch,
		config: *worldConfig(),
		nodes:  rapid.IntRange(1, 9).Draw(t, "endpoints"),
	}
	var infos []model.EndpointInfo
	for i := range p.nodes {
		infos = append(infos, worldEndpoint(i))
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

func (p *pair) each(act func(policy.Scheduler)) {
	for _, s := range p.both {
		act(s)
	}
}

// decide compares the plans of both.
func (p *pair) decide(t *rapid.T) {
	for i, s := range p.both {
		p.plans[i].Reset()
		s.Decide(p.now, &p.plans[i])
	}
	if !reflect.DeepEqual(p.plans[0], p.plans[1]) {
		t.Fatalf("the plans differ:\nnaive %+v\nfast  %+v", p.plans[0], p.plans[1])
	}
	p.ledger.take(t, &p.plans[1])
}

func (p *pair) drawTeam(t *rapid.T) model.TeamName {
	return rapid.SampledFrom([]model.TeamName{"a", "b", "c"}).Draw(t, "team")
}

func (p *pair) drawNode(t *rapid.T) model.EndpointInfo {
	return worldEndpoint(rapid.IntRange(0, p.nodes-1).Draw(t, "endpoint"))
}

// drawLive draws a live attempt; ok is false when there is none.
func (p *pair) drawLive(t *rapid.T) (start policy.Start, ok bool) {
	if len(p.ledger.live) == 0 {
		return policy.Start{}, false
	}
	all := make([]policy.Start, 0, len(p.ledger.live))
	for _, live := range p.ledger.live {
		all = append(all, live)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Attempt.String() < all[k].Attempt.String() })
	return rapid.SampledFrom(all).Draw(t, "attempt"), true
}

func (p *pair) submit(t *rapid.T) {
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
	p.made++
	request := &model.Request{
		ID: model.RequestID(fmt.Sprintf("0-%d-west", p.made)), Team: p.drawTeam(t), Spec: spec,
		Accepted: p.now, Deadline: p.now.Add(class.Window),
	}
	var errs [2]error
	for i, s := range p.both {
		errs[i] = s.Submit(p.now, request)
	}
	if (errs[0] == nil) != (errs[1] == nil) || errs[0] != nil && errs[0].Error() != errs[1].Error() {
		t.Fatalf("submit differs: naive %v, fast %v", errs[0], errs[1])
	}
	if errs[0] == nil {
		p.order = append(p.order, request.ID)
		p.ledger.requests[request.ID] = request
	}
}

func (p *pair) cancel(t *rapid.T) {
	if len(p.order) == 0 {
		return
	}
	id := rapid.SampledFrom(p.order).Draw(t, "request")
	p.each(func(s policy.Scheduler) { s.Cancel(p.now, id) })
}

func (p *pair) confirm(t *rapid.T) {
	if start, ok := p.drawLive(t); ok {
		p.each(func(s policy.Scheduler) { s.Confirm(p.now, start.Attempt) })
	}
}

func (p *pair) reject(t *rapid.T) {
	start, ok := p.drawLive(t)
	if !ok {
		return
	}
	p.each(func(s policy.Scheduler) { s.Reject(p.now, start.Attempt) })
	if !p.stillLive(start) {
		p.ledger.end(start, model.Stopped, true)
	}
}

// stillLive reports whether the scheduler went on counting a rejected attempt:
// it does for one that had been confirmed.
func (p *pair) stillLive(start policy.Start) bool {
	for _, standing := range p.both[1].Standings(nil) {
		if standing.Team == start.Request.Team {
			return standing.Running == p.ledger.byTeam[standing.Team]
		}
	}
	return false
}

func (p *pair) finish(t *rapid.T) {
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
		Uncertain: false,
	}
	finished.Uncertain = finished.Outcome == model.Lapsed && rapid.Bool().Draw(t, "uncertain")
	p.each(func(s policy.Scheduler) { s.Finish(p.now, finished) })
	p.ledger.end(start, finished.Outcome, false)
}

func (p *pair) drawUsage(t *rapid.T, start policy.Start) model.Resources {
	usage := start.Size
	percent := int64(rapid.SampledFrom([]int{20, 80, 100, 300}).Draw(t, "percent"))
	usage[model.CPU] = usage[model.CPU] * percent / 100
	usage[model.Memory] = usage[model.Memory] * percent / 100
	return usage
}

func (p *pair) report(t *rapid.T) {
	info := p.drawNode(t)
	var running []model.Running
	for _, start := range p.ledger.live {
		if start.Endpoint == info.ID {
			running = append(running, model.Running{Attempt: start.Attempt, Size: start.Size})
		}
	}
	sort.Slice(running, func(i, k int) bool { return running[i].Attempt.String() < running[k].Attempt.String() })
	for i := range running {
		running[i].Usage = p.drawUsage(t, p.ledger.live[running[i].Attempt])
	}
	p.each(func(s policy.Scheduler) { s.Report(p.now, info.ID, running) })
}

// change closes an endpoint or opens it again.
func (p *pair) change(t *rapid.T) {
	info := p.drawNode(t)
	closed := !p.ledger.closed[info.ID]
	p.ledger.closed[info.ID] = closed
	if rapid.Bool().Draw(t, "leaving") {
		info.Leaving = closed
		p.each(func(s policy.Scheduler) {
			s.SetEndpoint(p.now, info)
			s.Reachable(p.now, info.ID, true)
		})
		return
	}
	p.each(func(s policy.Scheduler) {
		s.SetEndpoint(p.now, info)
		s.Reachable(p.now, info.ID, !closed)
	})
}

// configure takes an endpoint or a rack out of service, or brings all back,
// and changes a share and a limit.
func (p *pair) configure(t *rapid.T) {
	info := p.drawNode(t)
	config := *worldConfig()
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
	p.ledger.out = map[model.EndpointID]bool{}
	for i := range p.nodes {
		known := worldEndpoint(i)
		rackOut := len(config.RacksOut) > 0 && known.Rack == info.Rack
		p.ledger.out[known.ID] = rackOut || len(config.EndpointsOut) > 0 && known.ID == info.ID
	}
	for _, changed := range config.Teams {
		p.ledger.limit[changed.Name] = changed.Limit
	}
	p.each(func(s policy.Scheduler) { s.SetConfig(p.now, &config) })
}

// adopt hands over a request with one task done and one running.
func (p *pair) adopt(t *rapid.T) {
	p.made++
	info := p.drawNode(t)
	request := &model.Request{
		ID: model.RequestID(fmt.Sprintf("0-%d-west", p.made)), Team: p.drawTeam(t),
		Spec:     model.Spec{Class: "batch", Kind: model.Batch, Tasks: 3, Size: smallSize, Estimate: time.Minute},
		Accepted: p.now.Add(-time.Minute), Deadline: p.now.Add(time.Hour),
	}
	running := policy.Start{
		Attempt:  model.AttemptID{Task: model.TaskID{Request: request.ID, Index: 1}, Number: 3},
		Endpoint: info.ID, Size: smallSize, Request: request,
	}
	if !p.ledger.byNode[info.ID].Add(smallSize).Fits(worldCapacity) {
		return
	}
	p.ledger.requests[request.ID] = request
	p.ledger.adopt(running)
	p.order = append(p.order, request.ID)
	p.each(func(s policy.Scheduler) {
		s.Adopt(p.now, policy.Adoption{
			Request: request, Running: []policy.Start{running}, Done: []int{0},
			Started: []model.AttemptID{running.Attempt},
		})
	})
}

func (p *pair) setPart(t *rapid.T) {
	team := p.drawTeam(t)
	part := model.Resources{
		int64(rapid.IntRange(0, 60).Draw(t, "part")) * 1000, 1 << 20, 1 << 10, 1 << 10, 1 << 10,
	}
	p.ledger.part[team] = part
	p.each(func(s policy.Scheduler) { s.SetPart(team, part) })
}

func (p *pair) advance(t *rapid.T) {
	p.now = p.now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 5000, 60000}).Draw(t, "ms")) * time.Millisecond)
}

// TestDifferential draws histories and wants equal plans from both schedulers
// and the promises kept.
func TestDifferential(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t)
		steps := []func(*rapid.T){
			p.submit, p.submit, p.submit, p.finish, p.finish, p.confirm, p.cancel,
			p.reject, p.report, p.change, p.configure, p.adopt, p.setPart, p.advance, p.advance,
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
			p.decide(t)
		}
	})
}
