package sched

import (
	"expvar"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

const (
	// sweepPeriod is the time between two sweeps over all open requests.
	sweepPeriod = 100 * time.Millisecond
	// prunePeriod is the time between two removals of expired answers.
	prunePeriod = 10 * time.Second
)

var (
	submissions     = expvar.NewInt("sched_submissions")
	answersDurable  = expvar.NewInt("sched_answers_durable")
	startsSent      = expvar.NewInt("sched_starts_sent")
	startsAmbiguous = expvar.NewInt("sched_starts_unsure")
	syncsFailed     = expvar.NewInt("sched_syncs_failed")
	syncsWithheld   = expvar.NewInt("sched_syncs_withheld")
	takeovers       = expvar.NewInt("sched_takeovers")
	shardsLost      = expvar.NewInt("sched_shards_lost")
	endpointsLapsed = expvar.NewInt("sched_endpoints_lapsed")
)

// Ports are the rings that the shard duty writes to. None of them blocks: each
// reports false when its ring is full, and the shard duty retries.
type Ports struct {
	// Journal posts entries to the journal duty.
	Journal func(shardjournal.Message) bool
	// Resign requests the lease duty to release the shard.
	Resign func() bool
	// Parts posts the teams' standings to the parts duty.
	Parts func(partsMessage) bool
	// Delegate queries another shard about requests that were moved there.
	Delegate func(delegateJob) bool
	// Sync has one entry per sync worker, numbered from 0.
	Sync []func(syncJob) bool
}

// Shard is the handler of the shard duty. All its state belongs to that duty.
type Shard struct {
	id           model.ShardID
	self         model.InstanceID
	settings     Settings
	clock        clock.Clock
	log          *logging.Logger
	newScheduler func() policy.Scheduler
	ports        Ports
	waitTimes    *waitHistograms

	chart        *shardChart
	state        chart.State
	requestChart *requestChart
	sessionChart *sessionChart

	now          time.Time
	acquired     leaseHeld
	listReceived bool
	config       *model.Config
	homes        *routing.Homes
	domainList   []model.EndpointInfo
	fleetList    []model.EndpointInfo
	successor    shard.LeaseRow

	// The fields below belong to the current epoch.
	epoch          model.Epoch
	proof          *shard.Proof
	policy         policy.Scheduler
	records        map[model.RequestID]*record
	active         map[model.RequestID]*record
	attempts       map[model.AttemptID]*attempt
	sessions       map[model.EndpointID]*session
	image          *shardjournal.Image
	members        []model.EndpointInfo
	proposed       []model.EndpointInfo
	appended       uint64
	durable        uint64
	unsent         []shardjournal.Append
	pendingEntries []pendingEntry
	storeUp        bool
	// delegating has the shards with a Delegate call in flight.
	delegating  map[model.ShardID]bool
	endings     []policy.Ending
	plan        policy.Plan
	wakeAt      time.Time
	dirty       bool
	waitUntil   time.Time
	standingsAt time.Time
	workerSyncs []int

	// deferred has the calls that wait until the shard can serve them,
	// redirected those that wait for the successor's address.
	deferred       []deferredCall
	redirected     []caller
	waitingCallers int
	drainDone      chan<- struct{}
	// drainUntil and redirectUntil bound the hand-over and the wait for the
	// successor.
	drainUntil    time.Time
	redirectUntil time.Time
	sweepAt       time.Time
	pruneAt       time.Time
}

// deferredCall is a call that is delivered again later.
type deferredCall struct {
	message Message
	caller  caller
}

// NewShard returns the handler of a process that does not hold the shard yet.
// newScheduler returns the scheduling policy for one epoch.
func NewShard(id model.ShardID, self model.InstanceID, settings Settings, source clock.Clock, log *logging.Logger, newScheduler func() policy.Scheduler, ports Ports) *Shard {
	s := &Shard{
		id:           id,
		self:         self,
		settings:     settings,
		clock:        source,
		log:          log,
		newScheduler: newScheduler,
		ports:        ports,
		waitTimes:    newWaitHistograms(),
		chart:        newShardChart(),
		requestChart: newRequestChart(),
		sessionChart: newSessionChart(),
		workerSyncs:  make([]int, len(ports.Sync)),
	}
	s.chart.machine.Start(&s.state, s)
	return s
}

// Handle applies the messages, requests a plan if one is due, and sends journal
// entries and Syncs.
func (s *Shard) Handle(batch []Message) time.Duration {
	s.now = s.clock.Now()
	for _, m := range batch {
		m.deliver(s)
		s.processEndings()
	}
	if s.now.After(s.sweepAt) {
		s.sweepAt = s.now.Add(sweepPeriod)
		s.sweep()
		s.relocate()
		s.queryMoved()
	}
	if s.now.After(s.pruneAt) {
		s.pruneAt = s.now.Add(prunePeriod)
		s.prune()
	}
	s.advance()
	s.retryDeferred()
	s.sendStandingsIfDue()
	s.decide()
	s.flush()
	s.dispatch()
	return s.wait()
}

// wait returns the time until something is due without a message.
func (s *Shard) wait() time.Duration {
	next := s.now.Add(sweepPeriod)
	if !s.wakeAt.IsZero() && s.wakeAt.Before(next) {
		next = s.wakeAt
	}
	for _, session := range s.sessions {
		if _, free := s.workerFor(session); free && !session.inflight && session.nextSyncAt.Before(next) {
			next = session.nextSyncAt
		}
	}
	return max(next.Sub(s.clock.Now()), 0)
}

// admit reports whether a call can be served now. Otherwise it rejects the call
// or keeps it until the shard serves or the successor is found.
func (s *Shard) admit(m Message, c caller) bool {
	switch {
	case s.chart.acceptingCalls.Has(s.state) && s.config != nil && len(s.fleet()) > 0:
		return true
	case s.chart.idle.Has(s.state), s.chart.gone.Has(s.state):
		c.send(s.notHolder())
	case s.waitingCallers >= s.settings.MaxWaiters:
		c.send(peer.Reply{Answer: result.Answer("", result.Busy, "too many calls wait")})
	case s.chart.leaving.Has(s.state):
		s.redirected = append(s.redirected, s.keepCaller(c))
	default:
		s.deferred = append(s.deferred, deferredCall{m, s.keepCaller(c)})
	}
	return false
}

// retryDeferred delivers the deferred calls again; admit defers those that
// still can't be served.
func (s *Shard) retryDeferred() {
	calls := s.deferred
	s.deferred = nil
	for _, d := range calls {
		s.waitingCallers--
		if s.now.After(d.caller.until) {
			d.caller.send(peer.Reply{Answer: result.Answer("", result.Busy, "the shard is being taken over")})
			continue
		}
		d.message.deliver(s)
	}
	s.processEndings()
}

// keepCaller counts a caller that waits for its reply.
func (s *Shard) keepCaller(c caller) caller {
	s.waitingCallers++
	return c
}

// answerCaller replies to a caller that keepCaller has counted.
func (s *Shard) answerCaller(c caller, answer model.Answer) {
	s.waitingCallers--
	c.send(peer.Reply{Answer: answer})
}

func (s *Shard) refuse(c caller, id model.RequestID, refusal *result.Error) {
	c.send(peer.Reply{Answer: result.Answer(id, refusal.Code, refusal.Reason)})
}

func (s *Shard) notHolder() peer.Reply {
	answer := result.Answer("", result.NotHolder, "the process does not hold shard "+s.id.String())
	return peer.Reply{Answer: answer, Holder: s.successor.Address}
}

// fleet returns the endpoints of all domains or, before they have been listed,
// those of this domain or the shard's members.
func (s *Shard) fleet() []model.EndpointInfo {
	if len(s.fleetList) > 0 {
		return s.fleetList
	}
	if len(s.domainList) > 0 {
		return s.domainList
	}
	return s.members
}

func (s *Shard) serving() bool { return s.chart.serving.Has(s.state) }

func (s *Shard) holding() bool { return s.chart.holding.Has(s.state) }

// processEndings applies the queued endings, and those that they cause.
func (s *Shard) processEndings() {
	for len(s.endings) > 0 {
		endings := s.endings
		s.endings = nil
		for _, e := range endings {
			s.end(e)
		}
	}
}

func (s *Shard) logInfo(event string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("shard", s.id.String()), slog.Uint64("epoch", uint64(s.epoch)))
	s.log.Info(event, attrs...)
}
