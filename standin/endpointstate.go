package standin

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
)

// failingRunTime is the run time of a task on a failing endpoint.
const failingRunTime = 5 * time.Millisecond

// endpointState is one simulated endpoint. The chart standin_endpoint defines
// its states.
type endpointState struct {
	fleet *fleetState
	state chart.State
	info  model.EndpointInfo
	shard model.ShardID
	// epoch is the highest epoch that has adopted the endpoint.
	epoch     model.Epoch
	committed model.Resources
	// attempts are the attempts that run or whose end is not acknowledged, in
	// the order of their starts.
	attempts []*attempt
	// startResults has the result of every start command, so that a repeated
	// command gets the same one.
	startResults map[model.AttemptID]endpoint.StartResult
	// nextWake is the time of the next timed event; zero means none.
	nextWake time.Time
	now      time.Time
}

var endpointChart = chart.MustBind(charts.MustLoad("standin_endpoint"),
	chart.Guards[endpointState]{},
	chart.Actions[endpointState]{"kill_all": (*endpointState).killAll})

// Sets of endpoint states.
var (
	endpointAnswering = endpointChart.MustSet("answering")
	endpointAccepting = endpointChart.MustSet("accepting")
	endpointFailing   = endpointChart.MustSet("failing")
	endpointLeaving   = endpointChart.MustSet("leaving")
	endpointGone      = endpointChart.MustSet("gone")
)

func newEndpointState(fleet *fleetState, info model.EndpointInfo) *endpointState {
	e := &endpointState{fleet: fleet, info: info, startResults: map[model.AttemptID]endpoint.StartResult{}}
	endpointChart.Start(&e.state, e)
	return e
}

// advance ends the attempts whose work or lease has ended by now. The end is
// recorded at that time, even when the duty processes it later.
func (e *endpointState) advance(now time.Time) {
	e.now = now
	e.nextWake = time.Time{}
	for _, a := range e.attempts {
		if !a.running() {
			continue
		}
		if next := a.nextEvent(); next.After(now) {
			e.wakeBy(next)
			continue
		}
		event := attemptFinish
		if a.nextEvent().Equal(a.lease) {
			event = attemptLapse
		}
		e.fire(a, event, a.nextEvent())
	}
}

func (e *endpointState) wakeBy(at time.Time) {
	if e.nextWake.IsZero() || at.Before(e.nextWake) {
		e.nextWake = at
	}
}

// fire sends the event to the attempt. If the attempt ends, fire frees its
// resources and records the end.
func (e *endpointState) fire(a *attempt, event chart.Event, at time.Time) {
	wasRunning := a.running()
	a.eventTime = at
	attemptChart.Fire(&a.state, event, a)
	if !wasRunning || a.running() {
		return
	}
	a.endedAt = at
	e.committed = e.committed.Sub(a.size)
	e.record(at, Record{
		Kind: Ended, Attempt: a.id, Team: a.request.Team, Size: a.size,
		Outcome: a.outcome(), Output: a.output(),
	})
}

// sync processes one Sync request.
func (e *endpointState) sync(request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	if err := e.fence(request); err != nil {
		return endpoint.SyncReply{}, err
	}
	if request.Fresh > 0 && e.now.UnixNano()-request.Stamp > int64(request.Fresh) {
		return endpoint.SyncReply{}, eris.Wrap(endpoint.ErrRejected, "held up on its way")
	}
	e.renew(request.Lease)
	reply := endpoint.SyncReply{Leaving: endpointLeaving.Has(e.state), Stamp: e.now.UnixNano()}
	for _, start := range request.Starts {
		reply.Results = append(reply.Results, e.start(start, request.Lease))
	}
	for _, order := range request.Orders {
		e.applyOrder(order)
	}
	for _, id := range request.Acknowledged {
		e.acknowledge(id)
	}
	e.appendReports(request, &reply)
	return reply, nil
}

// fence refuses requests of a lower epoch or of another shard. A higher epoch
// has to adopt the endpoint.
func (e *endpointState) fence(request endpoint.SyncRequest) error {
	if e.epoch != 0 && e.shard != request.Shard {
		return eris.Wrapf(endpoint.ErrRejected, "endpoint belongs to shard %s", e.shard)
	}
	if request.Epoch < e.epoch {
		e.record(e.now, Record{Kind: Fenced, Shard: request.Shard, Epoch: request.Epoch})
		return eris.Wrapf(endpoint.ErrFenced, "epoch %d, seen %d", request.Epoch, e.epoch)
	}
	if request.Epoch == e.epoch {
		return nil
	}
	if !request.Adopt {
		return eris.Wrapf(endpoint.ErrRejected, "not adopted under epoch %d", request.Epoch)
	}
	e.shard, e.epoch = request.Shard, request.Epoch
	e.record(e.now, Record{Kind: Adopted})
	return nil
}

