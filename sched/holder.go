package sched

import (
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// shardChart is the state chart of a shard in one process, with its events and
// state sets.
type shardChart struct {
	machine *chart.Machine[Shard]

	held            chart.Event
	lost            chart.Event
	replayed        chart.Event
	allFenced       chart.Event
	majorityFenced  chart.Event
	waitOver        chart.Event
	drain           chart.Event
	drained         chart.Event
	resigned        chart.Event
	successorFound  chart.Event
	redirectTimeout chart.Event

	idle      chart.StateSet
	holding   chart.StateSet
	replaying chart.StateSet
	// adopting has the states in which the endpoints are being fenced.
	adopting chart.StateSet
	// acceptingCalls has the states in which calls are accepted.
	acceptingCalls chart.StateSet
	serving        chart.StateSet
	draining       chart.StateSet
	// applyingReplies has the states in which the endpoints' replies are
	// applied.
	applyingReplies chart.StateSet
	// leaving has the states in which callers wait for the successor.
	leaving chart.StateSet
	// resigning has the states in which the lease row has been or is being
	// released and the successor is awaited.
	resigning chart.StateSet
	gone      chart.StateSet
}

func newShardChart() *shardChart {
	m := chart.MustBind(charts.MustLoad("shard"), chart.Guards[Shard]{}, chart.Actions[Shard]{
		"begin_epoch":       (*Shard).beginEpoch,
		"load":              (*Shard).load,
		"begin_wait":        (*Shard).beginWait,
		"hand_over_all":     (*Shard).handOverAll,
		"step_down":         (*Shard).stepDown,
		"step_down_planned": (*Shard).stepDownPlanned,
		"resign":            func(s *Shard) { s.ports.Resign() },
		"redirect_waiters":  (*Shard).redirectWaiters,
	})
	return &shardChart{
		machine:         m,
		held:            m.MustEvent("held"),
		lost:            m.MustEvent("lost"),
		replayed:        m.MustEvent("replayed"),
		allFenced:       m.MustEvent("all_fenced"),
		majorityFenced:  m.MustEvent("majority_fenced"),
		waitOver:        m.MustEvent("wait_over"),
		drain:           m.MustEvent("drain"),
		drained:         m.MustEvent("drained"),
		resigned:        m.MustEvent("resigned"),
		successorFound:  m.MustEvent("successor_found"),
		redirectTimeout: m.MustEvent("redirect_timeout"),
		idle:            m.MustSet("idle"),
		holding:         m.MustSet("holding"),
		replaying:       m.MustSet("replaying"),
		adopting:        m.MustSet("adopting", "waiting"),
		acceptingCalls:  m.MustSet("adopting", "waiting", "serving"),
		serving:         m.MustSet("serving"),
		draining:        m.MustSet("draining"),
		applyingReplies: m.MustSet("serving", "draining"),
		leaving:         m.MustSet("draining", "leaving", "left", "gone"),
		resigning:       m.MustSet("leaving", "left"),
		gone:            m.MustSet("gone"),
	}
}

// fire sends the event to the shard's chart and logs a change of state.
func (s *Shard) fire(event chart.Event) {
	if s.chart.machine.Fire(&s.state, event, s) {
		s.logInfo("shard_state", slog.String("state", s.chart.machine.Name(s.state)))
	}
}

func (m leaseHeld) deliver(s *Shard) {
	s.acquired = m
	s.fire(s.chart.held)
}

func (m leaseRenewed) deliver(s *Shard) {
	if s.holding() {
		s.proof.SetTableLease(m.until)
	}
}

func (leaseLost) deliver(s *Shard) { s.fire(s.chart.lost) }

func (m journalFenced) deliver(s *Shard) {
	if m.epoch == s.epoch {
		s.fire(s.chart.lost)
	}
}

func (leaseReleased) deliver(s *Shard) { s.fire(s.chart.resigned) }

func (m leaseObserved) deliver(s *Shard) {
	if m.holder.Holder == s.self {
		return
	}
	s.successor = m.holder
	s.fire(s.chart.successorFound)
}

func (m journalReplayed) deliver(s *Shard) {
	if m.epoch != s.epoch {
		return
	}
	s.image = m.image
	s.fire(s.chart.replayed)
}

func (m drain) deliver(s *Shard) {
	s.drainDone = m.done
	s.drainUntil = s.now.Add(s.settings.DrainTimeout)
	s.redirectUntil = s.drainUntil.Add(s.settings.RedirectWait)
	s.fire(s.chart.drain)
}

// beginEpoch initializes the state of an epoch that this process has acquired
// at the table.
func (s *Shard) beginEpoch() {
	takeovers.Add(1)
	s.epoch = s.acquired.epoch
	s.proof = shard.NewProof(s.settings.StartLease)
	s.proof.SetTableLease(s.acquired.until)
	s.policy = s.newScheduler()
	s.records = map[model.RequestID]*record{}
	s.active = map[model.RequestID]*record{}
	s.attempts = map[model.AttemptID]*attempt{}
	s.sessions = map[model.EndpointID]*session{}
	s.storeUp = true
	s.delegating = map[model.ShardID]bool{}
	s.waitUntil = time.Time{}
	s.standingsAt = time.Time{}
	s.successor = shard.LeaseRow{}
	if s.config != nil {
		s.policy.SetConfig(s.now, s.config)
	}
	s.policy.SetFleet(s.fleet())
	s.ports.Journal(shardjournal.Open{Epoch: s.epoch})
}

// load restores the requests and members from the journal's image and starts
// the sessions in which the endpoints are adopted.
func (s *Shard) load() {
	for _, persisted := range s.image.Records {
		s.restore(persisted)
	}
	s.members = s.image.Members
	s.image = nil
	s.proof.SetMembers(ids(s.members), nil)
	s.policy.SetFleet(s.fleet())
	for _, info := range s.members {
		s.newSession(info)
	}
	s.applyInstanceList()
}

// restore creates the record of a request that a previous holder accepted.
func (s *Shard) restore(persisted *shardjournal.Record) {
	r := s.newRecord(persisted.Request)
	r.fromPreviousHolder = true
	// Starts of repeatable work are not journaled, so it is unknown whether
	// the previous holder sent one.
	r.mayHaveRun = !r.request.Spec.NotRepeatable
	r.parts = persisted.Parts
	r.inherited.intents = persisted.Intents
	if persisted.Answered == nil && persisted.Moved != nil {
		r.movedTo = *persisted.Moved
		r.fire(s.requestChart.adoptedElsewhere)
		return
	}
	if persisted.Answered == nil {
		r.fire(s.requestChart.adopted)
		return
	}
	r.answer = &persisted.Answered.Answer
	r.answeredAt = persisted.Answered.At
	r.published = true
	r.fire(s.requestChart.adoptedAnswer)
	delete(s.active, r.request.ID)
}

// beginWait sets the time by which nothing that the previous holder could still
// start or renew can run at endpoints that do not respond.
func (s *Shard) beginWait() {
	s.waitUntil = s.now.Add(s.settings.StartLease + s.settings.Fresh + s.settings.TaskLease + s.settings.LeaseMargin)
}

// stepDown discards the epoch's state and redirects callers to the new holder.
func (s *Shard) stepDown() {
	shardsLost.Add(1)
	s.collectWaiters()
	s.discardEpoch()
	s.redirectWaiters()
}

// stepDownPlanned discards the epoch's state; callers wait for the successor's
// address.
func (s *Shard) stepDownPlanned() {
	s.collectWaiters()
	s.discardEpoch()
}

// collectWaiters moves every caller that waits for an answer to the list of
// callers to redirect.
func (s *Shard) collectWaiters() {
	for _, r := range s.active {
		s.redirected = append(s.redirected, r.submitters...)
		s.redirected = append(s.redirected, r.waiters...)
		r.submitters, r.waiters = nil, nil
	}
	for _, d := range s.deferred {
		s.redirected = append(s.redirected, d.caller)
	}
	s.deferred = nil
}

func (s *Shard) discardEpoch() {
	s.ports.Journal(shardjournal.Close{})
	s.ports.Parts(stopServing{})
	s.records, s.active, s.attempts, s.sessions = nil, nil, nil, nil
	s.policy, s.proof, s.image = nil, nil, nil
	s.members, s.proposed = nil, nil
	s.unsent, s.pendingEntries, s.endings = nil, nil, nil
	s.appended, s.durable = 0, 0
	s.wakeAt, s.dirty = time.Time{}, false
	s.plan = policy.Plan{}
}

// redirectWaiters replies to the collected callers with the holder's address,
// and completes the drain when the shard has been handed over.
func (s *Shard) redirectWaiters() {
	for _, c := range s.redirected {
		s.waitingCallers--
		c.send(s.notHolder())
	}
	s.redirected = nil
	if s.chart.gone.Has(s.state) && s.drainDone != nil {
		close(s.drainDone)
		s.drainDone = nil
	}
}
