// Package policy holds the interface of the decisions: who runs next, where,
// and who waits. Its implementations take what happened and the time, and
// return a plan; the plan is applied elsewhere. They import no transport, no
// codec, no clock and no random source, and are owned by one duty, so that
// they need no locks.
package policy

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// Start is a decision to start an attempt. The scheduler counts it as running
// from here on (assumed) until the endpoint's word comes.
type Start struct {
	// Attempt names the attempt.
	Attempt model.AttemptID
	// Endpoint is where it is to run.
	Endpoint model.EndpointID
	// Size is the committed size: the declared or the learned one.
	Size model.Resources
	// Request is the request of the task. It is shared and not changed.
	Request *model.Request
}

// Halt is how a running attempt is to be treated.
type Halt struct {
	// Attempt names the attempt.
	Attempt model.AttemptID
	// Endpoint is where it runs.
	Endpoint model.EndpointID
	// Treatment is Throttle, Checkpoint or Rerun (stop and run again later).
	// It is Refuse when the attempt is stopped for good.
	Treatment model.Treatment
}

// Ending is a request that the scheduler has finished with.
type Ending struct {
	// Request is the request's id.
	Request model.RequestID
	// Code is result.OK when every task succeeded.
	Code result.Code
	// Reason says why, when Code is not result.OK.
	Reason string
}

// Plan is what has been decided. The caller owns it and reuses its memory.
type Plan struct {
	// Starts are attempts to be started. The starts of a gang stand together.
	Starts []Start
	// Halts are running attempts to be treated.
	Halts []Halt
	// Endings are requests that end, each exactly once.
	Endings []Ending
	// Wake is when Decide has something to do even if nothing happens; the
	// zero time means that it has not.
	Wake time.Time
}

// Reset empties the plan and keeps its memory.
func (p *Plan) Reset() {
	p.Starts = p.Starts[:0]
	p.Halts = p.Halts[:0]
	p.Endings = p.Endings[:0]
	p.Wake = time.Time{}
}

// Standing is what operators and the escrow see of one team.
type Standing struct {
	// Team is the team.
	Team model.TeamName
	// Running is what is committed for the team, assumed starts included.
	Running model.Resources
	// Queued is what the team's queued tasks ask for.
	Queued model.Resources
	// Part is the part of the team's limit that this scheduler holds.
	Part model.Resources
}

// Explanation says why a request waits.
type Explanation struct {
	// Position is the number of requests that stand before it, from 0.
	Position int
	// Reason is one sentence.
	Reason string
	// Start is the estimated start; the zero time when there is no estimate.
	Start time.Time
}

// Scheduler decides for one shard: its requests and its endpoints.
//
// The life cycle of a task, as the chart task.scxml has it:
//
//	Submit                Decide               Confirm
//	------> queued ---------------> assumed ---------------> running
//	          ^ ^                      |                        |
//	          | |       Reject         |         Finish         |
//	          | +----------------------+   (may be retried)     |
//	          +-------------------- backoff <-------------------+
//	                                                            |
//	                                       Finish (for good)    v
//	                                                          ended
//
// Assumed and running tasks count against endpoint, team and limit alike.
// Cancel and the end of the window lead to ended from every other state.
type Scheduler interface {
	// SetConfig takes a configuration in force. It ignores older versions.
	SetConfig(now time.Time, config *model.Config)
	// SetPart sets the part of the team's limit that this scheduler holds. A
	// part below what runs stops further starts and halts nothing.
	SetPart(team model.TeamName, part model.Resources)
	// SetFleet tells the largest endpoint of the whole fleet and the fleet's
	// total, which say what can ever run and what a share is a part of.
	SetFleet(endpoints []model.EndpointInfo)

	// SetEndpoint adds an endpoint of this shard or updates what is known.
	SetEndpoint(now time.Time, info model.EndpointInfo)
	// Reachable says whether the endpoint answers its holder: nothing is
	// placed on one that does not.
	Reachable(now time.Time, id model.EndpointID, reachable bool)
	// RemoveEndpoint forgets an endpoint. The caller finishes the attempts
	// that it still has there as Lapsed first.
	RemoveEndpoint(now time.Time, id model.EndpointID)
	// Report takes the usage that an endpoint last sampled.
	Report(now time.Time, id model.EndpointID, running []model.Running)

	// Submit queues an accepted request. It returns a *result.Error when the
	// request is refused; the work then did not and will not run.
	Submit(now time.Time, request *model.Request) error
	// Check reports whether Submit would take the request, without taking it.
	Check(now time.Time, request *model.Request) error
	// Adopt takes over a request from a former holder: running says which of
	// its attempts run where; finished tasks are named by their index. All
	// other tasks are queued, except that those of a request that is not
	// repeatable and had an earlier start end as OutcomeUnknown.
	Adopt(now time.Time, adoption Adoption)
	// Cancel ends the request. Its running attempts are halted by the next
	// plan; an unknown id is ignored.
	Cancel(now time.Time, id model.RequestID)

	// Decide appends to plan what follows from all that happened until now.
	Decide(now time.Time, plan *Plan)

	// Confirm says that the endpoint has started the attempt.
	Confirm(now time.Time, attempt model.AttemptID)
	// Reject says that the attempt has not run and never will.
	Reject(now time.Time, attempt model.AttemptID)
	// Finish says that the attempt has ended. Whether the task is tried again
	// shows in later plans.
	Finish(now time.Time, finished Finish)

	// Standings appends the standing of every team to into and returns it.
	Standings(into []Standing) []Standing
	// Explain says why a request waits; ok is false when it does not.
	Explain(now time.Time, id model.RequestID) (explanation Explanation, ok bool)
}

// Finish is the end of an attempt as the scheduler needs to know it.
type Finish struct {
	// Attempt names the attempt.
	Attempt model.AttemptID
	// Outcome is how it ended.
	Outcome model.Outcome
	// Uncertain says that nobody knows whether the attempt ran: its endpoint
	// is gone. Outcome is then Lapsed.
	Uncertain bool
	// Elapsed is how long it ran.
	Elapsed time.Duration
	// Peak is the most that it used.
	Peak model.Resources
}

// Adoption is a request taken over from a former holder.
type Adoption struct {
	// Request is the request.
	Request *model.Request
	// Running are its attempts that run, with their endpoints.
	Running []Start
	// Done are the indexes of the tasks that have succeeded.
	Done []int
	// Started are the highest attempt numbers known by task index; a task that
	// is missing was never started.
	Started []model.AttemptID
	// Lost are the attempts of Started that are surely not running any more
	// and of which no outcome is known.
	Lost []model.AttemptID
}
