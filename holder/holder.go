// Package holder runs the cell on the elected instance. It owns the planner,
// renews the endpoints' leases, sends start and stop commands, and persists the
// state that the next holder needs. One duty makes all decisions; every blocking
// call runs in a duty of its own.
package holder

import (
	"context"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// ringSize is the capacity of the deciding duty's ring. Its writers block
	// while it is full, since each has only one message in flight.
	ringSize = 4096
	// decidePeriod is how often the planner runs without new events, for changes
	// that depend on time alone.
	decidePeriod = 50 * time.Millisecond
	// decideIntervalRatio is the least time between two planner runs as a
	// multiple of the last run's duration. It bounds the planner's share of the
	// duty's time.
	decideIntervalRatio = 4
	// idlePeriod is the duty's wait while another instance holds the cell.
	idlePeriod = time.Second
	// queuesPublishPeriod is how often the numbers of waiting jobs are published:
	// those that callers get may be up to 2 s old.
	queuesPublishPeriod = 700 * time.Millisecond
)

// Settings configure a holder.
type Settings struct {
	// Node names this instance.
	Node string
	// Parts is the number of parts over which the rows of jobs are distributed.
	Parts Parts
	// MaxLease bounds the duration of an endpoint's lease.
	MaxLease time.Duration
	// StopTime bounds the time that the stop of a run takes.
	StopTime time.Duration
	// DirectEndpoints is the largest number of endpoints that this instance
	// calls directly. With more, other instances send commands, too.
	DirectEndpoints int
	// Policy selects the optional decisions of the planner.
	Policy planner.Policy
}

// Dependencies contains the dependencies of a holder.
type Dependencies struct {
	Table      storage.FeedTable
	TableClock storage.TableClock
	Registry   Registry
	Command    fleet.Commander
	Advice     AdviceClient
	// Instances returns the other instances, Peers calls them.
	Instances func() []instances.Instance
	Peers     *peerrpc.Client
	// Clock is monotonic; Wall gives the date.
	Clock, Wall clock.Clock
	Log         *logging.Logger
	// Start runs duties. The holder stops the duties that it has started.
	Start func(...duty.Runner)
}

// Registry decodes the endpoint registry's rows.
type Registry interface {
	RegistryTable() string
	// RegistryRow decodes an entry; now is the date.
	RegistryRow(row storage.Row, now time.Time) (fleet.Endpoint, error)
	EndpointID(storage.Row) model.EndpointID
}

// message is an input of the deciding duty.
type message interface{ apply(h *Holder) }

// Holder is the duty that makes the cell's decisions while its instance holds
// the cell.
type Holder struct {
	Settings
	Dependencies
	*duty.Duty[message]
	ctx   context.Context
	state chart.State
	now   time.Time

	elected   election.Elected
	actUntil  time.Time
	catalog   *catalog.Catalog
	evacuated map[model.DomainName]bool
	// operatorsReadAt is when the last applied read of the operators' rows was requested:
	// catalog and evacuated are at least as recent.
	operatorsReadAt time.Time

	// cell is nil while another instance holds the cell.
	cell *cell
}

// cell is the state of one epoch.
type cell struct {
	epoch    uint64
	cancel   context.CancelFunc
	ctx      context.Context
	planner  *planner.Planner
	restored *restoredCell
	sessions map[model.EndpointID]*session
	// sessionOrder contains the sessions sorted by endpoint ID. It is nil after a
	// session was added or removed.
	sessionOrder []*session
	// roster contains the endpoints that the next holder has to query for runs.
	roster      map[model.EndpointID]rosterEntry
	commands    *commands
	adviceQueue *adviceQueue
	recorder    *recorder
	cleaner     *cleaner
	stopRetries []stopRetry
	// decidedAt is when the planner last ran, decideTime how long that took.
	decidedAt         time.Time
	decideTime        time.Duration
	queuesPublishedAt time.Time
	statsLoggedAt     time.Time
	// estimatesVersion is the version of the estimates that were passed to the recorder, at
	// estimatesPublishedAt.
	estimatesVersion     uint64
	estimatesPublishedAt time.Time
	// jobsReadAt is when the last applied read of the jobs table was requested: the
	// planner's jobs are at least as recent.
	jobsReadAt time.Time
	// registryReadAt is the same for the registry.
	registryReadAt time.Time
	// cancels contains the jobs that have been cancelled recently.
	cancels cancelledJobs
	// viewOld is set while the planner's view is too old to start tasks.
	viewOld bool
	// inheritedLeaseEnd is the time by which every endpoint lease that a
	// previous holder renewed has expired.
	inheritedLeaseEnd time.Time
	// inheritedArriveBy is the time by which every command of a previous holder has been
	// executed or lost.
	inheritedArriveBy time.Time
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
			"discard_cell":  (*Holder).discardCell,
		})
	evElected = machine.MustEvent("elected")
	evRestored = machine.MustEvent("restored")
	evDeposed = machine.MustEvent("deposed")
	actingStates = machine.MustSet("deciding")
}

