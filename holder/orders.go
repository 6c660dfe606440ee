package holder

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
)

const (
	// courierLanes is the number of threads that carry orders at first. While
	// all are busy there is one more for each order, up to maxCourierLanes: at
	// 700 starts a second, of which a twentieth get no answer, 14 wait.
	courierLanes    = 12
	maxCourierLanes = 96
	// courierRing is the number of orders that may wait in one lane.
	courierRing = 64
	// orderTimeout bounds an order; endpoints answer within some milliseconds.
	orderTimeout = 400 * time.Millisecond
	// stopRetry is the pause before a stop without an answer is sent again.
	stopRetry = 300 * time.Millisecond
)

// courierOrder is a start or a stop; one of them is set.
type courierOrder struct {
	start *fleet.Start
	stop  *fleet.Stop
}

func (o courierOrder) run() jobs.RunID {
	if o.start != nil {
		return o.start.Run
	}
	return o.stop.Run
}

// courier is a duty that carries orders to endpoints, one at a time.
type courier struct {
	*duty.Duty[courierOrder]
	// underWay counts its orders; it belongs to the deciding duty.
	underWay int
}

func newCourier(h *Holder, c *cell, number int) *courier {
	lane := &courier{}
	lane.Duty = duty.NewCalling("courier"+strconv.Itoa(number), courierRing, duty.HandlerFunc[courierOrder](func(batch []courierOrder) time.Duration {
		for _, order := range batch {
			h.tell(orderMessage{epoch: c.epoch, lane: lane, order: order, err: h.carry(c.ctx, order)})
		}
		return duty.Never
	}))
	return lane
}

// addCourier starts one more lane.
func (h *Holder) addCourier() *courier {
	lane := newCourier(h, h.cell, len(h.cell.couriers))
	h.cell.couriers = append(h.cell.couriers, lane)
	h.cell.start(h, lane)
	return lane
}

// carry makes one call on the courier's thread.
func (h *Holder) carry(parent context.Context, o courierOrder) error {
	ctx, cancel := context.WithTimeout(parent, orderTimeout)
	defer cancel()
	if o.start != nil {
		return h.Command.Start(ctx, *o.start)
	}
	return h.Command.Stop(ctx, *o.stop)
}

// send hands the order to the lane with the fewest orders under way, or to a new
// one. It reports false when all lanes are full.
func (h *Holder) send(order courierOrder) bool {
	best := h.cell.couriers[0]
	for _, lane := range h.cell.couriers {
		if lane.underWay < best.underWay {
			best = lane
		}
	}
	if best.underWay > 0 && len(h.cell.couriers) < maxCourierLanes {
		best = h.addCourier()
	}
	if !best.Offer(order) {
		return false
	}
	best.underWay++
	return true
}

func (h *Holder) orderStart(s planner.Start) {
	if !h.cell.planner.Ordered(s.Run) {
		// It has been stopped while it was being recorded.
		return
	}
	l := h.cell.links[s.Endpoint]
	if l == nil || l.clock == 0 || l.failures > 0 || !h.mayAct() {
		h.cell.planner.Refused(s.Run, fleet.ErrRefused)
		return
	}
	sent := h.send(courierOrder{start: &fleet.Start{
		Target: l.target(), Run: s.Run, Spec: s.Spec, Saved: s.Saved, Ticket: s.Ticket,
		Until: h.lease(l), Epoch: h.cell.epoch,
	}})
	if !sent {
		h.cell.planner.Refused(s.Run, fleet.ErrRefused)
		return
	}
	counts.Add("starts", 1)
	startWaits.Record(string(s.Queue), s.Waited)
	h.Log.Info("run_ordered", slog.String("id", string(s.Run.Task.Job)), slog.String("run", s.Run.String()),
		slog.String("endpoint", string(s.Endpoint)), slog.Duration("waited", s.Waited),
		slog.Duration("listing_age", h.now.Sub(l.clockAt)), slog.Uint64("epoch", h.cell.epoch))
}

func (h *Holder) orderStop(s planner.Stop) {
	l := h.cell.links[s.Endpoint]
	if l == nil || !h.send(courierOrder{stop: &fleet.Stop{Target: l.target(), Run: s.Run, Epoch: h.cell.epoch}}) {
		h.retryStop(s.Run)
		return
	}
	counts.Add("stops", 1)
	h.Log.Info("stop_ordered", slog.String("id", string(s.Run.Task.Job)), slog.String("run", s.Run.String()),
		slog.String("endpoint", string(s.Endpoint)), slog.String("reason", s.Reason))
}

// retry is a stop that is to be sent again.
type retry struct {
	run jobs.RunID
	at  time.Time
}

func (h *Holder) retryStop(run jobs.RunID) {
	h.cell.retries = append(h.cell.retries, retry{run: run, at: h.now.Add(stopRetry)})
}

func (h *Holder) retryStops() {
	c := h.cell
	for len(c.retries) > 0 && !h.now.Before(c.retries[0].at) {
		c.planner.Unanswered(c.retries[0].run)
		c.retries = c.retries[1:]
	}
}

// orderMessage says what came of an order.
type orderMessage struct {
	epoch uint64
	lane  *courier
	order courierOrder
	err   error
}

func (m orderMessage) apply(h *Holder) {
	c := h.cell
	if c == nil || c.epoch != m.epoch {
		return
	}
	m.lane.underWay--
	if eris.Is(m.err, fleet.ErrFenced) {
		h.stepDown("an endpoint follows a later epoch")
		return
	}
	if m.err != nil {
		h.logOrder(m)
	}
	if m.order.start != nil {
		h.startAnswered(m)
	} else {
		h.stopAnswered(m)
	}
}

func (h *Holder) startAnswered(m orderMessage) {
	p, run := h.cell.planner, m.order.run()
	switch {
	case m.err == nil:
		p.Started(run)
	case eris.Is(m.err, fleet.ErrNoAnswer):
		p.Unanswered(run)
	default:
		p.Refused(run, m.err)
	}
}

func (h *Holder) stopAnswered(m orderMessage) {
	p, run := h.cell.planner, m.order.run()
	if m.err == nil {
		p.StopConfirmed(run)
	} else if p.Live(run) {
		h.retryStop(run)
	}
}

func (h *Holder) logOrder(m orderMessage) {
	kind, to := "start", fleet.Target{}
	if m.order.start != nil {
		to = m.order.start.Target
	} else {
		kind, to = "stop", m.order.stop.Target
	}
	counts.Add(kind+"s_failed", 1)
	h.Log.Warn("order_failed", slog.String("id", string(m.order.run().Task.Job)), slog.String("run", m.order.run().String()),
		slog.String("order", kind), slog.String("endpoint", string(to.ID)), slog.Any("error", m.err))
}
