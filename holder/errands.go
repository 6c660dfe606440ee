package holder

import (
	"log/slog"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// remoteTime is allowed for an errand through another instance beyond the
	// time of the call itself.
	remoteTime = 500 * time.Millisecond
	// remotePause keeps errands from an instance that has not answered.
	remotePause = 1500 * time.Millisecond
	// domainBarred is how many instances of a domain fail to answer before none
	// of the domain is used.
	domainBarred = 2
	// expirePeriod is how often errands without an outcome are looked for.
	expirePeriod = 100 * time.Millisecond
	// routesPeriod is how often the routes are chosen anew while the number of
	// endpoints changes.
	routesPeriod = time.Second
)

// errands are the calls of endpoints under way. They belong to the deciding duty.
type errands struct {
	carrier   *dispatch.Carrier
	next      uint64
	pending   map[uint64]pending
	expiredAt time.Time

	instances []instances.Instance
	remotes   map[string]*remote
	routes    *dispatch.Routes
	routesAt  time.Time
	stale     bool
}

// pending is an errand without an outcome.
type pending struct {
	errand dispatch.Errand
	link   *link
	// at is when it was handed over, until when its outcome is given up.
	at, until time.Time
	// by is the instance that carries it; nil for this one.
	by *remote
}

// remote is another instance that carries errands.
type remote struct {
	*dispatch.Remote
	batch []dispatch.Errand
	// barred is until when it is given no errands, since it has not answered.
	barred time.Time
}

func newErrands(h *Holder) *errands {
	c := h.cell
	e := &errands{pending: map[uint64]pending{}, remotes: map[string]*remote{}}
	e.carrier = dispatch.NewCarrier(c.ctx, h.Command, func(d duty.Runner) { c.start(h, d) }, func(d dispatch.Done) {
		h.tell(doneMessage{epoch: c.epoch, done: d})
	})
	return e
}

// setInstances takes the other instances.
func (e *errands) setInstances(others []instances.Instance) {
	e.instances = others
	e.stale = true
}

// errand hands an errand over. It reports false when it can't be carried now.
func (h *Holder) errand(l *link, errand dispatch.Errand) bool {
	e := h.cell.errands
	e.next++
	errand.ID = e.next
	p := pending{errand: errand, link: l, at: h.now, until: h.now.Add(errand.Timeout() + remoteTime), by: e.through(l)}
	if p.by != nil {
		p.by.batch = append(p.by.batch, errand)
	} else if !e.carrier.Carry(errand) {
		return false
	}
	e.pending[errand.ID] = p
	return true
}

// through returns the instance that carries errands to the endpoint; nil for
// this one. An endpoint that does not answer there is tried from here in turn.
func (e *errands) through(l *link) *remote {
	if e.routes == nil || l.failures%2 == 1 {
		return nil
	}
	return e.remotes[e.routes.For(l.id, l.info.Domain)]
}

// flush sends what has been handed over. What finds no room, since the batch
// before is still on its way, goes with the next one.
func (e *errands) flush(h *Holder) {
	for _, r := range e.remotes {
		if len(r.batch) == 0 {
			continue
		}
		if r.Send(r.batch) {
			r.batch = nil
		}
	}
	e.route(h)
}

// route chooses anew through which instances endpoints are called, when the
// instances or the endpoints have changed.
func (e *errands) route(h *Holder) {
	if !e.stale || h.now.Sub(e.routesAt) < routesPeriod {
		return
	}
	e.stale, e.routesAt = false, h.now
	e.routes = nil
	if len(h.cell.links) <= h.DirectEndpoints {
		return
	}
	inDomain := map[model.DomainName]int{}
	for _, l := range h.cell.links {
		inDomain[l.info.Domain]++
	}
	e.routes = dispatch.NewRoutes(e.able(h), inDomain)
	for _, address := range e.routes.Addresses() {
		e.ensure(h, address)
	}
	h.Log.Info("errands_routed", slog.Uint64("epoch", h.cell.epoch), slog.Int("endpoints", len(h.cell.links)),
		slog.Any("instances", e.routes.Addresses()))
}

// able returns the instances that errands may go through. A domain of which
// several do not answer is cut off, as its endpoints are: none of it is tried.
func (e *errands) able(h *Holder) []instances.Instance {
	barred := map[model.DomainName]int{}
	isBarred := func(i instances.Instance) bool {
		r := e.remotes[i.Address]
		return r != nil && h.now.Before(r.barred)
	}
	for _, i := range e.instances {
		if isBarred(i) {
			barred[i.Domain]++
		}
	}
	return slices.DeleteFunc(slices.Clone(e.instances), func(i instances.Instance) bool {
		return isBarred(i) || barred[i.Domain] >= domainBarred
	})
}

