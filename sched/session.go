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
	// triesUntilSilent is the number of failed Syncs after which an endpoint
	// is only probed, so that the leases of its tasks end.
	triesUntilSilent = 3
	// reportPeriod is the time between two reports of all that runs at an
	// endpoint.
	reportPeriod = 2 * time.Second
	// firstBackoff is the time to the next try after a failed Sync.
	firstBackoff = 50 * time.Millisecond
)

// session is the holder's view of one endpoint. Its life cycle is the chart
// session. At most one Sync is under way.
type session struct {
	shard *Shard
	info  model.EndpointInfo
	state chart.State
	// fenced says that the endpoint has accepted the epoch.
	fenced bool
	// onList says that the instance list names the endpoint.
	onList bool
	// absentSince is when the list was first seen without the endpoint; zero
	// while it is on the list.
	absentSince time.Time
	inflight    bool
	due         time.Time
	failures    int
	// leasesUntil is when the leases of all tasks there end at the latest.
	leasesUntil time.Time
	// adoption is the reply to the first Sync under this epoch; last is the
	// newest, and whole says that it names all that runs.
	adoption endpoint.SyncReply
	last     endpoint.SyncReply
	whole    bool
	// stampedAt is the local time at which the newest reply came.
	stampedAt time.Time
	// reportAt is when the endpoint is asked again for all that runs.
	reportAt time.Time

	attempts map[model.AttemptID]*attempt
	starts   []*attempt
	orders   []endpoint.Order
	acks     []model.AttemptID
}

// sessionChart is the chart of a session with its events and state sets.
type sessionChart struct {
	machine *chart.Machine[session]

	answered chart.Event
	failed   chart.Event
	rejected chart.Event
	removed  chart.Event
	lapse    chart.Event

	// unadopted are the states in which a Sync adopts the endpoint.
	unadopted chart.StateSet
	// placeable are the states in which work may be started.
	placeable chart.StateSet
	// probed are the states in which a Sync renews nothing.
	probed chart.StateSet
	// failing are the states of endpoints that may not answer.
	failing chart.StateSet
	// dead are the states in which nothing of this holder runs there.
	dead chart.StateSet
}

func newSessionChart() *sessionChart {
	m := chart.MustBind(charts.MustLoad("session"), chart.Guards[session]{
		"tried_enough": func(se *session) bool { return se.failures >= triesUntilSilent },
	}, chart.Actions[session]{
		"adopted":     (*session).adopted,
		"answered":    (*session).news,
		"reachable":   func(se *session) { se.setReachable(true) },
		"unreachable": func(se *session) { se.setReachable(false) },
		"back_off":    (*session).backOff,
		"give_up":     (*session).giveUp,
	})
	return &sessionChart{
		machine:   m,
		answered:  m.MustEvent("answered"),
		failed:    m.MustEvent("failed"),
		rejected:  m.MustEvent("rejected"),
		removed:   m.MustEvent("removed"),
		lapse:     m.MustEvent("lapse"),
		unadopted: m.MustSet("unknown"),
		placeable: m.MustSet("synced"),
		probed:    m.MustSet("silent", "lapsed"),
		failing:   m.MustSet("suspect", "silent", "lapsed"),
		dead:      m.MustSet("unknown", "lapsed"),
	}
}

// newSession starts to talk to an endpoint.
func (s *Shard) newSession(info model.EndpointInfo) *session {
	se := &session{shard: s, info: info, due: s.now, attempts: map[model.AttemptID]*attempt{}}
	s.sessionChart.machine.Start(&se.state, se)
	s.sessions[info.ID] = se
	return se
}

func (se *session) fire(event chart.Event) {
	se.shard.sessionChart.machine.Fire(&se.state, event, se)
}

// enqueue puts a start on its way.
func (se *session) enqueue(a *attempt) {
	se.starts = append(se.starts, a)
	se.dueNow()
}

func (se *session) order(o endpoint.Order) {
	if slices.Contains(se.orders, o) {
		return
	}
	se.orders = append(se.orders, o)
	se.dueNow()
}

// acknowledge lets the endpoint forget an attempt, with its next Sync.
func (se *session) acknowledge(id model.AttemptID) {
	if !slices.Contains(se.acks, id) {
		se.acks = append(se.acks, id)
	}
}

// dueNow makes the next Sync due, unless the endpoint does not answer.
func (se *session) dueNow() {
	if se.failures == 0 && se.due.After(se.shard.now) {
		se.due = se.shard.now
	}
}

// forget drops an attempt from the session.
func (se *session) forget(a *attempt) {
	delete(se.attempts, a.start.Attempt)
	se.unqueue(a)
}

// unqueue takes a start out of those that wait to be sent.
func (se *session) unqueue(a *attempt) {
	se.starts = slices.DeleteFunc(se.starts, func(other *attempt) bool { return other == a })
}

// update takes what the instance list says of the endpoint.
func (se *session) update(info model.EndpointInfo) {
	leaving := se.info.Leaving
	changed := info != se.info
	se.info = info
	se.info.Leaving = info.Leaving || leaving
	if changed {
		se.place()
	}
}

// noteAbsence notes since when the instance list leaves the endpoint out.
func (se *session) noteAbsence() {
	if se.onList || !se.shard.listKnown {
		se.absentSince = time.Time{}
		return
	}
	if se.absentSince.IsZero() {
		se.absentSince = se.shard.now
	}
}

// gone reports whether the platform has taken the endpoint's instance away.
func (se *session) gone() bool {
	return !se.absentSince.IsZero() && se.shard.now.Sub(se.absentSince) > absentGrace
}

// place lets the scheduler use the endpoint once the shard's record names it.
func (se *session) place() {
	s := se.shard
	if !s.sessionChart.placeable.Has(se.state) || !s.isMember(se.info.ID) {
		return
	}
	s.policy.SetEndpoint(s.now, se.info)
	s.policy.Reachable(s.now, se.info.ID, true)
	s.dirty = true
}

func (se *session) setReachable(reachable bool) {
	se.shard.policy.Reachable(se.shard.now, se.info.ID, reachable)
	se.shard.dirty = true
}

func (se *session) backOff() {
	se.failures++
	se.reportAt = se.shard.now
	wait := min(firstBackoff<<min(se.failures, 10), se.shard.settings.MaxBackoff)
	se.due = se.shard.now.Add(wait)
}

// giveUp says that nothing of this holder runs at the endpoint any more.
func (se *session) giveUp() {
	s := se.shard
	lapsed.Add(1)
	s.logInfo("endpoint_lapsed", endpointAttr(se.info.ID))
	for _, a := range se.attempts {
		s.loseAttempt(a)
	}
	s.policy.RemoveEndpoint(s.now, se.info.ID)
	se.orders, se.acks = nil, nil
	s.dirty = true
}

// lapseIfOver notices that the leases at an endpoint that does not answer have
// ended.
func (se *session) lapseIfOver() {
	s := se.shard
	over := s.now.After(se.leasesUntil.Add(s.settings.LeaseMargin))
	if se.inflight || !over || len(se.attempts) == 0 && se.leasesUntil.IsZero() {
		return
	}
	se.fire(s.sessionChart.lapse)
}
