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
	// remoteTime is allowed for a command through another instance beyond the
	// time of the call itself.
	remoteTime = 500 * time.Millisecond
	// remotePause keeps commands from an instance that has not answered.
	remotePause = 1500 * time.Millisecond
	// domainBarred is how many instances of a domain fail to answer before none
	// of the domain is used.
	domainBarred = 2
	// expirePeriod is how often commands without an outcome are looked for.
	expirePeriod = 100 * time.Millisecond
	// routesPeriod is how often the routes are chosen anew while the number of
	// endpoints changes.
	routesPeriod = time.Second
)

// commands are the calls of endpoints under way. They belong to the deciding duty.
type commands struct {
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

// pending is a command without an outcome.
type pending struct {
	command dispatch.Command
	link    *link
	// at is when it was handed over, until when its outcome is given up.
	at, until time.Time
	// by is the instance that carries it; nil for this one.
	by *remote
}

// remote is another instance that carries commands.
type remote struct {
	*dispatch.Remote
	batch []dispatch.Command
	// barred is until when it is given no commands, since it has not answered.
	barred time.Time
}

func newCommands(h *Holder) *commands {
	c := h.cell
	cs := &commands{pending: map[uint64]pending{}, remotes: map[string]*remote{}}
	cs.carrier = dispatch.NewCarrier(c.ctx, h.Command, func(d duty.Runner) { c.start(h, d) }, func(d dispatch.Done) {
		h.tell(doneMessage{epoch: c.epoch, done: d})
	})
	return cs
}

// setInstances takes the other instances.
func (cs *commands) setInstances(others []instances.Instance) {
	cs.instances = others
	cs.stale = true
}

// command hands a command over. It reports false when it can't be carried now.
func (h *Holder) command(l *link, command dispatch.Command) bool {
	cs := h.cell.commands
	cs.next++
	command.ID = cs.next
	p := pending{command: command, link: l, at: h.now, until: h.now.Add(command.Timeout() + remoteTime), by: cs.through(l)}
	if p.by != nil {
		p.by.batch = append(p.by.batch, command)
	} else if !cs.carrier.Carry(command) {
		return false
	}
	cs.pending[command.ID] = p
	return true
}

// through returns the instance that carries commands to the endpoint; nil for
// this one. An endpoint that does not answer there is tried from here in turn.
func (cs *commands) through(l *link) *remote {
	if cs.routes == nil || l.failures%2 == 1 {
		return nil
	}
	return cs.remotes[cs.routes.For(l.id, l.info.Domain)]
}

// flush sends what has been handed over. What finds no room, since the batch
// before is still on its way, goes with the next one.
func (cs *commands) flush(h *Holder) {
	for _, r := range cs.remotes {
		if len(r.batch) == 0 {
			continue
		}
		if r.Send(r.batch) {
			r.batch = nil
		}
	}
	cs.route(h)
}

// route chooses anew through which instances endpoints are called, when the
// instances or the endpoints have changed.
func (cs *commands) route(h *Holder) {
	if !cs.stale || h.now.Sub(cs.routesAt) < routesPeriod {
		return
	}
	cs.stale, cs.routesAt = false, h.now
	cs.routes = nil
	if len(h.cell.links) <= h.DirectEndpoints {
		return
	}
	inDomain := map[model.DomainName]int{}
	for _, l := range h.cell.links {
		inDomain[l.info.Domain]++
	}
	cs.routes = dispatch.NewRoutes(cs.able(h), inDomain)
	for _, address := range cs.routes.Addresses() {
		cs.ensure(h, address)
	}
	h.Log.Info("commands_routed", slog.Uint64("epoch", h.cell.epoch), slog.Int("endpoints", len(h.cell.links)),
		slog.Any("instances", cs.routes.Addresses()))
}

// able returns the instances that commands may go through. A domain of which
// several do not answer is cut off, as its endpoints are: none of it is tried.
func (cs *commands) able(h *Holder) []instances.Instance {
	barred := map[model.DomainName]int{}
	isBarred := func(i instances.Instance) bool {
		r := cs.remotes[i.Address]
		return r != nil && h.now.Before(r.barred)
	}
	for _, i := range cs.instances {
		if isBarred(i) {
			barred[i.Domain]++
		}
	}
	return slices.DeleteFunc(slices.Clone(cs.instances), func(i instances.Instance) bool {
		return isBarred(i) || barred[i.Domain] >= domainBarred
	})
}

func (cs *commands) ensure(h *Holder, address string) {
	if cs.remotes[address] != nil {
		return
	}
	c := h.cell
	r := &remote{Remote: dispatch.NewRemote(c.ctx, h.Peers, address, c.epoch, remoteSink{h: h, epoch: c.epoch})}
	cs.remotes[address] = r
	for _, d := range r.Duties() {
		c.start(h, d)
	}
}

// expire gives up the commands whose outcomes are overdue.
func (cs *commands) expire(h *Holder) {
	if h.now.Sub(cs.expiredAt) < expirePeriod {
		return
	}
	cs.expiredAt = h.now
	for id, p := range cs.pending {
		if h.now.After(p.until) {
			cs.settle(h, dispatch.Outcome{ID: id, Code: dispatch.NoAnswer, Reason: "no outcome in time"})
		}
	}
	for _, r := range cs.remotes {
		if !r.barred.IsZero() && !h.now.Before(r.barred) {
			r.barred, cs.stale = time.Time{}, true
		}
	}
}

// settle takes the outcome of a command that has none yet.
func (cs *commands) settle(h *Holder, o dispatch.Outcome) {
	p, found := cs.pending[o.ID]
	if !found {
		return
	}
	delete(cs.pending, o.ID)
	if o.Code == dispatch.Fenced {
		h.stepDown("an endpoint follows a later epoch")
		return
	}
	switch {
	case p.command.Start != nil:
		h.startAnswered(p.command.Start, o)
	case p.command.Stop != nil:
		h.stopAnswered(p.command.Stop, o)
	case h.cell.links[p.link.id] == p.link:
		h.listed(p.link, p, o)
	}
}

// fail bars an instance that does not answer and settles the commands that it
// has. sent says whether it may have seen those of the list.
func (cs *commands) fail(h *Holder, r *remote, list []uint64, sent bool, err error) {
	if !h.now.Before(r.barred) {
		h.Log.Warn("commands_failed", slog.String("instance", r.Address), slog.Int("commands", len(list)),
			slog.Bool("sent", sent), slog.Any("error", err))
	}
	r.barred = h.now.Add(remotePause)
	cs.stale, cs.routesAt = true, time.Time{}
	unseen := map[uint64]bool{}
	for _, id := range list {
		unseen[id] = !sent
	}
	for _, command := range r.batch {
		unseen[command.ID] = true
	}
	r.batch = nil
	for id, p := range cs.pending {
		if p.by == r {
			delete(cs.pending, id)
			h.commandLost(p, unseen[id], err)
		}
	}
}

// commandLost settles a command whose instance does not answer, which says nothing
// of the endpoint.
func (h *Holder) commandLost(p pending, unseen bool, err error) {
	switch {
	case p.command.Start != nil && unseen:
		h.cell.planner.Refused(p.command.Start.Run, fleet.ErrRefused)
	case p.command.Start != nil:
		h.logOrder("start", p.command.Target(), p.command.Start.Run, err)
		h.cell.planner.Unsettled(p.command.Start.Run)
	case p.command.Stop != nil:
		h.retryStop(p.command.Stop.Run)
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
	h.cell.commands.carrier.Settle(m.done)
	h.cell.commands.settle(h, m.done.Outcome)
}

// remoteSink hands what comes of remote commands to the deciding duty.
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
	s.h.tell(remoteFailedMessage{epoch: s.epoch, address: r.Address, commands: list, sent: sent, err: err})
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
		h.cell.commands.settle(h, o)
	}
}

// remoteFailedMessage says that another instance does not answer.
type remoteFailedMessage struct {
	epoch    uint64
	address  string
	commands []uint64
	sent     bool
	err      error
}

func (m remoteFailedMessage) apply(h *Holder) {
	if h.cell == nil || h.cell.epoch != m.epoch {
		return
	}
	if r := h.cell.commands.remotes[m.address]; r != nil {
		h.cell.commands.fail(h, r, m.commands, m.sent, m.err)
	}
}
