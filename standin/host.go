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

// failingRun is how long a task runs on an endpoint that fails everything.
const failingRun = 5 * time.Millisecond

// host is one endpoint. Its life cycle is the chart standin_endpoint.
type host struct {
	fleet *fleetState
	state chart.State
	info  model.EndpointInfo
	shard model.ShardID
	// epoch is the highest that the endpoint has adopted.
	epoch     model.Epoch
	committed model.Resources
	// attempts are those that run or are not acknowledged, in the order of
	// their starts.
	attempts []*attempt
	// seen remembers every start command's fate.
	seen map[model.AttemptID]endpoint.StartResult
	// wake is when something happens by itself; zero means never.
	wake time.Time
	now  time.Time
}

var hostChart = chart.MustBind(charts.MustLoad("standin_endpoint"),
	chart.Guards[host]{},
	chart.Actions[host]{"kill_all": (*host).killAll})

// Events and states of endpoints.
var (
	hostAnswering = hostChart.MustSet("answering")
	hostAccepting = hostChart.MustSet("accepting")
	hostFailing   = hostChart.MustSet("failing")
	hostLeaving   = hostChart.MustSet("leaving")
	hostGone      = hostChart.MustSet("gone")
)

func newHost(fleet *fleetState, info model.EndpointInfo) *host {
	h := &host{fleet: fleet, info: info, seen: map[model.AttemptID]endpoint.StartResult{}}
	hostChart.Start(&h.state, h)
	return h
}

// advance ends what has ended by itself until now. An attempt ends at its due
// time or at the end of its lease, however late the endpoint's thread is.
func (h *host) advance(now time.Time) {
	h.now = now
	h.wake = time.Time{}
	for _, a := range h.attempts {
		if !a.running() {
			continue
		}
		if next := a.next(); next.After(now) {
			h.wakeBy(next)
			continue
		}
		event := attemptFinish
		if a.next().Equal(a.lease) {
			event = attemptLapse
		}
		h.fire(a, event, a.next())
	}
}

func (h *host) wakeBy(at time.Time) {
	if h.wake.IsZero() || at.Before(h.wake) {
		h.wake = at
	}
}

// fire hands the event to the attempt and accounts for its end.
func (h *host) fire(a *attempt, event chart.Event, at time.Time) {
	ran := a.running()
	a.at = at
	attemptChart.Fire(&a.state, event, a)
	if !ran || a.running() {
		return
	}
	a.ended = at
	h.committed = h.committed.Sub(a.size)
	h.record(at, Record{
		Kind: Ended, Attempt: a.id, Team: a.request.Team, Size: a.size,
		Outcome: a.outcome(), Output: a.output(),
	})
}

// sync carries out one Sync.
func (h *host) sync(request endpoint.SyncRequest) (endpoint.SyncReply, error) {
	if err := h.fence(request); err != nil {
		return endpoint.SyncReply{}, err
	}
	if request.Fresh > 0 && h.now.UnixNano()-request.Stamp > int64(request.Fresh) {
		return endpoint.SyncReply{}, eris.Wrap(endpoint.ErrRejected, "held up on its way")
	}
	h.renew(request.Lease)
	reply := endpoint.SyncReply{Leaving: hostLeaving.Has(h.state), Stamp: h.now.UnixNano()}
	for _, start := range request.Starts {
		reply.Results = append(reply.Results, h.start(start, request.Lease))
	}
	for _, order := range request.Orders {
		h.order(order)
	}
	for _, id := range request.Acknowledged {
		h.acknowledge(id)
	}
	h.news(request, &reply)
	return reply, nil
}

// fence refuses commands of a lower epoch and adopts a higher one.
func (h *host) fence(request endpoint.SyncRequest) error {
	if h.epoch != 0 && h.shard != request.Shard {
		return eris.Wrapf(endpoint.ErrRejected, "endpoint belongs to shard %s", h.shard)
	}
	if request.Epoch < h.epoch {
		h.record(h.now, Record{Kind: Fenced, Shard: request.Shard, Epoch: request.Epoch})
		return eris.Wrapf(endpoint.ErrFenced, "epoch %d, seen %d", request.Epoch, h.epoch)
	}
	if request.Epoch == h.epoch {
		return nil
	}
	if !request.Adopt {
		return eris.Wrapf(endpoint.ErrRejected, "not adopted under epoch %d", request.Epoch)
	}
	h.shard, h.epoch = request.Shard, request.Epoch
	h.record(h.now, Record{Kind: Adopted})
	return nil
}

