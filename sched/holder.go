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

// holderChart is the chart of a shard in one process, with its events and
// state sets.
type holderChart struct {
	machine *chart.Machine[Shard]

	held           chart.Event
	lost           chart.Event
	replayed       chart.Event
	allFenced      chart.Event
	majorityFenced chart.Event
	waited         chart.Event
	drain          chart.Event
	quiet          chart.Event
	resigned       chart.Event
	successor      chart.Event
	stop           chart.Event

	idle      chart.StateSet
	holding   chart.StateSet
	replaying chart.StateSet
	// adopting are the states in which the endpoints are being fenced.
	adopting chart.StateSet
	// taking are the states that take calls.
	taking   chart.StateSet
	serving  chart.StateSet
	draining chart.StateSet
	// settling are the states that take the endpoints' news.
	settling chart.StateSet
	// leaving are the states in which callers wait for the successor.
	leaving chart.StateSet
	left    chart.StateSet
	gone    chart.StateSet
}

func newHolderChart() *holderChart {
	m := chart.MustBind(charts.MustLoad("shard"), chart.Guards[Shard]{}, chart.Actions[Shard]{
		"begin_epoch":      (*Shard).beginEpoch,
		"load":             (*Shard).load,
		"begin_wait":       (*Shard).beginWait,
		"hand_over_all":    (*Shard).handOverAll,
		"step_down":        (*Shard).stepDown,
		"step_down_warm":   (*Shard).stepDownWarm,
		"resign":           func(s *Shard) { s.ports.Resign() },
		"redirect_waiters": (*Shard).redirectWaiters,
	})
	return &holderChart{
		machine:        m,
		held:           m.MustEvent("held"),
		lost:           m.MustEvent("lost"),
		replayed:       m.MustEvent("replayed"),
		allFenced:      m.MustEvent("all_fenced"),
		majorityFenced: m.MustEvent("majority_fenced"),
		waited:         m.MustEvent("waited"),
		drain:          m.MustEvent("drain"),
		quiet:          m.MustEvent("quiet"),
		resigned:       m.MustEvent("resigned"),
		successor:      m.MustEvent("successor"),
		stop:           m.MustEvent("stop"),
		idle:           m.MustSet("idle"),
		holding:        m.MustSet("holding"),
		replaying:      m.MustSet("replaying"),
		adopting:       m.MustSet("adopting", "waiting"),
		taking:         m.MustSet("adopting", "waiting", "serving"),
		serving:        m.MustSet("serving"),
		draining:       m.MustSet("draining"),
		settling:       m.MustSet("serving", "draining"),
		leaving:        m.MustSet("draining", "leaving", "left", "gone"),
		left:           m.MustSet("leaving", "left"),
		gone:           m.MustSet("gone"),
	}
}

// fire hands the event to the shard's chart.
func (s *Shard) fire(event chart.Event) {
	if s.chart.machine.Fire(&s.state, event, s) {
		s.logInfo("shard_state", slog.String("state", s.chart.machine.Name(s.state)))
	}
}

func (m held) deliver(s *Shard) {
	s.incoming = m
	s.fire(s.chart.held)
}

func (m renewed) deliver(s *Shard) {
	if s.holding() {
		s.proof.Table(m.until)
	}
}

func (lost) deliver(s *Shard) { s.fire(s.chart.lost) }

func (m fenced) deliver(s *Shard) {
	if m.epoch == s.epoch {
		s.fire(s.chart.lost)
	}
}

func (resigned) deliver(s *Shard) { s.fire(s.chart.resigned) }

func (m seen) deliver(s *Shard) {
	if m.holder.Holder == s.self {
		return
	}
	s.successor = m.holder
	s.fire(s.chart.successor)
}

func (m replayed) deliver(s *Shard) {
	if m.epoch != s.epoch {
		return
	}
	s.image = m.image
	s.fire(s.chart.replayed)
}

func (m drain) deliver(s *Shard) {
	s.gone = m.gone
	s.drainUntil = s.now.Add(s.settings.DrainTimeout)
	s.redirectUntil = s.drainUntil.Add(s.settings.RedirectWait)
	s.fire(s.chart.drain)
}

