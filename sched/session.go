package sched

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// failuresUntilSilent is the number of consecutive failed Syncs after which
	// an endpoint is only probed, so that the leases of its tasks lapse.
	failuresUntilSilent = 3
	// reportPeriod is the time between two full reports of what runs at an
	// endpoint.
	reportPeriod = 2 * time.Second
	// baseBackoff is doubled with each failed Sync; it is also the delay after
	// a withheld one.
	baseBackoff = 50 * time.Millisecond
)

// session is the holder's view of one endpoint. Its life cycle is the chart
// session. At most one Sync is in flight.
type session struct {
	shard *Shard
	info  model.EndpointInfo
	state chart.State
	// fenced is set when the endpoint has accepted the epoch.
	fenced bool
	// listed is set while the instance list has the endpoint.
	listed bool
	// absentSince is when the endpoint was first missing from the list; zero
	// while it is on the list.
	absentSince time.Time
	inflight    bool
	nextSyncAt  time.Time
	failures    int
	// leasesUntil is the latest time at which a lease of a task there ends, one
	// of the previous holder included.
	leasesUntil time.Time
	// adoption is the reply to the first Sync under this epoch, last the newest
	// reply. full is set when last lists all running attempts.
	adoption endpoint.SyncReply
	last     endpoint.SyncReply
	full     bool
	// repliedAt is the local time at which the newest reply was received.
	repliedAt time.Time
	// reportAt is when the next full report is requested.
	reportAt time.Time

	attempts map[model.AttemptID]*attempt
	starts   []*attempt
	commands []endpoint.Order
	acks     []model.AttemptID
}

// sessionChart is the state chart of a session, with its events and state sets.
type sessionChart struct {
	machine *chart.Machine[session]

	replied  chart.Event
	failed   chart.Event
	rejected chart.Event
	removed  chart.Event
	lapse    chart.Event

	// unadopted has the states in which a Sync adopts the endpoint.
	unadopted chart.StateSet
	// placeable has the states in which work may be started.
	placeable chart.StateSet
	// probed has the states in which a Sync renews nothing.
	probed chart.StateSet
	// failing has the states of endpoints that may not respond.
	failing chart.StateSet
	lapsed  chart.StateSet
	// noAttempts has the states in which no attempt of this holder runs at the
	// endpoint.
	noAttempts chart.StateSet
}

func newSessionChart() *sessionChart {
	m := chart.MustBind(charts.MustLoad("session"), chart.Guards[session]{
		"failure_limit_reached": func(se *session) bool { return se.failures >= failuresUntilSilent },
	}, chart.Actions[session]{
		"handle_adoption": (*session).handleAdoption,
		"replied":         (*session).handleReply,
		"set_reachable":   func(se *session) { se.setReachable(true) },
		"set_unreachable": func(se *session) { se.setReachable(false) },
		"back_off":        (*session).backOff,
		"mark_lapsed":     (*session).markLapsed,
	})
	return &sessionChart{
		machine:    m,
		replied:    m.MustEvent("replied"),
		failed:     m.MustEvent("failed"),
		rejected:   m.MustEvent("rejected"),
		removed:    m.MustEvent("removed"),
		lapse:      m.MustEvent("lapse"),
		unadopted:  m.MustSet("unadopted"),
		placeable:  m.MustSet("synced"),
		probed:     m.MustSet("silent", "lapsed"),
		failing:    m.MustSet("suspect", "silent", "lapsed"),
		lapsed:     m.MustSet("lapsed"),
		noAttempts: m.MustSet("unadopted", "lapsed"),
	}
}

// newSession registers a session with an endpoint; its first Sync is due
// immediately.
func (s *Shard) newSession(info model.EndpointInfo) *session {
	se := &session{shard: s, info: info, nextSyncAt: s.now, attempts: map[model.AttemptID]*attempt{}}
	s.sessionChart.machine.Start(&se.state, se)
	s.sessions[info.ID] = se
	return se
}

func (se *session) fire(event chart.Event) {
	se.shard.sessionChart.machine.Fire(&se.state, event, se)
}

// enqueueStart queues a start for the next Sync and makes that Sync due.
func (se *session) enqueueStart(a *attempt) {
	se.starts = append(se.starts, a)
	se.dueNow()
}