// renew prolongs the leases of all that runs. A Sync without a lease, or one
// that ends earlier, shortens none.
func (h *host) renew(lease time.Duration) {
	until := h.now.Add(lease)
	renewed := false
	for _, a := range h.attempts {
		if a.running() && a.lease.Before(until) {
			a.lease = until
			renewed = true
		}
	}
	if renewed {
		h.record(h.now, Record{Kind: Renewed})
	}
}

// start begins an attempt unless its fate is known already.
func (h *host) start(s endpoint.Start, lease time.Duration) endpoint.StartResult {
	if earlier, found := h.seen[s.Attempt]; found {
		return earlier
	}
	result := endpoint.StartResult{Attempt: s.Attempt, Reason: h.refusal(s)}
	result.Started = result.Reason == ""
	h.seen[s.Attempt] = result
	if !result.Started {
		h.record(h.now, Record{
			Kind: Refused, Attempt: s.Attempt, Team: s.Request.Team, Size: s.Size, Reason: result.Reason,
		})
		return result
	}
	h.run(s, lease)
	return result
}

func (h *host) refusal(s endpoint.Start) string {
	if !hostAccepting.Has(h.state) {
		return ReasonLeaving
	}
	if !h.committed.Add(s.Size).Fits(h.info.Capacity) {
		return ReasonCapacity
	}
	return ""
}

func (h *host) run(s endpoint.Start, lease time.Duration) {
	a := &attempt{
		host: h, id: s.Attempt, size: s.Size, request: s.Request,
		payload: ParsePayload(s.Request.Spec.Payload),
		started: h.now, lease: h.now.Add(lease),
		progress: h.fleet.progress[s.Attempt.Task],
	}
	attemptChart.Start(&a.state, a)
	a.usage = a.payload.usage(s.Request.Spec)
	h.schedule(a)
	h.attempts = append(h.attempts, a)
	h.committed = h.committed.Add(a.size)
	h.record(h.now, Record{
		Kind: Started, Attempt: a.id, Team: a.request.Team, Size: a.size,
		Class: a.request.Spec.Class, Once: a.request.Spec.NotRepeatable,
	})
}

// schedule sets when the attempt has done its work, and how it ends then.
func (h *host) schedule(a *attempt) {
	if hostFailing.Has(h.state) {
		a.broken = true
		a.due = h.now.Add(failingRun)
		return
	}
	a.broken = a.payload.fails(a.id)
	if a.request.Spec.Kind == model.Service {
		return
	}
	rest := a.payload.runTime(a.request.Spec) - a.progress
	a.due = h.now.Add(max(rest, time.Millisecond))
}

func (h *host) order(o endpoint.Order) {
	events := map[endpoint.Control]chart.Event{
		endpoint.Stop:       attemptStop,
		endpoint.Checkpoint: attemptCheckpoint,
		endpoint.Throttle:   attemptThrottle,
	}
	event, known := events[o.Control]
	if a := h.find(o.Attempt); a != nil && known {
		h.fire(a, event, h.now)
	}
}

func (h *host) acknowledge(id model.AttemptID) {
	a := h.find(id)
	if a == nil {
		return
	}
	h.fire(a, attemptAcknowledge, h.now)
	h.attempts = slices.DeleteFunc(h.attempts, func(a *attempt) bool {
		return attemptForgotten.Has(a.state)
	})
}

func (h *host) find(id model.AttemptID) *attempt {
	for _, a := range h.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// news reports all that has ended and, when asked for, all that runs. The
// requests themselves go only to a holder that adopts.
func (h *host) news(request endpoint.SyncRequest, reply *endpoint.SyncReply) {
	for _, a := range h.attempts {
		if !a.running() {
			reply.Finished = append(reply.Finished, a.result(request.Adopt))
			continue
		}
		h.wakeBy(a.next())
		if request.Adopt || request.Report {
			running := a.report(h.now, h.fleet.options.UsageLag, request.Adopt)
			reply.Running = append(reply.Running, running)
		}
	}
}

// killAll ends everything, as the end of the instance does.
func (h *host) killAll() {
	for _, a := range h.attempts {
		if a.running() {
			h.fire(a, attemptLapse, h.now)
		}
	}
	h.attempts = nil
}

// record puts r on the record with what is known of the endpoint.
func (h *host) record(at time.Time, r Record) {
	r.Time = at
	r.Endpoint, r.Domain = h.info.ID, h.info.Domain
	if r.Epoch == 0 {
		r.Shard, r.Epoch = h.shard, h.epoch
	}
	h.fleet.log.add(r)
}