// beginEpoch starts an epoch that this process has taken at the table.
func (s *Shard) beginEpoch() {
	takeovers.Add(1)
	s.epoch = s.incoming.epoch
	s.proof = shard.NewProof(s.settings.StartLease)
	s.proof.Table(s.incoming.until)
	s.policy = s.newScheduler()
	s.records = map[model.RequestID]*record{}
	s.active = map[model.RequestID]*record{}
	s.attempts = map[model.AttemptID]*attempt{}
	s.sessions = map[model.EndpointID]*session{}
	s.storeUp = true
	s.asking = map[model.ShardID]bool{}
	s.waitUntil = time.Time{}
	s.standAt = time.Time{}
	s.successor = shard.LeaseRow{}
	if s.config != nil {
		s.policy.SetConfig(s.now, s.config)
	}
	s.policy.SetFleet(s.fleetKnown())
	s.ports.Journal(shardjournal.Open{Epoch: s.epoch})
}

// load takes what the journal remembers and begins to adopt the endpoints.
func (s *Shard) load() {
	for _, remembered := range s.image.Records {
		s.restore(remembered)
	}
	s.members = s.image.Members
	s.image = nil
	s.proof.SetMembers(ids(s.members), nil)
	s.policy.SetFleet(s.fleetKnown())
	for _, info := range s.members {
		s.newSession(info)
	}
	s.takeList()
}

// restore makes the record of a request that a former holder accepted.
func (s *Shard) restore(remembered *shardjournal.Record) {
	r := s.newRecord(remembered.Request)
	r.former = true
	// A start of work that may run again is not on record, so that nobody
	// knows whether the former holder had tried.
	r.uncertain = !r.request.Spec.NotRepeatable
	r.parts = remembered.Parts
	r.inherited.intents = remembered.Intents
	if remembered.Answered == nil && remembered.Moved != nil {
		r.movedTo = *remembered.Moved
		r.fire(s.recordChart.adoptedElsewhere)
		return
	}
	if remembered.Answered == nil {
		r.fire(s.recordChart.adopted)
		return
	}
	r.answer = &remembered.Answered.Answer
	r.answeredAt = remembered.Answered.At
	r.told = true
	r.fire(s.recordChart.adoptedAnswer)
	delete(s.active, r.request.ID)
}

// beginWait waits out what the former holder could still start or keep alive
// at endpoints that do not answer.
func (s *Shard) beginWait() {
	s.waitUntil = s.now.Add(s.settings.StartLease + s.settings.Fresh + s.settings.TaskLease + s.settings.LeaseMargin)
}

// stepDown forgets the epoch; callers are sent to the new holder.
func (s *Shard) stepDown() {
	shardsLost.Add(1)
	s.redirectAll()
	s.forgetEpoch()
	s.redirectWaiters()
}

// stepDownWarm forgets the epoch; callers wait for the successor's address.
func (s *Shard) stepDownWarm() {
	s.redirectAll()
	s.forgetEpoch()
}

// redirectAll gathers every caller that waits for an answer.
func (s *Shard) redirectAll() {
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

func (s *Shard) forgetEpoch() {
	s.ports.Journal(shardjournal.Close{})
	s.ports.Parts(stopServing{})
	s.records, s.active, s.attempts, s.sessions = nil, nil, nil, nil
	s.policy, s.proof, s.image = nil, nil, nil
	s.members, s.proposed = nil, nil
	s.unsent, s.onRecord, s.endings = nil, nil, nil
	s.appended, s.durable = 0, 0
	s.wake, s.dirty = time.Time{}, false
	s.plan = policy.Plan{}
}

// redirectWaiters tells the gathered callers whom to ask.
func (s *Shard) redirectWaiters() {
	for _, c := range s.redirected {
		s.callers--
		c.send(s.notHolder())
	}
	s.redirected = nil
	if s.chart.gone.Has(s.state) && s.gone != nil {
		close(s.gone)
		s.gone = nil
	}
}
