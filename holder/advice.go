package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// adviceTimeout is the time that an advice request may take in addition to its
	// expected cost.
	adviceTimeout = 800 * time.Millisecond
	// requesterExclusion is how long no requests are sent through another instance
	// after a request through it failed.
	requesterExclusion = 1500 * time.Millisecond
)

// AdviceClient sends requests to the advice service, from this or another instance.
type AdviceClient interface {
	// Ask returns the eligible endpoints of those given for the step, with their
	// tickets. instance is the peer address of the instance that sends the
	// request; empty for this one.
	Ask(ctx context.Context, instance string, step jobs.StepID, endpoints []model.EndpointID) (map[model.EndpointID]string, error)
}

// adviceQueue distributes advice requests over the instances. Each instance sends
// one request at a time.
type adviceQueue struct {
	requests   []planner.AdviceRequest
	requesters map[string]*adviceRequester
}

// adviceRequester is an instance that sends advice requests. Its duty waits for
// the response.
type adviceRequester struct {
	*duty.Duty[planner.AdviceRequest]
	address string
	busy    bool
	// longRequest is set when the last request sent is a long one.
	longRequest bool
	// excludedUntil is set when a request failed; no requests are sent through
	// the instance until then.
	excludedUntil time.Time
}

func newAdviceQueue() *adviceQueue { return &adviceQueue{requesters: map[string]*adviceRequester{}} }

func (q *adviceQueue) add(request planner.AdviceRequest) { q.requests = append(q.requests, request) }

func (q *adviceQueue) waiting() int { return len(q.requests) }

// dispatch gives the queued requests to idle instances, the most urgent first.
// While there are several instances, this one is reserved for short requests.
func (q *adviceQueue) dispatch(h *Holder) {
	if len(q.requests) == 0 || !h.mayAct() {
		return
	}
	sort.SliceStable(q.requests, func(i, k int) bool { return q.requests[i].Before(q.requests[k]) })
	var remaining []planner.AdviceRequest
	for _, request := range q.requests {
		if requester := q.idleRequester(h.now, request.Cost <= planner.ShortAdviceRequest); requester == nil || !requester.Offer(request) {
			remaining = append(remaining, request)
		} else {
			requester.busy, requester.longRequest = true, request.Cost > planner.ShortAdviceRequest
		}
	}
	q.requests = remaining
}

// idleRequester returns an instance that can send a request now, or nil. A short
// request prefers this instance; a long one uses it only if there is no other. Of
// three or more others, one is reserved for short requests, too.
func (q *adviceQueue) idleRequester(now time.Time, short bool) *adviceRequester {
	own := q.requesters[""]
	if short && own != nil && !own.busy {
		return own
	}
	others, idle, long := 0, (*adviceRequester)(nil), 0
	for _, address := range q.addresses() {
		requester := q.requesters[address]
		if address == "" || now.Before(requester.excludedUntil) {
			continue
		}
		others++
		if !requester.busy {
			idle = requester
		} else if requester.longRequest {
			long++
		}
	}
	if !short && others > 2 && long >= others-1 {
		return nil
	}
	if others == 0 && own != nil && !own.busy {
		return own
	}
	return idle
}

func (q *adviceQueue) addresses() []string {
	list := make([]string, 0, len(q.requesters))
	for address := range q.requesters {
		list = append(list, address)
	}
	sort.Strings(list)
	return list
}

// setInstances replaces the list of other instances. An instance that is no longer
// listed is removed if it is idle, else by a later call.
func (q *adviceQueue) setInstances(h *Holder, others []instances.Instance) {
	q.ensureRequester(h, "")
	listed := map[string]bool{"": true}
	for _, i := range others {
		listed[i.Address] = true
		q.ensureRequester(h, i.Address)
	}
	for address, requester := range q.requesters {
		if !listed[address] && !requester.busy {
			requester.Stop()
			delete(q.requesters, address)
		}
	}
	h.cell.planner.SetAdviceInstances(len(q.requesters))
}

func (q *adviceQueue) ensureRequester(h *Holder, address string) {
	if q.requesters[address] != nil {
		return
	}
	c := h.cell
	requester := &adviceRequester{address: address}
	requester.Duty = duty.NewCalling("adviser", 1, duty.HandlerFunc[planner.AdviceRequest](func(batch []planner.AdviceRequest) time.Duration {
		for _, request := range batch {
			h.requestAdvice(c, requester, request)
		}
		return duty.Never
	}))
	q.requesters[address] = requester
	c.start(h, requester)
}

// requestAdvice sends one request on the requester's thread.
func (h *Holder) requestAdvice(c *cell, a *adviceRequester, q planner.AdviceRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, q.Cost+adviceTimeout)
	defer cancel()
	tickets, err := h.Advice.Ask(ctx, a.address, q.Step, q.Endpoints)
	h.post(adviceMessage{epoch: c.epoch, requester: a, request: q, tickets: tickets, receivedAt: h.Clock.Now(), err: err})
}

// adviceMessage reports the response to an advice request, or its failure.
type adviceMessage struct {
	epoch      uint64
	requester  *adviceRequester
	request    planner.AdviceRequest
	tickets    map[model.EndpointID]string
	receivedAt time.Time
	err        error
}

func (m adviceMessage) apply(h *Holder) {
	c := h.cell
	if c == nil || c.epoch != m.epoch {
		return
	}
	m.requester.busy = false
	if m.err != nil {
		counts.Add("advice_failed", 1)
		if m.requester.address != "" {
			m.requester.excludedUntil = h.now.Add(requesterExclusion)
		}
		h.Log.Warn("advice_failed", slog.String("id", string(m.request.Step.Job)), slog.String("step", m.request.Step.String()),
			slog.String("instance", m.requester.address), slog.Any("error", m.err))
		c.planner.ApplyAdvice(m.request, nil, m.receivedAt)
		return
	}
	counts.Add("advice", 1)
	h.Log.Info("advice", slog.String("id", string(m.request.Step.Job)), slog.String("step", m.request.Step.String()),
		slog.Int("asked", len(m.request.Endpoints)), slog.Int("good", len(m.tickets)), slog.String("instance", m.requester.address))
	if m.tickets == nil {
		m.tickets = map[model.EndpointID]string{}
	}
	c.planner.ApplyAdvice(m.request, m.tickets, m.receivedAt)
}

// SetInstances replaces the list of other instances.
func (h *Holder) SetInstances(others []instances.Instance) { h.post(instancesMessage{others}) }

type instancesMessage struct{ others []instances.Instance }

func (m instancesMessage) apply(h *Holder) {
	if actingStates.Has(h.state) {
		h.cell.adviceQueue.setInstances(h, m.others)
		h.cell.commands.setInstances(m.others)
	}
}

func decodeRow(row storage.Row, into any) error {
	return eris.Wrapf(json.Unmarshal(row.Value, into), "decoding the row %s", row.Key)
}
