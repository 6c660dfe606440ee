// Package policy defines the interface of the scheduling decisions: which work
// runs next, on which endpoint, and which work waits. An implementation
// receives events together with the current time and returns a plan that other
// code applies. It imports no transport, codec, clock or random source, and a
// single duty owns it, so it needs no locks.
package policy

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// Start is a decision to start an attempt. From here on the scheduler counts
// the attempt as running (assumed), before the endpoint has confirmed it.
type Start struct {
	Attempt  model.AttemptID
	Endpoint model.EndpointID
	// Size is the committed size: the declared size or the one estimated from
	// earlier tasks.
	Size model.Resources
	// Request is the request of the task. It is shared and must not be
	// modified.
	Request *model.Request
}

// Halt is a decision to throttle, checkpoint or stop a running attempt.
type Halt struct {
	Attempt  model.AttemptID
	Endpoint model.EndpointID
	// Treatment is Throttle, Checkpoint, Rerun (stop now and run again later)
	// or Refuse (stop for good).
	Treatment model.Treatment
}

// Ending is the final result of a request.
type Ending struct {
	Request model.RequestID
	// Code is result.OK when every task succeeded.
	Code result.Code
	// Reason explains a Code other than result.OK.
	Reason string
}

// Plan is the result of one or more calls of Decide. The caller owns it and
// reuses its memory.
type Plan struct {
	// Starts are the attempts to start. The starts of a gang are adjacent.
	Starts []Start
	// Halts are the running attempts to throttle, checkpoint or stop.
	Halts []Halt
	// Endings are the requests that have ended; each request appears exactly
	// once.
	Endings []Ending
	// Wake is the time of the next call of Decide if no event arrives before;
	// zero when no call is needed.
	Wake time.Time
}

// Reset empties the plan and keeps its allocated memory.
func (p *Plan) Reset() {
	p.Starts = p.Starts[:0]
	p.Halts = p.Halts[:0]
	p.Endings = p.Endings[:0]
	p.Wake = time.Time{}
}

// TeamUsage is the resource use of one team, reported to operators and to the
// escrow.
type TeamUsage struct {
	Team model.TeamName
	// Running is the committed size of the team's attempts, assumed starts
	// included.
	Running model.Resources
	// Queued is the declared size of the team's queued tasks.
	Queued model.Resources
	// Part is the part of the team's limit that is allotted to this scheduler.
	Part model.Resources
}

// Explanation describes why a request waits.
type Explanation struct {
	// Position is the number of requests ahead of it, counted from 0.
	Position int
	// Reason is one sentence.
	Reason string
	// Start is the estimated start time; zero when there is no estimate.
	Start time.Time
}

// Scheduler makes the decisions for the requests and endpoints of one shard.
//
// The life cycle of a task, as defined by the chart task.scxml:
//
//	Submit                Decide               Confirm
//	------> queued ---------------> assumed ---------------> running
//	          ^ ^                      |                        |
//	          | |       Reject         |         Finish         |
//	          | +----------------------+   (may be retried)     |
//	          +-------------------- backoff <-------------------+
//	                                                            |
//	                                       Finish (final)       v
//	                                                          ended
//
// Assumed and running tasks count equally against the endpoint's capacity, the
// team's usage and the team's limit. Cancel and the end of the window lead from
// every other state to ended.
type Scheduler interface {
	// SetConfig applies a configuration. A version older than the current one
	// is ignored.
	SetConfig(now time.Time, config *model.Config)
	// SetPart sets the part of the team's limit that is allotted to this
	// scheduler. A part smaller than the running work blocks further starts but
	// halts nothing.
	SetPart(team model.TeamName, part model.Resources)
	// SetFleet sets the endpoints of the whole fleet. They determine which
	// requests could ever be placed.
	SetFleet(endpoints []model.EndpointInfo)

	// SetEndpoint adds an endpoint of this shard or updates it.
	SetEndpoint(now time.Time, info model.EndpointInfo)
	// SetReachable sets whether the endpoint responds to its holder. Nothing is
	// placed on an unreachable endpoint.
	SetReachable(now time.Time, id model.EndpointID, reachable bool)
	// RemoveEndpoint removes an endpoint. The caller first calls Finish with
	// outcome Lapsed for each attempt that is still on it.
	RemoveEndpoint(now time.Time, id model.EndpointID)
	// ReportUsage records the usage that an endpoint last sampled.
	ReportUsage(now time.Time, id model.EndpointID, running []model.Running)

	// Submit queues an accepted request. It returns a *result.Error when the
	// request is rejected; no task of it has run or will run.
	Submit(now time.Time, request *model.Request) error
	// Check returns the error that Submit would return, and queues nothing.
	Check(now time.Time, request *model.Request) error
	// Adopt takes over a request from the previous holder: its running attempts
	// with their endpoints and the indexes of the tasks that have succeeded.
	// All other tasks are queued, except that a task that was started before
	// and may not be repeated ends as OutcomeUnknown.
	Adopt(now time.Time, adoption Adoption)
	// Cancel ends the request. The next plan halts its running attempts. An
	// unknown id is ignored.
	Cancel(now time.Time, id model.RequestID)

	// Decide appends to plan the decisions that follow from all events until
	// now.
	Decide(now time.Time, plan *Plan)

	// Confirm records that the endpoint has started the attempt.
	Confirm(now time.Time, attempt model.AttemptID)
	// Reject records that the attempt has not run and never will.
	Reject(now time.Time, attempt model.AttemptID)
	// Finish records that the attempt has ended. Retries of the task appear in
	// later plans.
	Finish(now time.Time, finished Finish)

	// TeamUsages appends one entry for each team to into and returns it.
	TeamUsages(into []TeamUsage) []TeamUsage
	// Explain describes why a request waits; ok is false when it does not wait.
	Explain(now time.Time, id model.RequestID) (explanation Explanation, ok bool)
}

// Finish describes the end of an attempt.
type Finish struct {
	Attempt model.AttemptID
	Outcome model.Outcome
	// Ambiguous is set when it is unknown whether the attempt ran because its
	// endpoint was removed. Outcome is then Lapsed.
	Ambiguous bool
	// Elapsed is the run time of the attempt.
	Elapsed time.Duration
	// Peak is the highest usage of the attempt.
	Peak model.Resources
}

// Adoption is a request taken over from the previous holder.
type Adoption struct {
	Request *model.Request
	// Running are the request's running attempts with their endpoints.
	Running []Start
	// Done are the indexes of the tasks that have succeeded.
	Done []int
	// Started holds the highest recorded attempt number of each task; a task
	// without an entry was never started.
	Started []model.AttemptID
	// Lost are the attempts in Started that are certainly no longer running and
	// whose outcome is unknown.
	Lost []model.AttemptID
}