func (e *errands) ensure(h *Holder, address string) {
	if e.remotes[address] != nil {
		return
	}
	c := h.cell
	r := &remote{Remote: dispatch.NewRemote(c.ctx, h.Peers, address, c.epoch, remoteSink{h: h, epoch: c.epoch})}
	e.remotes[address] = r
	for _, d := range r.Duties() {
		c.start(h, d)
	}
}

// expire gives up the errands whose outcomes are overdue.
func (e *errands) expire(h *Holder) {
	if h.now.Sub(e.expiredAt) < expirePeriod {
		return
	}
	e.expiredAt = h.now
	for id, p := range e.pending {
		if h.now.After(p.until) {
			e.settle(h, dispatch.Outcome{ID: id, Code: dispatch.NoAnswer, Reason: "no outcome in time"})
		}
	}
	for _, r := range e.remotes {
		if !r.barred.IsZero() && !h.now.Before(r.barred) {
			r.barred, e.stale = time.Time{}, true
		}
	}
}

// settle takes the outcome of an errand that has none yet.
func (e *errands) settle(h *Holder, o dispatch.Outcome) {
	p, found := e.pending[o.ID]
	if !found {
		return
	}
	delete(e.pending, o.ID)
	if o.Code == dispatch.Fenced {
		h.stepDown("an endpoint follows a later epoch")
		return
	}
	switch {
	case p.errand.Start != nil:
		h.startAnswered(p.errand.Start, o)
	case p.errand.Stop != nil:
		h.stopAnswered(p.errand.Stop, o)
	case h.cell.links[p.link.id] == p.link:
		h.listed(p.link, p, o)
	}
}

// fail bars an instance that does not answer and settles the errands that it
// has. sent says whether it may have seen those of the list.
func (e *errands) fail(h *Holder, r *remote, list []uint64, sent bool, err error) {
	if !h.now.Before(r.barred) {
		h.Log.Warn("errands_failed", slog.String("instance", r.Address), slog.Int("errands", len(list)),
			slog.Bool("sent", sent), slog.Any("error", err))
	}
	r.barred = h.now.Add(remotePause)
	e.stale, e.routesAt = true, time.Time{}
	unseen := map[uint64]bool{}
	for _, id := range list {
		unseen[id] = !sent
	}
	for _, errand := range r.batch {
		unseen[errand.ID] = true
	}
	r.batch = nil
	for id, p := range e.pending {
		if p.by == r {
			delete(e.pending, id)
			h.errandLost(p, unseen[id], err)
		}
	}
}

// errandLost settles an errand whose instance does not answer, which says nothing
// of the endpoint.
func (h *Holder) errandLost(p pending, unseen bool, err error) {
	switch {
	case p.errand.Start != nil && unseen:
		h.cell.planner.Refused(p.errand.Start.Run, fleet.ErrRefused)
	case p.errand.Start != nil:
		h.logOrder("start", p.errand.Target(), p.errand.Start.Run, err)
		h.cell.planner.Unsettled(p.errand.Start.Run)
	case p.errand.Stop != nil:
		h.retryStop(p.errand.Stop.Run)
	default:
		p.link.busy = false
	}
}

// doneMessage says that a call of this instance has ended.
type doneMessage struct {
	epoch uint64
	done  dispatch.Done
}

func (m doneMessage) apply(h *Holder) {
	if h.cell == nil || h.cell.epoch != m.epoch {
		return
	}
	h.cell.errands.carrier.Settle(m.done)
	h.cell.errands.settle(h, m.done.Outcome)
}

// remoteSink hands what comes of remote errands to the deciding duty.
type remoteSink struct {
	h     *Holder
	epoch uint64
}

// Collected implements dispatch.Sink.
func (s remoteSink) Collected(_ *dispatch.Remote, outcomes []dispatch.Outcome) {
	s.h.tell(outcomesMessage{epoch: s.epoch, outcomes: outcomes})
}

// Failed implements dispatch.Sink.
func (s remoteSink) Failed(r *dispatch.Remote, list []uint64, sent bool, err error) {
	s.h.tell(remoteFailedMessage{epoch: s.epoch, address: r.Address, errands: list, sent: sent, err: err})
}

// outcomesMessage are outcomes of another instance's calls.
type outcomesMessage struct {
	epoch    uint64
	outcomes []dispatch.Outcome
}

func (m outcomesMessage) apply(h *Holder) {
	for _, o := range m.outcomes {
		if h.cell == nil || h.cell.epoch != m.epoch {
			return
		}
		h.cell.errands.settle(h, o)
	}
}

// remoteFailedMessage says that another instance does not answer.
type remoteFailedMessage struct {
	epoch   uint64
	address string
	errands []uint64
	sent    bool
	err     error
}

func (m remoteFailedMessage) apply(h *Holder) {
	if h.cell == nil || h.cell.epoch != m.epoch {
		return
	}
	if r := h.cell.errands.remotes[m.address]; r != nil {
		h.cell.errands.fail(h, r, m.errands, m.sent, m.err)
	}
}
