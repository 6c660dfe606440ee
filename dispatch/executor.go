package dispatch

import (
	"context"
	"expvar"
	"log/slog"
	"strconv"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/logging"
)

// maxCallThreads bounds the calls of an instance in flight: one listing for each of
// 700 endpoints, and the commands for 1,000 starts a second of which a tenth get no
// response.
const maxCallThreads = 768

// slowStarts counts the starts that are logged, by outcome.
var slowStarts = expvar.NewMap("slow_starts")

// slowStartTime is the time from the decision of a start to its outcome from which on it is
// logged.
const slowStartTime = 500 * time.Millisecond

// callThread is a duty with a thread of its own that makes one call at a time.
type callThread struct{ *duty.Duty[Command] }

// Done is the outcome of a command, with the thread that executed it.
type Done struct {
	Outcome
	thread *callThread
}

// Executor executes commands on a pool of threads. It is used by one duty only,
// which is notified of each command's end and passes it to Settle.
type Executor struct {
	ctx       context.Context
	commander fleet.Commander
	clock     clock.Clock
	log       *logging.Logger
	start     func(duty.Runner)
	done      func(Done)
	threads   int
	idle      []*callThread
}

// NewExecutor returns an Executor without threads. Cancelling ctx ends its calls.
// start runs a duty; done is called on the thread that made the call.
func NewExecutor(ctx context.Context, commander fleet.Commander, c clock.Clock, log *logging.Logger, start func(duty.Runner), done func(Done)) *Executor {
	return &Executor{ctx: ctx, commander: commander, clock: c, log: log, start: start, done: done}
}

// Execute hands the command to an idle thread. It returns false when too many calls
// are in flight.
func (c *Executor) Execute(command Command) bool {
	if len(c.idle) == 0 && !c.addThread() {
		return false
	}
	thread := c.idle[len(c.idle)-1]
	if !thread.Offer(command) {
		return false
	}
	c.idle = c.idle[:len(c.idle)-1]
	return true
}

// Release returns the thread of a finished command to the pool.
func (c *Executor) Release(d Done) { c.idle = append(c.idle, d.thread) }

func (c *Executor) addThread() bool {
	if c.threads >= maxCallThreads {
		return false
	}
	t := &callThread{}
	t.Duty = duty.NewCalling("carrier"+strconv.Itoa(c.threads), 1, duty.HandlerFunc[Command](func(batch []Command) time.Duration {
		for _, command := range batch {
			c.done(Done{Outcome: c.call(command), thread: t})
		}
		return duty.Never
	}))
	c.threads++
	c.idle = append(c.idle, t)
	c.start(t)
	return true
}

// call executes the command, unless it has expired. It runs on the thread of a callThread.
func (c *Executor) call(command Command) Outcome {
	calledAt := c.clock.Now()
	if command.expired(calledAt) {
		outcome := command.expiredOutcome()
		c.logSlowStart(command, outcome, calledAt, false)
		return outcome
	}
	ctx, cancel := context.WithTimeout(c.ctx, command.Timeout())
	defer cancel()
	switch {
	case command.Start != nil:
		outcome := outcomeOf(command.ID, fleet.Listing{}, c.commander.Start(ctx, *command.Start))
		c.logSlowStart(command, outcome, calledAt, true)
		return outcome
	case command.Stop != nil:
		return outcomeOf(command.ID, fleet.Listing{}, c.commander.Stop(ctx, *command.Stop))
	default:
		listing, err := c.commander.Renew(ctx, *command.Renew)
		return outcomeOf(command.ID, listing, err)
	}
}

// logSlowStart logs a start that had no response, or was answered slowStartTime or more
// after its permission began, which is SendWindow before its end or later. The endpoint
// may execute the first kind after its sender has given it up.
func (c *Executor) logSlowStart(command Command, o Outcome, calledAt time.Time, sent bool) {
	start := command.Start
	if start == nil {
		return
	}
	now := c.clock.Now()
	permittedAt, beforeEnd := calledAt, time.Duration(0)
	if !command.validUntil.IsZero() {
		permittedAt, beforeEnd = command.validUntil.Add(-SendWindow), command.validUntil.Sub(calledAt)
	}
	if sent && o.Code != NoResponse && now.Sub(permittedAt) < slowStartTime {
		return
	}
	slowStarts.Add(o.Code.String(), 1)
	c.log.Warn("start_slow", slog.String("id", string(start.Run.Task.Job)), slog.String("run", start.Run.String()),
		slog.String("endpoint", string(start.Target.ID)), slog.Uint64("epoch", start.Epoch), slog.Bool("sent", sent),
		slog.Duration("before_end", beforeEnd), slog.Duration("took", now.Sub(calledAt)),
		slog.Duration("since_permission", now.Sub(permittedAt)), slog.String("outcome", o.Code.String()), slog.String("error", o.Reason))
}
