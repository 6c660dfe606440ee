package process

import (
	"context"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

// machine interprets the chart of the life cycle. It is bound in init, since its
// actions themselves send events of the chart.
var machine *chart.Machine[Process]

// The events of the life cycle.
var evConfigured, evTerminate, evDrained, evDrainTimeout chart.Event

func init() {
	machine = chart.MustBind(charts.MustLoad("process"),
		chart.Guards[Process]{"others_draining": (*Process).othersDraining},
		chart.Actions[Process]{
			"report_ready":   func(p *Process) { p.ready.Store(true) },
			"report_unready": func(p *Process) { p.ready.Store(false) },
			"begin_drain":    (*Process).beginDrain,
			"count_drained":  func(p *Process) { p.remainingDrainers-- },
			"stop_duties":    (*Process).stopDuties,
		})
	evConfigured = machine.MustEvent("configured")
	evTerminate = machine.MustEvent("terminate")
	evDrained = machine.MustEvent("drained")
	evDrainTimeout = machine.MustEvent("drain_timeout")
}

// othersDraining reports whether other drainers still run when one has ended.
func (p *Process) othersDraining() bool { return p.remainingDrainers > 1 }

// beginDrain runs all drainers concurrently; each sends the event drained when it
// returns.
func (p *Process) beginDrain() {
	p.deadline = p.clock.Now().Add(p.drainTimeout)
	// The empty drainer makes the chart receive the event drained even when no
	// other drainer is registered.
	drainers := append(p.drainers, func(context.Context) {})
	p.remainingDrainers = len(drainers)
	for _, drain := range drainers {
		p.group.Serve(func(ctx context.Context) error {
			drainCtx, cancel := context.WithTimeout(ctx, p.drainTimeout)
			defer cancel()
			drain(drainCtx)
			p.send(evDrained)
			return nil
		})
	}
}

// stopDuties cancels the served calls and stops the duties, the last started
// first. Each duty still processes the messages in its ring.
func (p *Process) stopDuties() {
	p.deadline = time.Time{}
	p.cancel()
	for i := len(p.stopFuncs) - 1; i >= 0; i-- {
		p.stopFuncs[i]()
	}
	p.lifecycle.Stop()
}

func stateAttr(name string) slog.Attr { return slog.String("state", name) }
