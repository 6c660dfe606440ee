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
	// sweepPeriod is the time between two looks at all open requests.
	sweepPeriod = 100 * time.Millisecond
	// prunePeriod is the time between two looks for answers to be forgotten.
	prunePeriod = 10 * time.Second
)

// The counters of the scheduler.
var (
	submissions   = expvar.NewInt("sched_submissions")
	answersGiven  = expvar.NewInt("sched_answers_durable")
	startsSent    = expvar.NewInt("sched_starts_sent")
	startsUnsure  = expvar.NewInt("sched_starts_unsure")
	syncsFailed   = expvar.NewInt("sched_syncs_failed")
	syncsWithheld = expvar.NewInt("sched_syncs_withheld")
	takeovers     = expvar.NewInt("sched_takeovers")
	shardsLost    = expvar.NewInt("sched_shards_lost")
	lapsed        = expvar.NewInt("sched_endpoints_lapsed")
)

// Ports are the rings that the shard duty writes to. It never waits: each
// reports false when its ring is full, and the shard duty tries again.
type Ports struct {
	// Journal takes entries.
	Journal func(shardjournal.Message) bool
	// Resign asks the lease duty to hand the shard back.
	Resign func() bool
	// Parts takes the teams' standings.
	Parts func(partsMessage) bool
	// Delegate asks another shard about requests that were moved there.
	Delegate func(delegateJob) bool
	// Sync hands a Sync to one of the workers, numbered from 0.
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
	waits        *waitingTimes

	chart        *holderChart
	state        chart.State
	recordChart  *recordChart
	sessionChart *sessionChart

	now       time.Time
	incoming  held
	listKnown bool
	config    *model.Config
	homes     *routing.Homes
	listed    []model.EndpointInfo
	fleet     []model.EndpointInfo
	successor shard.LeaseRow

	// The fields below belong to the epoch that is held.
	epoch    model.Epoch
	proof    *shard.Proof
	policy   policy.Scheduler
	records  map[model.RequestID]*record
	active   map[model.RequestID]*record
	attempts map[model.AttemptID]*attempt
	sessions map[model.EndpointID]*session
	image    *shardjournal.Image
	members  []model.EndpointInfo
	proposed []model.EndpointInfo
	appended uint64
	durable  uint64
	unsent   []shardjournal.Append
	onRecord []onRecord
	storeUp  bool
	// asking are the shards that are being asked about moved requests.
	asking    map[model.ShardID]bool
	endings   []policy.Ending
	plan      policy.Plan
	wake      time.Time
	dirty     bool
	waitUntil time.Time
	standAt   time.Time
	busy      []int

	// deferred are calls that wait until the shard can serve them; redirected
	// are those that wait for the successor's address.
	deferred   []deferredCall
	redirected []caller
	callers    int
	gone       chan<- struct{}
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

// NewShard returns the handler of a process that does not hold the shard.
// newScheduler makes the decisions of one epoch.
func NewShard(id model.ShardID, self model.InstanceID, settings Settings, source clock.Clock, log *logging.Logger, newScheduler func() policy.Scheduler, ports Ports) *Shard {
	s := &Shard{
		id:           id,
		self:         self,
		settings:     settings,
		clock:        source,
		log:          log,
		newScheduler: newScheduler,
		ports:        ports,
		waits:        newWaitingTimes(),
		chart:        newHolderChart(),
		recordChart:  newRecordChart(),
		sessionChart: newSessionChart(),
		busy:         make([]int, len(ports.Sync)),
	}
	s.chart.machine.Start(&s.state, s)
	return s
}

// Handle takes messages, decides, and sends out what follows.
func (s *Shard) Handle(batch []Message) time.Duration {
	s.now = s.clock.Now()
	for _, m := range batch {
		m.deliver(s)
		s.endAll()
	}
	if s.now.After(s.sweepAt) {
		s.sweepAt = s.now.Add(sweepPeriod)
		s.sweep()
		s.relocate()
		s.ask()
	}
	if s.now.After(s.pruneAt) {
		s.pruneAt = s.now.Add(prunePeriod)
		s.prune()
	}
	s.advance()
	s.retryDeferred()
	s.standIfDue()
	s.decide()
	s.flush()
	s.dispatch()
	return s.wait()
}

// wait returns the time until something is due without a message.
func (s *Shard) wait() time.Duration {
	next := s.now.Add(sweepPeriod)
	if !s.wake.IsZero() && s.wake.Before(next) {
		next = s.wake
	}
	for _, session := range s.sessions {
		if _, free := s.workerFor(session); free && !session.inflight && session.due.Before(next) {
			next = session.due
		}
	}
	return max(next.Sub(s.clock.Now()), 0)
}

// admit says whether a call can be served now. Otherwise it refuses the call
// or keeps it.
func (s *Shard) admit(m Message, c caller) bool {
	switch {
	case s.chart.taking.Has(s.state) && s.config != nil && len(s.fleetKnown()) > 0:
		return true
	case s.chart.idle.Has(s.state), s.chart.gone.Has(s.state):
		c.send(s.notHolder())
	case s.callers >= s.settings.MaxWaiters:
		c.send(peer.Reply{Answer: result.Answer("", result.Busy, "too many calls wait")})
	case s.chart.leaving.Has(s.state):
		s.redirected = append(s.redirected, s.waiting(c))
	default:
		s.deferred = append(s.deferred, deferredCall{m, s.waiting(c)})
	}
	return false
}

// retryDeferred delivers the calls that were kept until the shard can serve.
func (s *Shard) retryDeferred() {
	calls := s.deferred
	s.deferred = nil
	for _, d := range calls {
		s.callers--
		if s.now.After(d.caller.until) {
			d.caller.send(peer.Reply{Answer: result.Answer("", result.Busy, "the shard is being taken over")})
			continue
		}
		d.message.deliver(s)
	}
	s.endAll()
}

// waiting counts a caller that is kept.
func (s *Shard) waiting(c caller) caller {
	s.callers++
	return c
}

// answerCaller answers a caller that was kept.
func (s *Shard) answerCaller(c caller, answer model.Answer) {
	s.callers--
	c.send(peer.Reply{Answer: answer})
}

func (s *Shard) refuse(c caller, id model.RequestID, refusal *result.Error) {
	c.send(peer.Reply{Answer: result.Answer(id, refusal.Code, refusal.Reason)})
}

func (s *Shard) notHolder() peer.Reply {
	answer := result.Answer("", result.NotHolder, "the process does not hold shard "+s.id.String())
	return peer.Reply{Answer: answer, Holder: s.successor.Address}
}

// fleetKnown returns all endpoints known of the fleet.
func (s *Shard) fleetKnown() []model.EndpointInfo {
	if len(s.fleet) > 0 {
		return s.fleet
	}
	if len(s.listed) > 0 {
		return s.listed
	}
	return s.members
}

func (s *Shard) serving() bool { return s.chart.serving.Has(s.state) }

func (s *Shard) holding() bool { return s.chart.holding.Has(s.state) }

// endAll gives the answers that have come up.
func (s *Shard) endAll() {
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
