package dispatch

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/peerrpc"
)

const (
	// serviceName is the net/rpc name of the service.
	serviceName     = "Dispatch"
	sendMethod      = serviceName + ".Send"
	collectMethod   = serviceName + ".Collect"
	readClockMethod = serviceName + ".ReadClock"
	// agentRing is the capacity of the agent's ring, which holds batches of
	// commands and the ends of calls.
	agentRing = 1024
	// outcomeBatchDelay is how long outcomes are collected before they are returned
	// together.
	outcomeBatchDelay = 8 * time.Millisecond
	// maxOutcomes bounds the outcomes that are kept for a holder that does not
	// collect them. Further ones are dropped, as if the endpoint had not responded.
	maxOutcomes = 4096
)

// errStaleEpoch rejects a holder whose epoch is older than the agent's.
var errStaleEpoch = eris.New("the agent follows a later epoch")

// Batch is a batch of commands from the holder of the given epoch.
type Batch struct {
	Epoch uint64
	// Incarnation is that of the agent whose clock the commands' SendBy refers to; 0 from a
	// holder of an older build.
	Incarnation uint64
	Commands    []Command
}

// Request is the argument of Collect.
type Request struct {
	Epoch uint64
	// Wait is how long the call may wait for the first outcome.
	Wait time.Duration
}

// Reply is the result of Collect.
type Reply struct{ Outcomes []Outcome }

// Empty is an argument or result without data.
type Empty struct{}

// agentMessage is a message in the agent's ring.
type agentMessage interface{ apply(a *Agent) }

// Agent is the duty that executes commands on behalf of the cell's holder when
// that runs on another instance.
type Agent struct {
	*duty.Duty[agentMessage]
	ctx       context.Context
	commander fleet.Commander
	clock     clock.Clock
	log       *logging.Logger
	start     func(...duty.Runner)
	// incarnation identifies this process to holders. It is not 0.
	incarnation uint64

	epoch    uint64
	cancel   context.CancelFunc
	executor *Executor
	outcomes []Outcome
	// oldestOutcomeAt is when the oldest of the outcomes was added.
	oldestOutcomeAt time.Time
	waiter          *collectRequest
}

// NewAgent returns an agent that has not been started. Cancelling ctx ends its
// calls; start runs the duties that make them.
func NewAgent(ctx context.Context, commander fleet.Commander, c clock.Clock, log *logging.Logger, start func(...duty.Runner)) *Agent {
	a := &Agent{ctx: ctx, commander: commander, clock: c, log: log, start: start, cancel: func() {}}
	a.incarnation = 1 + rand.Uint64N(math.MaxUint64)
	a.Duty = duty.New("agent", agentRing, duty.HandlerFunc[agentMessage](a.handle))
	return a
}

// Register makes the agent callable by peers through server.
func (a *Agent) Register(server *peerrpc.Server) error {
	return server.Register(serviceName, &service{a})
}

func (a *Agent) handle(batch []agentMessage) time.Duration {
	for _, m := range batch {
		m.apply(a)
	}
	if a.waiter == nil {
		return duty.Never
	}
	due := a.waiter.until
	if len(a.outcomes) > 0 {
		due = a.oldestOutcomeAt.Add(outcomeBatchDelay)
	}
	if left := due.Sub(a.clock.Now()); left > 0 {
		return left
	}
	a.waiter.reply <- collectReply{outcomes: a.outcomes}
	a.waiter, a.outcomes = nil, nil
	return duty.Never
}

// acceptEpoch reports whether commands of the epoch are accepted. A later epoch
// than the current one replaces it: the calls in flight are cancelled and the
// outcomes collected so far are dropped.
func (a *Agent) acceptEpoch(epoch uint64) bool {
	if epoch < a.epoch {
		return false
	}
	if epoch == a.epoch {
		return true
	}
	a.cancel()
	a.epoch, a.outcomes = epoch, nil
	if a.waiter != nil {
		// The former holder must not get outcomes of the new one: the IDs of commands are
		// unique only within an epoch.
		a.waiter.reply <- collectReply{err: errStaleEpoch}
		a.waiter = nil
	}
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(a.ctx)
	a.executor = NewExecutor(ctx, a.commander, a.clock, a.log, func(d duty.Runner) {
		context.AfterFunc(ctx, d.Stop)
		a.start(d)
	}, func(d Done) {
		// The agent's ring is closed only when the process stops.
		_ = a.Put(a.ctx, doneMessage{epoch: epoch, done: d})
	})
	a.log.Info("agent_follows", slog.Uint64("epoch", epoch))
	return true
}

func (a *Agent) addOutcome(o Outcome) {
	if len(a.outcomes) == 0 {
		a.oldestOutcomeAt = a.clock.Now()
	}
	if len(a.outcomes) < maxOutcomes {
		a.outcomes = append(a.outcomes, o)
	}
}

// batchMessage is a batch of commands to execute.
type batchMessage struct {
	Batch
	reply chan error
}

func (m batchMessage) apply(a *Agent) {
	if !a.acceptEpoch(m.Epoch) {
		m.reply <- errStaleEpoch
		return
	}
	for _, command := range m.Commands {
		if !a.executor.Execute(command) {
			a.addOutcome(Outcome{ID: command.ID, Code: Refused, Reason: "too many calls are under way"})
		}
	}
	m.reply <- nil
}

// doneMessage reports the end of a call.
type doneMessage struct {
	epoch uint64
	done  Done
}

func (m doneMessage) apply(a *Agent) {
	if m.epoch == a.epoch {
		a.executor.Release(m.done)
		a.addOutcome(m.done.Outcome)
	}
}

type collectReply struct {
	outcomes []Outcome
	err      error
}

// collectRequest is a peer's call that waits for outcomes.
type collectRequest struct {
	epoch uint64
	until time.Time
	reply chan collectReply
}

func (m *collectRequest) apply(a *Agent) {
	if !a.acceptEpoch(m.epoch) {
		m.reply <- collectReply{err: errStaleEpoch}
		return
	}
	if a.waiter != nil {
		a.waiter.reply <- collectReply{}
	}
	a.waiter = m
}

// service exposes the agent through net/rpc.
type service struct{ agent *Agent }

// Send starts the commands of a batch without waiting for their outcomes. The batch may
// have been sent long before it is received, so that the commands' permissions are times
// and not durations.
func (s *service) Send(batch Batch, _ *Empty) error {
	if batch.Incarnation != 0 && batch.Incarnation != s.agent.incarnation {
		return errOtherIncarnation
	}
	receivedAt := s.agent.clock.Now()
	for i, command := range batch.Commands {
		validUntil := receivedAt.Add(SendWindow)
		if command.SendBy != 0 {
			validUntil = time.Unix(0, command.SendBy)
		}
		batch.Commands[i] = command.Until(validUntil)
	}
	m := batchMessage{Batch: batch, reply: make(chan error, 1)}
	if err := s.agent.Put(s.agent.ctx, m); err != nil {
		return err
	}
	return <-m.reply
}

// Collect returns the outcomes of commands, or none after r.Wait. A later call
// ends an earlier one that still waits.
func (s *service) Collect(r Request, reply *Reply) error {
	m := &collectRequest{epoch: r.Epoch, until: s.agent.clock.Now().Add(r.Wait), reply: make(chan collectReply, 1)}
	if err := s.agent.Put(s.agent.ctx, m); err != nil {
		return err
	}
	select {
	case c := <-m.reply:
		reply.Outcomes = c.outcomes
		return c.err
	case <-s.agent.ctx.Done():
		return s.agent.ctx.Err()
	}
}
