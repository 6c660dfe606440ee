// Package process runs the life cycle of a daemon, as process.scxml has it:
// starting, ready, draining, stopped. SIGTERM and SIGINT start the drain; a
// second one does not hurry it. What has to end before the process may stop
// registers a drainer.
package process

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
)

// ringSize is the capacity of the life cycle's ring. Its writers are signals,
// drainers and the wiring, each once, so that it does not fill; they push back.
const ringSize = 64

// ErrDrainTimeout is returned by Run when a drainer took longer than allowed.
var ErrDrainTimeout = eris.New("drain timeout")

// Drainer ends one part's work for others: it returns when nothing is cut off
// by stopping, or when ctx ends.
type Drainer func(ctx context.Context)

// Process is the life cycle of a daemon.
type Process struct {
	log          *logging.Logger
	clock        clock.Clock
	drainTimeout time.Duration
	group        *duty.Group
	life         *duty.Duty[message]
	cancel       context.CancelFunc

	// ready is written by the life cycle's duty and read by HTTP handlers.
	ready atomic.Bool

	// The fields below are set before Run and then belong to the life cycle's
	// duty.
	state    chart.State
	drainers []Drainer
	stoppers []func()
	reloads  []func()
	left     int
	deadline time.Time
	overdue  bool
}

// message is an event of the life cycle.
type message struct{ event chart.Event }

// New returns a process that has not started. Drainers get drainTimeout.
func New(log *logging.Logger, c clock.Clock, drainTimeout time.Duration) *Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Process{
		log:          log,
		clock:        c,
		drainTimeout: drainTimeout,
		group:        duty.NewGroup(ctx),
		cancel:       cancel,
	}
	p.life = duty.New("process", ringSize, duty.HandlerFunc[message](p.handle))
	machine.Start(&p.state, p)
	return p
}

// Group returns the group of the process's duties.
func (p *Process) Group() *duty.Group { return p.group }

// Start runs the duties until the process stops. It is called before Run; the
// duties are stopped in the reverse order.
func (p *Process) Start(duties ...duty.Runner) {
	p.group.Start(duties...)
	for _, d := range duties {
		p.stoppers = append(p.stoppers, d.Stop)
	}
}

// OnDrain registers a drainer. It is called before Run.
func (p *Process) OnDrain(d Drainer) { p.drainers = append(p.drainers, d) }

// Configured says that the process can serve.
func (p *Process) Configured() { p.send(evConfigured) }

// Terminate starts the drain, as SIGTERM does.
func (p *Process) Terminate() { p.send(evTerminate) }

// Ready reports whether the process takes new work.
func (p *Process) Ready() bool { return p.ready.Load() }

// OnReload registers what SIGHUP does. It is called before Run; without it
// SIGHUP has no effect.
func (p *Process) OnReload(reload func()) { p.reloads = append(p.reloads, reload) }

// serveReloads reloads the settings at each SIGHUP until the process stops.
func (p *Process) serveReloads(hangups <-chan os.Signal) func(context.Context) error {
	return func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				for _, reload := range p.reloads {
					reload()
				}
			}
		}
	}
}

// Run runs the process to its end and returns the first error of its duties,
// or ErrDrainTimeout.
func (p *Process) Run() error {
	signals, stop := signal.NotifyContext(p.group.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	defer context.AfterFunc(signals, p.Terminate)()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	p.group.Serve(p.serveReloads(hangups))
	p.group.Start(p.life)
	if err := p.group.Wait(); err != nil {
		return err
	}
	if p.overdue {
		return ErrDrainTimeout
	}
	return nil
}

func (p *Process) send(event chart.Event) {
	// The ring is closed once the process has stopped; events are then moot.
	_ = p.life.Put(context.Background(), message{event: event})
}

// handle is the life cycle's duty.
func (p *Process) handle(batch []message) time.Duration {
	for _, m := range batch {
		p.fire(m.event)
	}
	if p.deadline.IsZero() {
		return duty.Never
	}
	left := p.deadline.Sub(p.clock.Now())
	if left <= 0 {
		p.overdue = true
		p.deadline = time.Time{}
		p.fire(evDrainTimeout)
	}
	return left
}

func (p *Process) fire(event chart.Event) {
	if machine.Fire(&p.state, event, p) {
		p.log.Info("process_state", stateAttr(machine.Name(p.state)))
	}
}
