package naive_test

import (
	"pgregory.net/rapid"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
)

// checker derives the live attempts and committed sizes from plans and ends,
// independently of the scheduler, and fails the test when a plan violates an
// invariant.
type checker struct {
	live                map[model.AttemptID]policy.Start
	committedByEndpoint map[model.EndpointID]model.Resources
	committedByTeam     map[model.TeamName]model.Resources
	part                map[model.TeamName]model.Resources
	limit               map[model.TeamName]model.Resources
	closed              map[model.EndpointID]bool
	outOfService        map[model.EndpointID]bool
	failedOn            map[model.TaskID][]model.EndpointID
	lastNumber          map[model.TaskID]int
	ended               map[model.RequestID]bool
	requests            map[model.RequestID]*model.Request
}

func newChecker() *checker {
	return &checker{
		live:                map[model.AttemptID]policy.Start{},
		committedByEndpoint: map[model.EndpointID]model.Resources{},
		committedByTeam:     map[model.TeamName]model.Resources{},
		part:                map[model.TeamName]model.Resources{},
		limit:               map[model.TeamName]model.Resources{},
		closed:              map[model.EndpointID]bool{},
		outOfService:        map[model.EndpointID]bool{},
		failedOn:            map[model.TaskID][]model.EndpointID{},
		lastNumber:          map[model.TaskID]int{},
		ended:               map[model.RequestID]bool{},
		requests:            map[model.RequestID]*model.Request{},
	}
}

// applyPlan checks a plan and applies it.
func (l *checker) applyPlan(t *rapid.T, plan *policy.Plan) {
	gangs := map[model.RequestID]int{}
	for _, start := range plan.Starts {
		l.applyStart(t, start)
		if start.Request.Spec.Kind == model.Gang {
			gangs[start.Request.ID]++
		}
	}
	for id := range gangs {
		if live := l.liveCount(id); live != l.requests[id].Spec.Tasks-l.succeededCount(id) {
			t.Fatalf("gang %s is incomplete: %d tasks are live", id, live)
		}
	}
	for _, ending := range plan.Endings {
		if l.ended[ending.Request] {
			t.Fatalf("request %s ends twice", ending.Request)
		}
		l.ended[ending.Request] = true
	}
}

// succeededNumber is the value in lastNumber of a task that has succeeded.
const succeededNumber = -1

func (l *checker) succeededCount(id model.RequestID) int {
	count := 0
	for task, number := range l.lastNumber {
		if task.Request == id && number == succeededNumber {
			count++
		}
	}
	return count
}

func (l *checker) liveCount(id model.RequestID) int {
	count := 0
	for attempt := range l.live {
		if attempt.Task.Request == id {
			count++
		}
	}
	return count
}

func (l *checker) applyStart(t *rapid.T, start policy.Start) {
	task, request := start.Attempt.Task, start.Request
	if l.ended[request.ID] {
		t.Fatalf("request %s is started after it has ended", request.ID)
	}
	for attempt := range l.live {
		if attempt.Task == task {
			t.Fatalf("task %s has two live attempts", task)
		}
	}
	if l.closed[start.Endpoint] || l.outOfService[start.Endpoint] {
		t.Fatalf("attempt %s is started on the closed endpoint %s", start.Attempt, start.Endpoint)
	}
	for _, failed := range l.failedOn[task] {
		if failed == start.Endpoint {
			t.Fatalf("attempt %s is started on an endpoint where the task has failed", start.Attempt)
		}
	}
	class, _ := fixtureConfig().Class(request.Spec.Class)
	if l.lastNumber[task] != 0 && (!class.Repeatable || request.Spec.NotRepeatable) {
		t.Fatalf("task %s is started again although it may not be repeated", task)
	}
	l.lastNumber[task] = start.Attempt.Number
	l.add(start)
	if !l.committedByEndpoint[start.Endpoint].Fits(endpointCapacity) {
		t.Fatalf("endpoint %s is overcommitted: %v", start.Endpoint, l.committedByEndpoint[start.Endpoint])
	}
	for _, limits := range []map[model.TeamName]model.Resources{l.part, l.limit} {
		if limit, set := limits[request.Team]; set && !l.committedByTeam[request.Team].Fits(limit) {
			t.Fatalf("team %s runs %v, but is limited to %v", request.Team, l.committedByTeam[request.Team], limit)
		}
	}
}

// add adds a live attempt.
func (l *checker) add(start policy.Start) {
	l.live[start.Attempt] = start
	l.committedByEndpoint[start.Endpoint] = l.committedByEndpoint[start.Endpoint].Add(start.Size)
	l.committedByTeam[start.Request.Team] = l.committedByTeam[start.Request.Team].Add(start.Size)
}

// remove removes a live attempt. A rejected one counts as never started.
func (l *checker) remove(start policy.Start, outcome model.Outcome, rejected bool) {
	delete(l.live, start.Attempt)
	l.committedByEndpoint[start.Endpoint] = l.committedByEndpoint[start.Endpoint].Sub(start.Size)
	l.committedByTeam[start.Request.Team] = l.committedByTeam[start.Request.Team].Sub(start.Size)
	task := start.Attempt.Task
	switch {
	case rejected:
		l.lastNumber[task] = 0
	case outcome == model.Succeeded:
		l.lastNumber[task] = succeededNumber
	case outcome == model.Failed:
		l.failedOn[task] = append(l.failedOn[task], start.Endpoint)
	}
}
