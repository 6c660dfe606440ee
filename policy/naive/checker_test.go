package naive_test

import (
	"pgregory.net/rapid"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
)

// ledger counts on its own what plans and ends add up to, and fails the test
// when a promise is broken.
type ledger struct {
	live     map[model.AttemptID]policy.Start
	byNode   map[model.EndpointID]model.Resources
	byTeam   map[model.TeamName]model.Resources
	part     map[model.TeamName]model.Resources
	limit    map[model.TeamName]model.Resources
	closed   map[model.EndpointID]bool
	out      map[model.EndpointID]bool
	failed   map[model.TaskID][]model.EndpointID
	started  map[model.TaskID]int
	ended    map[model.RequestID]bool
	requests map[model.RequestID]*model.Request
}

func newLedger() *ledger {
	return &ledger{
		live:     map[model.AttemptID]policy.Start{},
		byNode:   map[model.EndpointID]model.Resources{},
		byTeam:   map[model.TeamName]model.Resources{},
		part:     map[model.TeamName]model.Resources{},
		limit:    map[model.TeamName]model.Resources{},
		closed:   map[model.EndpointID]bool{},
		out:      map[model.EndpointID]bool{},
		failed:   map[model.TaskID][]model.EndpointID{},
		started:  map[model.TaskID]int{},
		ended:    map[model.RequestID]bool{},
		requests: map[model.RequestID]*model.Request{},
	}
}

// take checks a plan and adds it.
func (l *ledger) take(t *rapid.T, plan *policy.Plan) {
	gangs := map[model.RequestID]int{}
	for _, start := range plan.Starts {
		l.start(t, start)
		if start.Request.Spec.Kind == model.Gang {
			gangs[start.Request.ID]++
		}
	}
	for id := range gangs {
		if live := l.liveOf(id); live != l.requests[id].Spec.Tasks-l.succeeded(id) {
			t.Fatalf("gang %s has %d tasks running", id, live)
		}
	}
	for _, ending := range plan.Endings {
		if l.ended[ending.Request] {
			t.Fatalf("request %s ends twice", ending.Request)
		}
		l.ended[ending.Request] = true
	}
}

// succeededNumber marks a task in started that has succeeded.
const succeededNumber = -1

func (l *ledger) succeeded(id model.RequestID) int {
	count := 0
	for task, number := range l.started {
		if task.Request == id && number == succeededNumber {
			count++
		}
	}
	return count
}

func (l *ledger) liveOf(id model.RequestID) int {
	count := 0
	for attempt := range l.live {
		if attempt.Task.Request == id {
			count++
		}
	}
	return count
}

func (l *ledger) start(t *rapid.T, start policy.Start) {
	task, request := start.Attempt.Task, start.Request
	if l.ended[request.ID] {
		t.Fatalf("request %s is started after its end", request.ID)
	}
	for attempt := range l.live {
		if attempt.Task == task {
			t.Fatalf("task %s runs in two places", task)
		}
	}
	if l.closed[start.Endpoint] || l.out[start.Endpoint] {
		t.Fatalf("attempt %s is started on the closed endpoint %s", start.Attempt, start.Endpoint)
	}
	for _, failed := range l.failed[task] {
		if failed == start.Endpoint {
			t.Fatalf("attempt %s is started on an endpoint that failed it", start.Attempt)
		}
	}
	class, _ := worldConfig().Class(request.Spec.Class)
	if l.started[task] != 0 && (!class.Repeatable || request.Spec.NotRepeatable) {
		t.Fatalf("task %s may not be repeated and is", task)
	}
	l.started[task] = start.Attempt.Number
	l.adopt(start)
	if !l.byNode[start.Endpoint].Fits(worldCapacity) {
		t.Fatalf("endpoint %s is committed to %v", start.Endpoint, l.byNode[start.Endpoint])
	}
	for _, most := range []map[model.TeamName]model.Resources{l.part, l.limit} {
		if bound, set := most[request.Team]; set && !l.byTeam[request.Team].Fits(bound) {
			t.Fatalf("team %s runs %v, allowed %v", request.Team, l.byTeam[request.Team], bound)
		}
	}
}

// adopt counts a live attempt.
func (l *ledger) adopt(start policy.Start) {
	l.live[start.Attempt] = start
	l.byNode[start.Endpoint] = l.byNode[start.Endpoint].Add(start.Size)
	l.byTeam[start.Request.Team] = l.byTeam[start.Request.Team].Add(start.Size)
}

// end takes a live attempt out.
func (l *ledger) end(start policy.Start, outcome model.Outcome, rejected bool) {
	delete(l.live, start.Attempt)
	l.byNode[start.Endpoint] = l.byNode[start.Endpoint].Sub(start.Size)
	l.byTeam[start.Request.Team] = l.byTeam[start.Request.Team].Sub(start.Size)
	task := start.Attempt.Task
	switch {
	case rejected:
		l.started[task] = 0
	case outcome == model.Succeeded:
		l.started[task] = succeededNumber
	case outcome == model.Failed:
		l.failed[task] = append(l.failed[task], start.Endpoint)
	}
}