// New returns a holder that has not started. ctx bounds its calls.
func New(ctx context.Context, s Settings, o Dependencies) *Holder {
	h := &Holder{Settings: s, Dependencies: o, ctx: ctx, evacuated: map[model.DomainName]bool{}}
	machine.Start(&h.state, h)
	h.Duty = duty.New("holder", ringSize, duty.HandlerFunc[message](h.handle))
	return h
}

// post puts a message into the duty's ring and blocks while the ring is full. It
// fails only when the process stops; the message is not needed then.
func (h *Holder) post(m message) { _ = h.Put(h.ctx, m) }

func (h *Holder) handle(batch []message) time.Duration {
	h.now = h.Clock.Now()
	if h.cell != nil {
		h.cell.planner.SetTime(h.now, h.Wall.Now().UnixMilli())
	}
	for _, m := range batch {
		m.apply(h)
	}
	if !actingStates.Has(h.state) {
		return idlePeriod
	}
	return h.runDue()
}

func (h *Holder) fire(event chart.Event) {
	before := h.state
	if machine.Fire(&h.state, event, h) && h.state != before {
		h.Log.Info("holder_state", slog.String("state", machine.Name(h.state)), slog.Uint64("epoch", h.elected.Epoch))
	}
}

// runDue does the work that is due and returns the time until the next call.
func (h *Holder) runDue() time.Duration {
	c := h.cell
	h.sendRecordedStarts()
	c.commands.expire(h)
	h.serveSessions()
	h.retryDueStops()
	h.logViewAge()
	mayDecide := h.mayAct() && h.viewRecent()
	if mayDecide && h.decideDue() {
		startedAt := h.Clock.Now()
		c.planner.Decide()
		c.decidedAt = h.Clock.Now()
		c.decideTime = c.decidedAt.Sub(startedAt)
	}
	h.executePlan(c.planner.TakePlan())
	c.adviceQueue.dispatch(h)
	c.commands.flush(h)
	h.publishQueues()
	h.publishEstimates()
	c.recorder.flush(h)
	h.logStats()
	if mayDecide && c.planner.Dirty() {
		return min(decideIntervalRatio*c.decideTime, decidePeriod)
	}
	return decidePeriod
}

// decideDue reports whether to run the planner now. With a long queue a run takes
// longer, and more events are applied between two runs.
func (h *Holder) decideDue() bool {
	elapsed := h.now.Sub(h.cell.decidedAt)
	return elapsed >= decidePeriod || h.cell.planner.Dirty() && elapsed >= decideIntervalRatio*h.cell.decideTime
}

// mayAct reports whether the instance's own lease is valid, so that it may act
// as the holder.
func (h *Holder) mayAct() bool { return h.now.Before(h.actUntil) }

// viewRecent reports whether the planner's view is recent enough to start tasks: a job
// whose cancel has been acknowledged may still seem to wait, a failure domain that has
// been evacuated to be in use, and an endpoint that leaves to stay.
func (h *Holder) viewRecent() bool {
	c := h.cell
	return h.now.Sub(c.jobsReadAt) <= maxJobsAge && h.now.Sub(c.registryReadAt) <= maxRegistryAge &&
		h.now.Sub(h.operatorsReadAt) <= maxOperatorsAge
}

// executePlan sends the plan's stops, queues its advice requests, and passes its
// starts and state changes to the recorder. A start is sent once its run is
// durable.
func (h *Holder) executePlan(plan planner.Plan) {
	c := h.cell
	for _, start := range plan.Starts {
		start.DecidedAt = h.now
		c.recorder.starts = append(c.recorder.starts, start)
	}
	for _, stop := range plan.Stops {
		h.sendStop(stop)
	}
	for _, request := range plan.AdviceRequests {
		c.adviceQueue.add(request)
	}
	for _, id := range plan.Changed {
		c.recorder.changed[id] = true
	}
	for _, loss := range plan.Losses {
		h.logLoss(loss)
	}
	for _, relocation := range plan.Relocations {
		h.logRelocation(relocation)
	}
	for _, outcome := range plan.Outcomes {
		c.recorder.addOutcome(h, outcome)
		h.logOutcome(outcome)
	}
	for _, id := range plan.Removed {
		c.recorder.remove(id)
	}
}

// publishQueues passes the numbers of waiting jobs to the recorder, also if they have
// not changed: their age shows whether a holder decides.
func (h *Holder) publishQueues() {
	c := h.cell
	if h.now.Sub(c.queuesPublishedAt) < queuesPublishPeriod {
		return
	}
	c.queuesPublishedAt = h.now
	now, _ := h.TableClock.TableNow()
	c.recorder.queues = &Queues{PublishedAt: now, Waiting: c.planner.WaitingByQueue()}
	if load := c.planner.Load(); load.Capacity > 0 {
		// Before the registry has been read, no capacity is known.
		c.recorder.queues.Load = load
	}
}
