// Package holder runs the cell on the instance that was elected: it owns the
// planner, renews the endpoints' leases, sends orders and records what has to
// outlast it. One duty decides; every call that blocks is a duty of its own.
package holder

import (
	"context"
	"expvar"
	"log/slog"
	"maps"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/metrics"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// ringSize is the capacity of the deciding duty's ring. Its writers wait
	// for room: each has one message under way.
	ringSize = 4096
	// decidePeriod is how often the planner looks at what time alone brings
	// about.
	decidePeriod = 50 * time.Millisecond
	// decideRatio bounds the part of the duty's time that plans take.
	decideRatio = 4
	// idlePeriod is the duty's wait while another instance holds the cell.
	idlePeriod = time.Second
	// queuesPeriod is how often the waiting jobs are published if they have
	// changed: callers are told numbers of up to 2 s ago.
	queuesPeriod = 700 * time.Millisecond
	// statsPeriod is how often the state of the cell is logged.
	statsPeriod = 5 * time.Second
	// waitingLogged is the number of steps whose wait is logged each time, if
	// they have waited for waitingLong.
	waitingLogged = 4
	waitingLong   = 10 * time.Second
	// teamLabels bounds the number of teams and queues in metrics.
	teamLabels = 128
)

// Settings bound what the holder does.
type Settings struct {
	// Node names this instance.
	Node string
	// Parts is the number of parts over which jobs are spread.
	Parts Parts
	// MaxLease bounds an endpoint's lease.
	MaxLease time.Duration
	// StopTime is what the stop of a run takes at most.
	StopTime time.Duration
	// DirectEndpoints is the number of endpoints up to which this instance
	// calls all of them itself.
	DirectEndpoints int
}

// Outside is what the holder uses.
type Outside struct {
	Table    storage.FeedTable
	Registry Registry
	Command  fleet.Commander
	Advice   Adviser
	// Instances returns the other instances, Peers calls them.
	Instances func() []instances.Instance
	Peers     *peerrpc.Client
	// Clock is steady, Wall tells the date.
	Clock, Wall clock.Clock
	Log         *logging.Logger
	// Start runs duties; the holder stops them.
	Start func(...duty.Runner)
}

// Registry decodes the endpoints' entries.
type Registry interface {
	RegistryTable() string
	RegistryRow(storage.Row) (fleet.Endpoint, error)
	EndpointID(storage.Row) model.EndpointID
}

// message is what the deciding duty is told.
type message interface{ apply(h *Holder) }

// Holder is the duty that decides for the cell while its instance holds it.
type Holder struct {
	Settings
	Outside
	*duty.Duty[message]
	ctx   context.Context
	state chart.State
	now   time.Time

	elected   election.Elected
	until     time.Time
	catalog   *catalog.Catalog
	evacuated map[model.DomainName]bool

	// cell is what belongs to one epoch; nil while another instance holds it.
	cell *cell
}

// cell is the state of one epoch.
type cell struct {
	epoch    uint64
	cancel   context.CancelFunc
	ctx      context.Context
	planner  *planner.Planner
	restored *restored
	links    map[model.EndpointID]*link
	// inOrder are the links in the order of their endpoints' names; nil when
	// they have changed.
	inOrder []*link
	// roster are the endpoints that a successor has to list.
	roster   map[model.EndpointID]rosterEntry
	commands *commands
	consults *consults
	recorder *recorder
	cleaner  *cleaner
	retries  []retry
	// decided is when the last plan was made, deciding how long that took.
	decided  time.Time
	deciding time.Duration
	queues   map[jobs.QueueName]int
	queuesAt time.Time
	statsAt  time.Time
	// inheritedEnd is when the last lease that a former holder renewed has
	// certainly ended.
	inheritedEnd time.Time
}

var machine *chart.Machine[Holder]

var evElected, evRestored, evDeposed chart.Event

var actingStates chart.StateSet

func init() {
	machine = chart.MustBind(charts.MustLoad("holder"),
		chart.Guards[Holder]{},
		chart.Actions[Holder]{
			"begin_restore": (*Holder).beginRestore,
			"take_over":     (*Holder).takeOver,
			"forget_cell":   (*Holder).forgetCell,
		})
	evElected = machine.MustEvent("elected")
	evRestored = machine.MustEvent("restored")
	evDeposed = machine.MustEvent("deposed")
	actingStates = machine.MustSet("deciding")
}

var (
	startWaits = metrics.NewHistograms("start_wait_by_queue", teamLabels)
	jobTimes   = metrics.NewHistograms("job_time_by_queue", teamLabels)
	teamTimes  = metrics.NewHistograms("job_time_by_team", teamLabels)
	counts     = expvar.NewMap("holder")
)

// New returns a holder that has not started; its calls end with ctx.
func New(ctx context.Context, s Settings, o Outside) *Holder {
	h := &Holder{Settings: s, Outside: o, ctx: ctx, evacuated: map[model.DomainName]bool{}}
	machine.Start(&h.state, h)
	h.Duty = duty.New("holder", ringSize, duty.HandlerFunc[message](h.handle))
	return h
}

