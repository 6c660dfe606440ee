// Package process runs the life cycle of a daemon by the chart process.scxml:
// starting, ready, draining, stopped. SIGTERM and SIGINT start the drain; a
// second signal does not shorten it. Components whose work has to end before the
// process may stop register a drainer. The package also serves the admin pages.
package process

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/logging"
)

// ringSize is the capacity of the life cycle's ring. Signals, drainers and the
// setup code send so few events that it does not fill; if it did, a sender would
// wait.
const ringSize = 64

// ErrDrainTimeout is returned by Run when a drainer took longer than allowed.
var ErrDrainTimeout = eris.New("drain timeout")

// Drainer finishes the work of one component for its clients. It returns when
// stopping interrupts none of it, or when ctx ends.
type Drainer func(ctx context.Context)

// Process is the life cycle of a daemon.
type Process struct {
	log          *logging.Logger
	clock        clock.Clock
	drainTimeout time.Duration
	group        *duty.Group
	// limiter limits the open requests at the ports for pages; nil for no limits.
	limiter   *httpserve.Limiter
	lifecycle *duty.Duty[message]
	cancel    context.CancelFunc
	// terminated ends with the first SIGTERM or SIGINT. sighups holds a SIGHUP until
	// it is handled. stopSignals restores the default handling.
	terminated  context.Context
	sighups     chan os.Signal
	stopSignals func()

	// ready is written by the lifecycle duty and read by HTTP handlers.
	ready atomic.Bool

	// The fields below are set before Run and then used by the lifecycle duty
	// only; reloadFuncs is read by the goroutine that handles SIGHUP.
	state             chart.State
	drainers          []Drainer
	stopFuncs         []func()
	reloadFuncs       []func()
	remainingDrainers int
	deadline          time.Time
	drainTimedOut     bool
}

// message is an event of the life cycle.
type message struct{ event chart.Event }

// New returns a process that has not started. Drainers may take drainTimeout. From
// now on signals are kept for Run, so that none ends the process while it is set up
// and may serve already.
func New(log *logging.Logger, c clock.Clock, drainTimeout time.Duration) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		log:          log,
		clock:        c,
		drainTimeout: drainTimeout,
		group:        duty.NewGroup(ctx),
		cancel:       cancel,
		sighups:      make(chan os.Signal, 1),
	}
	p.terminated, p.stopSignals = signal.NotifyContext(p.group.Context(), syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(p.sighups, syscall.SIGHUP)
	p.lifecycle = duty.New("process", ringSize, duty.HandlerFunc[message](p.handle))
	machine.Start(&p.state, p)
	return p
}

// Limit sets the limits on open requests at the ports for pages, and the memory limit of
// the Go runtime: the limits on open requests bound what is live, which the runtime collects
// in time. It is called before ServeAdmin and ServePages.
func (p *Process) Limit(l *httpserve.Limiter) {
	p.limiter = l
	debug.SetMemoryLimit(l.HeapBytes())
}

// Group returns the group of the process's duties.
func (p *Process) Group() *duty.Group { return p.group }

// Start runs the duties until the process stops. It is called before Run; the
// duties are stopped in the reverse order.
func (p *Process) Start(duties ...duty.Runner) {
	p.group.Start(duties...)
	for _, d := range duties {
		p.stopFuncs = append(p.stopFuncs, d.Stop)
	}
}

// OnDrain registers a drainer. It is called before Run.
func (p *Process) OnDrain(d Drainer) { p.drainers = append(p.drainers, d) }

// Configured reports to the life cycle that the process can serve.
func (p *Process) Configured() { p.send(evConfigured) }

// Terminate starts the drain, as SIGTERM does.
func (p *Process) Terminate() { p.send(evTerminate) }

// Ready reports whether the process accepts new work.
func (p *Process) Ready() bool { return p.ready.Load() }

// OnReload registers a handler of SIGHUP. It is called before Run; without
// handlers SIGHUP has no effect.
func (p *Process) OnReload(reload func()) { p.reloadFuncs = append(p.reloadFuncs, reload) }

// serveReloads calls the registered handlers at each SIGHUP until the process
// stops.
func (p *Process) serveReloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.sighups:
			for _, reload := range p.reloadFuncs {
				reload()
			}
		}
	}
}

// Run runs the process until it stops and returns the first error of its duties,
// or ErrDrainTimeout.
func (p *Process) Run() error {
	defer p.stopSignals()
	defer signal.Stop(p.sighups)
	defer context.AfterFunc(p.terminated, p.Terminate)()
	p.group.Serve(p.serveReloads)
	p.group.Start(p.lifecycle)
	if err := p.group.Wait(); err != nil {
		return err
	}
	if p.drainTimedOut {
		return ErrDrainTimeout
	}
	return nil
}

func (p *Process) send(event chart.Event) {
	// Put fails only when the ring is closed, after the process has stopped.
	// Events have no effect then.
	_ = p.lifecycle.Put(context.Background(), message{event: event})
}

// handle fires the events in the batch and, when the drain timeout has passed, the
// event drain_timeout. It returns the time until the drain timeout.
func (p *Process) handle(batch []message) time.Duration {
	for _, m := range batch {
		p.fire(m.event)
	}
	if p.deadline.IsZero() {
		return duty.Never
	}
	remaining := p.deadline.Sub(p.clock.Now())
	if remaining <= 0 {
		p.drainTimedOut = true
		p.deadline = time.Time{}
		p.fire(evDrainTimeout)
	}
	return remaining
}

func (p *Process) fire(event chart.Event) {
	if machine.Fire(&p.state, event, p) {
		p.log.Info("process_state", stateAttr(machine.Name(p.state)))
	}
}
