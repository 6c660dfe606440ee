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
	// returnAllowance is the time that an outcome may take from another instance.
	returnAllowance = 100 * time.Millisecond
	// remoteAllowance is the time that a command sent through another instance
	// may take in addition to the call's own timeout.
	remoteAllowance = dispatch.SendWindow + returnAllowance
	// remoteExclusion is how long no commands are sent through an instance that
	// did not respond.
	remoteExclusion = 1500 * time.Millisecond
	// domainExclusionThreshold is the number of excluded instances of a domain at
	// which the whole domain is excluded.
	domainExclusionThreshold = 2
	// expirePeriod is the least time between two checks for commands without an
	// outcome.
	expirePeriod = 100 * time.Millisecond
	// routesPeriod is the least time between two changes of the routes while
	// endpoints or instances change.
	routesPeriod = time.Second
)

// commands tracks the commands to endpoints that are in flight, and through which
// instances they are sent. Only the deciding duty uses it.
type commands struct {
	sender          *dispatch.Executor
	lastID          uint64
	pending         map[uint64]pendingCommand
	expiryCheckedAt time.Time

	instances      []instances.Instance
	remotes        map[string]*remote
	routes         *dispatch.Routes
	routesChosenAt time.Time
	routesStale    bool
}

// pendingCommand is a command without an outcome.
type pendingCommand struct {
	command dispatch.Command
	session *session
	// sentAt is when the command was queued for sending. Without an outcome by
	// expiresAt it counts as unanswered: it is not executed any more, unless the call
	// has reached the endpoint.
	sentAt, expiresAt time.Time
	// via is the instance that sends the command; nil for this one.
	via *remote
	// lost is why no outcome is expected from via, which may still send the command until
	// expiresAt; nil otherwise.
	lost error
}

// remote is another instance that sends commands to endpoints for the holder.
type remote struct {
	*dispatch.Remote
	batch []dispatch.Command
	// excludedUntil is set when the instance did not respond; no commands are
	// sent through it until then.
	excludedUntil time.Time
}

func newCommands(h *Holder) *commands {
	c := h.cell
	cs := &commands{pending: map[uint64]pendingCommand{}, remotes: map[string]*remote{}}
	cs.sender = dispatch.NewExecutor(c.ctx, h.Command, h.Clock, h.Log, func(d duty.Runner) { c.start(h, d) }, func(d dispatch.Done) {
		h.post(commandDoneMessage{epoch: c.epoch, done: d})
	})
	return cs
}

// setInstances replaces the list of other instances.
func (cs *commands) setInstances(others []instances.Instance) {
	cs.instances = others
	cs.routesStale = true
}

// sendCommand queues a command for the endpoint. It returns false if too many
// calls are in flight.
func (h *Holder) sendCommand(s *session, command dispatch.Command) bool {
	cs := h.cell.commands
	cs.lastID++
	command.ID = cs.lastID
	command = command.Until(earliest(h.actUntil, h.now.Add(dispatch.SendWindow)))
	p := pendingCommand{command: command, session: s, sentAt: h.now, expiresAt: h.now.Add(command.Timeout() + remoteAllowance), via: cs.remoteFor(s)}
	if p.via != nil {
		p.via.batch = append(p.via.batch, command)
	} else if !cs.sender.Execute(command) {
		return false
	}
	cs.pending[command.ID] = p
	return true
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// remoteFor returns the instance that sends commands to the endpoint; nil for this
// one. After failures, an endpoint with a route is tried directly and through the
// route in turn.
func (cs *commands) remoteFor(s *session) *remote {
	if cs.routes == nil || s.failures%2 == 1 {
		return nil
	}
	return cs.remotes[cs.routes.For(s.id, s.domain)]
}

// flush sends the batches of the remotes. A batch that is not accepted, since the
// previous one is still in flight, is sent together with later commands.
func (cs *commands) flush(h *Holder) {
	for _, r := range cs.remotes {
		if len(r.batch) == 0 {
			continue
		}
		if r.Send(r.batch) {
			r.batch = nil
		}
	}
	cs.updateRoutes(h)
}

// updateRoutes recalculates through which instances commands are sent, if the
// instances or the endpoints have changed.
func (cs *commands) updateRoutes(h *Holder) {
	if !cs.routesStale || h.now.Sub(cs.routesChosenAt) < routesPeriod {
		return
	}
	cs.routesStale, cs.routesChosenAt = false, h.now
	cs.routes = nil
	if len(h.cell.sessions) <= h.DirectEndpoints {
		return
	}
	inDomain := map[model.DomainName]int{}
	for _, s := range h.cell.sessions {
		inDomain[s.domain]++
	}
	cs.routes = dispatch.NewRoutes(cs.eligibleInstances(h), inDomain)
	for _, address := range cs.routes.Addresses() {
		cs.ensureRemote(h, address)
	}
	h.Log.Info("commands_routed", slog.Uint64("epoch", h.cell.epoch), slog.Int("endpoints", len(h.cell.sessions)),
		slog.Any("instances", cs.routes.Addresses()))
}

// eligibleInstances returns the instances that commands may be sent through. If
// several instances of a domain do not respond, the domain is taken to be
// partitioned, as are its endpoints, and all of its instances are excluded.
func (cs *commands) eligibleInstances(h *Holder) []instances.Instance {
	excluded := map[model.DomainName]int{}
	isExcluded := func(i instances.Instance) bool {
		r := cs.remotes[i.Address]
		return r != nil && h.now.Before(r.excludedUntil)
	}
	for _, i := range cs.instances {
		if isExcluded(i) {
			excluded[i.Domain]++
		}
	}
	return slices.DeleteFunc(slices.Clone(cs.instances), func(i instances.Instance) bool {
		return isExcluded(i) || excluded[i.Domain] >= domainExclusionThreshold
	})
}

func (cs *commands) ensureRemote(h *Holder, address string) {
	if cs.remotes[address] != nil {
		return
	}
	c := h.cell
	r := &remote{Remote: dispatch.NewRemote(c.ctx, h.Peers, h.Clock, address, c.epoch, remoteSink{h: h, epoch: c.epoch})}
	cs.remotes[address] = r
	for _, d := range r.Duties() {
		c.start(h, d)
	}
}

// expire ends the commands whose outcomes are overdue, and the exclusion of
// remotes whose time has passed.
func (cs *commands) expire(h *Holder) {
	if h.now.Sub(cs.expiryCheckedAt) < expirePeriod {
		return
	}
	cs.expiryCheckedAt = h.now
	for id, p := range cs.pending {
		if !h.now.After(p.expiresAt) {
			continue
		}
		if p.lost != nil {
			delete(cs.pending, id)
			h.handleLostCommand(p, false, p.lost)
		} else {
			cs.handleOutcome(h, dispatch.Outcome{ID: id, Code: dispatch.NoResponse, Reason: "no outcome in time"})
		}
	}
	for _, r := range cs.remotes {
		if !r.excludedUntil.IsZero() && !h.now.Before(r.excludedUntil) {
			r.excludedUntil, cs.routesStale = time.Time{}, true
		}
	}
}

// handleOutcome handles the first outcome of a command and ignores later ones.
func (cs *commands) handleOutcome(h *Holder, o dispatch.Outcome) {
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
		startDelays.Record("answered", h.now.Sub(p.sentAt))
		h.handleStartOutcome(p.command.Start, o)
	case p.command.Stop != nil:
		h.handleStopOutcome(p.command.Stop, o)
	case h.cell.sessions[p.session.id] == p.session:
		h.handleRenewal(p.session, p, o)
	}
}