// renew extends the leases of all running attempts. It never shortens a lease:
// a Sync without a lease, or with one that ends earlier, has no effect.
func (e *endpointState) renew(lease time.Duration) {
	until := e.now.Add(lease)
	renewed := false
	for _, a := range e.attempts {
		if a.running() && a.lease.Before(until) {
			a.lease = until
			renewed = true
		}
	}
	if renewed {
		e.record(e.now, Record{Kind: Renewed})
	}
}

// start starts an attempt. A repeated command returns the first result.
func (e *endpointState) start(s endpoint.Start, lease time.Duration) endpoint.StartResult {
	if result, found := e.startResults[s.Attempt]; found {
		return result
	}
	result := endpoint.StartResult{Attempt: s.Attempt, Reason: e.refusalReason(s)}
	result.Started = result.Reason == ""
	e.startResults[s.Attempt] = result
	if !result.Started {
		e.record(e.now, Record{
			Kind: Refused, Attempt: s.Attempt, Team: s.Request.Team, Size: s.Size, Reason: result.Reason,
		})
		return result
	}
	e.startAttempt(s, lease)
	return result
}

func (e *endpointState) refusalReason(s endpoint.Start) string {
	if !endpointAccepting.Has(e.state) {
		return ReasonLeaving
	}
	if !e.committed.Add(s.Size).Fits(e.info.Capacity) {
		return ReasonCapacity
	}
	return ""
}

func (e *endpointState) startAttempt(s endpoint.Start, lease time.Duration) {
	a := &attempt{
		endpoint: e, id: s.Attempt, size: s.Size, request: s.Request,
		payload:   ParsePayload(s.Request.Spec.Payload),
		startedAt: e.now, lease: e.now.Add(lease),
		progress: e.fleet.progress[s.Attempt.Task],
	}
	attemptChart.Start(&a.state, a)
	a.usage = a.payload.usage(s.Request.Spec)
	e.schedule(a)
	e.attempts = append(e.attempts, a)
	e.committed = e.committed.Add(a.size)
	e.record(e.now, Record{
		Kind: Started, Attempt: a.id, Team: a.request.Team, Size: a.size,
		Class: a.request.Spec.Class, Once: a.request.Spec.NotRepeatable,
	})
}

// schedule sets when the attempt's work is done and whether it then fails.
func (e *endpointState) schedule(a *attempt) {
	if endpointFailing.Has(e.state) {
		a.willFail = true
		a.finishAt = e.now.Add(failingRunTime)
		return
	}
	a.willFail = a.payload.fails(a.id)
	if a.request.Spec.Kind == model.Service {
		return
	}
	remaining := a.payload.runTime(a.request.Spec) - a.progress
	a.finishAt = e.now.Add(max(remaining, time.Millisecond))
}

func (e *endpointState) applyOrder(o endpoint.Order) {
	events := map[endpoint.Control]chart.Event{
		endpoint.Stop:       attemptStop,
		endpoint.Checkpoint: attemptCheckpoint,
		endpoint.Throttle:   attemptThrottle,
	}
	event, found := events[o.Control]
	if a := e.find(o.Attempt); a != nil && found {
		e.fire(a, event, e.now)
	}
}

func (e *endpointState) acknowledge(id model.AttemptID) {
	a := e.find(id)
	if a == nil {
		return
	}
	e.fire(a, attemptAcknowledge, e.now)
	e.attempts = slices.DeleteFunc(e.attempts, func(a *attempt) bool {
		return attemptForgotten.Has(a.state)
	})
}

func (e *endpointState) find(id model.AttemptID) *attempt {
	for _, a := range e.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// appendReports adds the ended attempts to the reply and, for an adoption or
// when requested, the running ones. Only an adopting holder gets the requests
// themselves.
func (e *endpointState) appendReports(request endpoint.SyncRequest, reply *endpoint.SyncReply) {
	for _, a := range e.attempts {
		if !a.running() {
			reply.Finished = append(reply.Finished, a.result(request.Adopt))
			continue
		}
		e.wakeBy(a.nextEvent())
		if request.Adopt || request.Report {
			running := a.report(e.now, e.fleet.options.UsageLag, request.Adopt)
			reply.Running = append(reply.Running, running)
		}
	}
}

// killAll ends all attempts as lapsed and discards them, so that their ends are
// not reported to a holder, as on the loss of the instance.
func (e *endpointState) killAll() {
	for _, a := range e.attempts {
		if a.running() {
			e.fire(a, attemptLapse, e.now)
		}
	}
	e.attempts = nil
}

// record adds r to the log with the endpoint's id and domain and, unless r has
// an epoch, with the endpoint's shard and epoch.
func (e *endpointState) record(at time.Time, r Record) {
	r.Time = at
	r.Endpoint, r.Domain = e.info.ID, e.info.Domain
	if r.Epoch == 0 {
		r.Shard, r.Epoch = e.shard, e.epoch
	}
	e.fleet.log.add(r)
}
