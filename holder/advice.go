package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sort"
	"strings"
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
	// order contains the requesters in the order of their addresses.
	order []*adviceRequester
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
	idle := q.idleRequesters(h.now)
	if idle.none() {
		return
	}
	sort.SliceStable(q.requests, func(i, k int) bool { return q.requests[i].Before(q.requests[k]) })
	var remaining []planner.AdviceRequest
	for _, request := range q.requests {
		short := request.Cost <= planner.ShortAdviceRequest
		if requester := idle.take(short); requester == nil || !requester.Offer(request) {
			remaining = append(remaining, request)
		} else {
			requester.busy, requester.longRequest = true, !short
		}
	}
	q.requests = remaining
}

// idleRequesters are the instances that can send a request now. They are found once for all
// requests of a dispatch: with 70 queued requests and 43 instances, a search for each request
// took 0.4 of a core.
type idleRequesters struct {
	// own is this instance, nil if it is busy.
	own *adviceRequester
	// idle are the other instances in the order of their addresses. usable counts these and
	// the busy ones, long those whose request is a long one.
	idle         []*adviceRequester
	usable, long int
}

func (q *adviceQueue) idleRequesters(now time.Time) *idleRequesters {
	found := &idleRequesters{}
	for _, requester := range q.order {
		switch {
		case requester.address == "":
			if !requester.busy {
				found.own = requester
			}
			continue
		case now.Before(requester.excludedUntil):
			continue
		case !requester.busy:
			found.idle = append(found.idle, requester)
		case requester.longRequest:
			found.long++
		}
		found.usable++
	}
	return found
}

func (r *idleRequesters) none() bool { return r.own == nil && len(r.idle) == 0 }

// take returns an instance that can send a request now, or nil. A short request prefers
// this instance; a long one uses it only if there is no other. Of three or more others, one
// is reserved for short requests, too.
func (r *idleRequesters) take(short bool) *adviceRequester {
	if own := r.own; own != nil && (short || r.usable == 0) {
		r.own = nil
		return own
	}
	last := len(r.idle) - 1
	if last < 0 || !short && r.usable > 2 && r.long >= r.usable-1 {
		return nil
	}
	requester := r.idle[last]
	r.idle = r.idle[:last]
	if !short {
		r.long++
	}
	return requester
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
	q.order = slices.SortedFunc(maps.Values(q.requesters), func(a, b *adviceRequester) int { return strings.Compare(a.address, b.address) })
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