// handleRemoteFailure excludes an instance that did not respond and resolves the
// commands that were sent through it, but for starts that it may still send: their tasks
// must not be started elsewhere before their permissions have ended. sent reports whether
// the instance may have received the commands in ids.
func (cs *commands) handleRemoteFailure(h *Holder, r *remote, ids []uint64, sent bool, err error) {
	if !h.now.Before(r.excludedUntil) {
		h.Log.Warn("commands_failed", slog.String("instance", r.Address), slog.Int("commands", len(ids)),
			slog.Bool("sent", sent), slog.Any("error", err))
		cs.routesStale, cs.routesChosenAt = true, time.Time{}
	}
	r.excludedUntil = h.now.Add(remoteExclusion)
	notSent := map[uint64]bool{}
	for _, id := range ids {
		notSent[id] = !sent
	}
	for _, command := range r.batch {
		notSent[command.ID] = true
	}
	r.batch = nil
	for id, p := range cs.pending {
		switch {
		case p.via != r:
		case p.command.Start != nil && !notSent[id]:
			p.lost = err
			cs.pending[id] = p
		default:
			delete(cs.pending, id)
			h.handleLostCommand(p, notSent[id], err)
		}
	}
}

// handleLostCommand resolves a command whose sending instance did not respond. The
// endpoint is not counted as unresponsive for it.
func (h *Holder) handleLostCommand(p pendingCommand, notSent bool, err error) {
	switch {
	case p.command.Start != nil && notSent:
		h.cell.planner.StartRefused(p.command.Start.Run, fleet.ErrRefused)
	case p.command.Start != nil:
		h.logFailedCommand("start", p.command.Target(), p.command.Start.Run, err)
		h.cell.cancels.giveUp(p.command.Start.Run, h.now)
		h.cell.planner.StartSettled(p.command.Start.Run)
		h.cell.planner.OutcomeUnknown(p.command.Start.Run)
	case p.command.Stop != nil:
		h.scheduleStopRetry(p.command.Stop.Run)
	default:
		p.session.renewing = false
	}
}

// commandDoneMessage reports the outcome of a command that this instance sent.
type commandDoneMessage struct {
	epoch uint64
	done  dispatch.Done
}

func (m commandDoneMessage) apply(h *Holder) {
	if h.cell == nil || h.cell.epoch != m.epoch {
		return
	}
	h.cell.commands.sender.Release(m.done)
	h.cell.commands.handleOutcome(h, m.done.Outcome)
}

// remoteSink posts the results of remotes to the deciding duty.
type remoteSink struct {
	h     *Holder
	epoch uint64
}

// Collected implements dispatch.Sink.
func (s remoteSink) Collected(_ *dispatch.Remote, outcomes []dispatch.Outcome) {
	s.h.post(outcomesMessage{epoch: s.epoch, outcomes: outcomes})
}

// Failed implements dispatch.Sink.
func (s remoteSink) Failed(r *dispatch.Remote, ids []uint64, sent bool, err error) {
	s.h.post(remoteFailedMessage{epoch: s.epoch, address: r.Address, commands: ids, sent: sent, err: err})
}

// outcomesMessage reports the outcomes of commands that another instance sent.
type outcomesMessage struct {
	epoch    uint64
	outcomes []dispatch.Outcome
}

func (m outcomesMessage) apply(h *Holder) {
	for _, o := range m.outcomes {
		if h.cell == nil || h.cell.epoch != m.epoch {
			return
		}
		h.cell.commands.handleOutcome(h, o)
	}
}

// remoteFailedMessage reports that another instance did not respond.
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
		h.cell.commands.handleRemoteFailure(h, r, m.commands, m.sent, m.err)
	}
}