// tell queues a message, waiting for room. It fails only when the process
// stops, and nobody needs the message then.
func (h *Holder) tell(m message) { _ = h.Put(h.ctx, m) }

func (h *Holder) handle(batch []message) time.Duration {
	h.now = h.Clock.Now()
	if h.cell != nil {
		h.cell.planner.Clock(h.now, h.Wall.Now().UnixMilli())
	}
	for _, m := range batch {
		m.apply(h)
	}
	if !actingStates.Has(h.state) {
		return idlePeriod
	}
	return h.drive()
}

func (h *Holder) fire(event chart.Event) {
	before := h.state
	if machine.Fire(&h.state, event, h) && h.state != before {
		h.Log.Info("holder_state", slog.String("state", machine.Name(h.state)), slog.Uint64("epoch", h.elected.Epoch))
	}
}

// drive does what is due and returns when to be called again.
func (h *Holder) drive() time.Duration {
	c := h.cell
	c.commands.expire(h)
	h.serveLinks()
	h.retryStops()
	if h.mayAct() && h.decideDue() {
		began := h.Clock.Now()
		c.planner.Decide()
		c.decided = h.Clock.Now()
		c.deciding = c.decided.Sub(began)
	}
	h.carryOut(c.planner.Take())
	c.consults.dispatch(h)
	c.commands.flush(h)
	h.publishQueues()
	c.recorder.flush(h)
	h.logStats()
	if c.planner.Dirty() {
		return min(decideRatio*c.deciding, decidePeriod)
	}
	return decidePeriod
}

// decideDue reports whether to plan now. While much waits a plan takes longer,
// and more news is taken in between two of them.
func (h *Holder) decideDue() bool {
	passed := h.now.Sub(h.cell.decided)
	return passed >= decidePeriod || h.cell.planner.Dirty() && passed >= decideRatio*h.cell.deciding
}

// mayAct reports whether the instance's lease stands: no successor has come.
func (h *Holder) mayAct() bool { return h.now.Before(h.until) }

// carryOut sends the plan's orders and notes what has to be recorded.
func (h *Holder) carryOut(plan planner.Plan) {
	c := h.cell
	c.recorder.starts = append(c.recorder.starts, plan.Starts...)
	for _, s := range plan.Stops {
		h.orderStop(s)
	}
	for _, q := range plan.Questions {
		c.consults.add(q)
	}
	for _, id := range plan.Changed {
		c.recorder.changed[id] = true
	}
	for _, o := range plan.Outcomes {
		c.recorder.outcome(h, o)
		h.logOutcome(o)
	}
	for _, id := range plan.Removed {
		c.recorder.remove(h.now, id)
	}
}

func (h *Holder) logOutcome(o planner.Outcome) {
	counts.Add("jobs_"+string(o.State), 1)
	jobTimes.Record(string(o.Queue), o.Took)
	teamTimes.Record(string(o.Team), o.Took)
	h.Log.Info("job_decided", slog.String("id", string(o.Job)), slog.String("state", string(o.State)),
		slog.String("reason", o.Reason), slog.String("queue", string(o.Queue)), slog.String("team", string(o.Team)),
		slog.Duration("took", o.Took), slog.Uint64("epoch", h.cell.epoch))
}

// publishQueues records the waiting jobs when they have changed.
func (h *Holder) publishQueues() {
	c := h.cell
	if h.now.Sub(c.queuesAt) < queuesPeriod {
		return
	}
	c.queuesAt = h.now
	waiting := c.planner.Waiting()
	if c.queues != nil && maps.Equal(waiting, c.queues) {
		return
	}
	c.queues = waiting
	c.recorder.queues = waiting
}

func (h *Holder) logStats() {
	c := h.cell
	if h.now.Sub(c.statsAt) < statsPeriod {
		return
	}
	c.statsAt = h.now
	s := c.planner.Stats()
	h.Log.Info("cell", slog.Uint64("epoch", c.epoch), slog.Int("jobs", s.Jobs), slog.Int("runs", s.Runs),
		slog.Int("reserved", s.Reserved), slog.Int("pending", s.Pending), slog.Int("usable", s.Usable),
		slog.Int("endpoints", s.Endpoints), slog.Int64("cpu_used", s.CPUUsed), slog.Int64("cpu_total", s.CPUTotal),
		slog.Int("questions", c.consults.waiting()), slog.Duration("lease_left", h.until.Sub(h.now)))
	for _, w := range c.planner.LongestWaiting(waitingLogged) {
		if w.Since < waitingLong {
			continue
		}
		h.Log.Info("step_waits", slog.String("id", string(w.Step.Job)), slog.String("step", w.Step.String()),
			slog.String("queue", string(w.Queue)), slog.Duration("since", w.Since), slog.Int("pending", w.Pending),
			slog.Int("tasks", w.Count), slog.String("reason", w.Reason), slog.Int("asked", w.Asked), slog.Int("good", w.Good))
	}
}
