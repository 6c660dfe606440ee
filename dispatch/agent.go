package dispatch

import (
	"context"
	"log/slog"
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
	serviceName = "Dispatch"
	// sendMethod and collectMethod are its methods.
	sendMethod    = serviceName + ".Send"
	collectMethod = serviceName + ".Collect"
	// agentRing is the number of messages that may wait for the agent: batches
	// of commands and the ends of calls.
	agentRing = 1024
	// gatherTime is how long outcomes are gathered before they are handed back.
	gatherTime = 8 * time.Millisecond
	// maxOutcomes bounds the outcomes that wait for a holder that does not
	// collect; later ones are dropped, as if the endpoint had not answered.
	maxOutcomes = 4096
)

// errOvertaken means that the agent follows a later epoch.
var errOvertaken = eris.New("the agent follows a later epoch")

// Batch are the commands of a holder.
type Batch struct {
	Epoch    uint64
	Commands []Command
}

// Request asks for outcomes.
type Request struct {
	Epoch uint64
	// Wait is how long the answer may wait for the first outcome.
	Wait time.Duration
}

// Reply are outcomes.
type Reply struct{ Outcomes []Outcome }

// Empty is the reply that says nothing.
type Empty struct{}

// agentMessage is what the agent's duty is told.
type agentMessage interface{ apply(a *Agent) }

// Agent is the duty that carries commands for the holder of the cell.
type Agent struct {
	*duty.Duty[agentMessage]
	ctx     context.Context
	command fleet.Commander
	clock   clock.Clock
	log     *logging.Logger
	start   func(...duty.Runner)

	epoch    uint64
	cancel   context.CancelFunc
	carrier  *Carrier
	outcomes []Outcome
	// first is when the oldest outcome came.
	first  time.Time
	waiter *collect
}

// NewAgent returns an agent that has not started; its calls end with ctx. start
// runs its duties.
func NewAgent(ctx context.Context, command fleet.Commander, c clock.Clock, log *logging.Logger, start func(...duty.Runner)) *Agent {
	a := &Agent{ctx: ctx, command: command, clock: c, log: log, start: start, cancel: func() {}}
	a.Duty = duty.New("agent", agentRing, duty.HandlerFunc[agentMessage](a.handle))
	return a
}

// Register offers the agent to peers.
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
		due = a.first.Add(gatherTime)
	}
	if left := due.Sub(a.clock.Now()); left > 0 {
		return left
	}
	a.waiter.reply <- collected{outcomes: a.outcomes}
	a.waiter, a.outcomes = nil, nil
	return duty.Never
}

// follow takes the commands of an epoch; those of an earlier one are given up.
func (a *Agent) follow(epoch uint64) bool {
	if epoch < a.epoch {
		return false
	}
	if epoch == a.epoch {
		return true
	}
	a.cancel()
	a.epoch, a.outcomes = epoch, nil
	var ctx context.Context
	ctx, a.cancel = context.WithCancel(a.ctx)
	a.carrier = NewCarrier(ctx, a.command, func(d duty.Runner) {
		context.AfterFunc(ctx, d.Stop)
		a.start(d)
	}, func(d Done) {
		// The agent's ring is closed only when the process stops.
		_ = a.Put(a.ctx, doneMessage{epoch: epoch, done: d})
	})
	a.log.Info("agent_follows", slog.Uint64("epoch", epoch))
	return true
}

func (a *Agent) add(o Outcome) {
	if len(a.outcomes) == 0 {
		a.first = a.clock.Now()
	}
	if len(a.outcomes) < maxOutcomes {
		a.outcomes = append(a.outcomes, o)
	}
}

// batchMessage are commands to be carried.
type batchMessage struct {
	Batch
	reply chan error
}

func (m batchMessage) apply(a *Agent) {
	if !a.follow(m.Epoch) {
		m.reply <- errOvertaken
		return
	}
	for _, e := range m.Commands {
		if !a.carrier.Carry(e) {
			a.add(Outcome{ID: e.ID, Code: Refused, Reason: "too many calls are under way"})
		}
	}
	m.reply <- nil
}

// doneMessage says that a call has ended.
type doneMessage struct {
	epoch uint64
	done  Done
}

func (m doneMessage) apply(a *Agent) {
	if m.epoch == a.epoch {
		a.carrier.Settle(m.done)
		a.add(m.done.Outcome)
	}
}

type collected struct {
	outcomes []Outcome
	err      error
}

// collect waits for outcomes.
type collect struct {
	epoch uint64
	until time.Time
	reply chan collected
}

func (m *collect) apply(a *Agent) {
	if !a.follow(m.epoch) {
		m.reply <- collected{err: errOvertaken}
		return
	}
	if a.waiter != nil {
		a.waiter.reply <- collected{}
	}
	a.waiter = m
}

// service is the net/rpc service.
type service struct{ agent *Agent }

// Send takes a batch of commands.
func (s *service) Send(batch Batch, _ *Empty) error {
	m := batchMessage{Batch: batch, reply: make(chan error, 1)}
	if err := s.agent.Put(s.agent.ctx, m); err != nil {
		return err
	}
	return <-m.reply
}

// Collect waits for outcomes.
func (s *service) Collect(r Request, reply *Reply) error {
	m := &collect{epoch: r.Epoch, until: s.agent.clock.Now().Add(r.Wait), reply: make(chan collected, 1)}
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
