package process

import (
	"context"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

// machine is the chart of the life cycle. It is bound by init, since its
// actions send events of the chart themselves.
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
			"count_drained":  func(p *Process) { p.left-- },
			"stop_duties":    (*Process).stopDuties,
		})
	evConfigured = machine.MustEvent("configured")
	evTerminate = machine.MustEvent("terminate")
	evDrained = machine.MustEvent("drained")
	evDrainTimeout = machine.MustEvent("drain_timeout")
}

// othersDraining is asked when one drainer has ended.
func (p *Process) othersDraining() bool { return p.left > 1 }

// beginDrain runs all drainers side by side; each reports its own end.
func (p *Process) beginDrain() {
	p.deadline = p.clock.Now().Add(p.drainTimeout)
	// A drainer of the process itself makes the chart see an end even when
	// nothing else is registered.
	drainers := append(p.drainers, func(context.Context) {})
	p.left = len(drainers)
	for _, drain := range drainers {
		p.group.Serve(func(ctx context.Context) error {
			bounded, cancel := context.WithTimeout(ctx, p.drainTimeout)
			defer cancel()
			drain(bounded)
			p.send(evDrained)
			return nil
		})
	}
}

// stopDuties lets every duty work off its ring and end, the last started
// first, and ends the served calls.
func (p *Process) stopDuties() {
	p.deadline = time.Time{}
	p.cancel()
	for i := len(p.stoppers) - 1; i >= 0; i-- {
		p.stoppers[i]()
	}
	p.life.Stop()
}

func stateAttr(name string) slog.Attr { return slog.String("state", name) }