// enqueueCommand queues a command for the next Sync and makes that Sync due; a
// command that is already queued is ignored.
func (se *session) enqueueCommand(o endpoint.Order) {
	if slices.Contains(se.commands, o) {
		return
	}
	se.commands = append(se.commands, o)
	se.dueNow()
}

// acknowledge lets the endpoint discard an ended attempt with the next Sync.
func (se *session) acknowledge(id model.AttemptID) {
	if !slices.Contains(se.acks, id) {
		se.acks = append(se.acks, id)
	}
}

// dueNow makes the next Sync due, unless the last one failed.
func (se *session) dueNow() {
	if se.failures == 0 && se.nextSyncAt.After(se.shard.now) {
		se.nextSyncAt = se.shard.now
	}
}

// removeAttempt removes an attempt from the session, and its start from the
// queue.
func (se *session) removeAttempt(a *attempt) {
	delete(se.attempts, a.start.Attempt)
	se.removeStart(a)
}

// removeStart removes a start from those that wait to be sent.
func (se *session) removeStart(a *attempt) {
	se.starts = slices.DeleteFunc(se.starts, func(other *attempt) bool { return other == a })
}

// update applies the endpoint's entry in the instance list. An endpoint that is
// leaving stays so.
func (se *session) update(info model.EndpointInfo) {
	leaving := se.info.Leaving
	changed := info != se.info
	se.info = info
	se.info.Leaving = info.Leaving || leaving
	if changed {
		se.addToScheduler()
	}
}

// updateAbsence records since when the endpoint is missing from the instance
// list.
func (se *session) updateAbsence() {
	if se.listed || !se.shard.listReceived {
		se.absentSince = time.Time{}
		return
	}
	if se.absentSince.IsZero() {
		se.absentSince = se.shard.now
	}
}

// absent reports whether the endpoint has been missing from the instance list
// for longer than absentGrace, so that the platform has removed its instance.
func (se *session) absent() bool {
	return !se.absentSince.IsZero() && se.shard.now.Sub(se.absentSince) > absentGrace
}

// addInherited makes an endpoint whose leases lapsed after its adoption known to
// the scheduler again, so that the ends that it listed count.
func (se *session) addInherited() {
	s := se.shard
	if !se.fenced || !s.sessionChart.lapsed.Has(se.state) {
		return
	}
	s.policy.SetEndpoint(s.now, se.info)
	s.policy.SetReachable(s.now, se.info.ID, false)
}

// addToScheduler lets the scheduler use the endpoint once it is a durable
// member of the shard.
func (se *session) addToScheduler() {
	s := se.shard
	if !s.sessionChart.placeable.Has(se.state) || !s.isMember(se.info.ID) {
		return
	}
	s.policy.SetEndpoint(s.now, se.info)
	s.policy.SetReachable(s.now, se.info.ID, true)
	s.dirty = true
}

func (se *session) setReachable(reachable bool) {
	se.shard.policy.SetReachable(se.shard.now, se.info.ID, reachable)
	se.shard.dirty = true
}

func (se *session) backOff() {
	se.failures++
	se.reportAt = se.shard.now
	wait := min(baseBackoff<<min(se.failures, 10), se.shard.settings.MaxBackoff)
	se.nextSyncAt = se.shard.now.Add(wait)
}

// markLapsed ends the endpoint's attempts and removes it from the scheduler: no
// attempt of this holder can run there any more.
func (se *session) markLapsed() {
	s := se.shard
	endpointsLapsed.Add(1)
	s.logInfo("endpoint_lapsed", endpointAttr(se.info.ID))
	for _, a := range se.attempts {
		s.lapseAttempt(a)
	}
	s.policy.RemoveEndpoint(s.now, se.info.ID)
	se.commands, se.acks = nil, nil
	s.dirty = true
}

// lapseIfExpired fires lapse when all leases at an endpoint have expired; the
// chart ignores it while the endpoint is synced.
func (se *session) lapseIfExpired() {
	s := se.shard
	expired := s.now.After(se.leasesUntil.Add(s.settings.LeaseMargin))
	if se.inflight || !expired || len(se.attempts) == 0 && se.leasesUntil.IsZero() {
		return
	}
	se.fire(s.sessionChart.lapse)
}
