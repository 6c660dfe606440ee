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
func (c *checker) applyPlan(t *rapid.T, plan *policy.Plan) {
	gangs := map[model.RequestID]int{}
	for _, start := range plan.Starts {
		c.applyStart(t, start)
		if start.Request.Spec.Kind == model.Gang {
			gangs[start.Request.ID]++
		}
	}
	for id := range gangs {
		if live := c.liveCount(id); live != c.requests[id].Spec.Tasks-c.succeededCount(id) {
			t.Fatalf("gang %s is incomplete: %d tasks are live", id, live)
		}
	}
	for _, ending := range plan.Endings {
		if c.ended[ending.Request] {
			t.Fatalf("request %s ends twice", ending.Request)
		}
		c.ended[ending.Request] = true
	}
}

// succeededNumber is the value in lastNumber of a task that has succeeded.
const succeededNumber = -1

func (c *checker) succeededCount(id model.RequestID) int {
	count := 0
	for task, number := range c.lastNumber {
		if task.Request == id && number == succeededNumber {
			count++
		}
	}
	return count
}

func (c *checker) liveCount(id model.RequestID) int {
	count := 0
	for attempt := range c.live {
		if attempt.Task.Request == id {
			count++
		}
	}
	return count
}

func (c *checker) applyStart(t *rapid.T, start policy.Start) {
	task, request := start.Attempt.Task, start.Request
	if c.ended[request.ID] {
		t.Fatalf("request %s is started after it has ended", request.ID)
	}
	for attempt := range c.live {
		if attempt.Task == task {
			t.Fatalf("task %s has two live attempts", task)
		}
	}
	if c.closed[start.Endpoint] || c.outOfService[start.Endpoint] {
		t.Fatalf("attempt %s is started on the closed endpoint %s", start.Attempt, start.Endpoint)
	}
	for _, failed := range c.failedOn[task] {
		if failed == start.Endpoint {
			t.Fatalf("attempt %s is started on an endpoint where the task has failed", start.Attempt)
		}
	}
	class, _ := fixtureConfig().Class(request.Spec.Class)
	if c.lastNumber[task] != 0 && (!class.Repeatable || request.Spec.NotRepeatable) {
		t.Fatalf("task %s is started again although it may not be repeated", task)
	}
	c.lastNumber[task] = start.Attempt.Number
	c.add(start)
	if !c.committedByEndpoint[start.Endpoint].Fits(endpointCapacity) {
		t.Fatalf("endpoint %s is overcommitted: %v", start.Endpoint, c.committedByEndpoint[start.Endpoint])
	}
	for _, limits := range []map[model.TeamName]model.Resources{c.part, c.limit} {
		if limit, set := limits[request.Team]; set && !c.committedByTeam[request.Team].Fits(limit) {
			t.Fatalf("team %s runs %v, but is limited to %v", request.Team, c.committedByTeam[request.Team], limit)
		}
	}
}

// add adds a live attempt.
func (c *checker) add(start policy.Start) {
	c.live[start.Attempt] = start
	c.committedByEndpoint[start.Endpoint] = c.committedByEndpoint[start.Endpoint].Add(start.Size)
	c.committedByTeam[start.Request.Team] = c.committedByTeam[start.Request.Team].Add(start.Size)
}

// remove removes a live attempt. A rejected one counts as never started.
func (c *checker) remove(start policy.Start, outcome model.Outcome, rejected bool) {
	delete(c.live, start.Attempt)
	c.committedByEndpoint[start.Endpoint] = c.committedByEndpoint[start.Endpoint].Sub(start.Size)
	c.committedByTeam[start.Request.Team] = c.committedByTeam[start.Request.Team].Sub(start.Size)
	task := start.Attempt.Task
	switch {
	case rejected:
		c.lastNumber[task] = 0
	case outcome == model.Succeeded:
		c.lastNumber[task] = succeededNumber
	case outcome == model.Failed:
		c.failedOn[task] = append(c.failedOn[task], start.Endpoint)
	}
}
