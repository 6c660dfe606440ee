package planner

import (
	"math"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// failuresToQuarantine is how many tasks in a row have to fail for the
	// first time on an endpoint before it gets no more: tasks that fail by
	// their own fault rarely follow each other on one endpoint.
	failuresToQuarantine = 3
	// quarantineBase is the first quarantine; it doubles up to quarantineMax.
	quarantineBase = 2 * time.Second
	quarantineMax  = 16 * time.Second
	// refusalPause keeps starts from an endpoint that has just refused one.
	refusalPause = 300 * time.Millisecond
)

// endpoint is an endpoint with what runs there.
type endpoint struct {
	fleet.Endpoint
	state chart.State
	runs  map[*run]bool
	// used is what runs take. free is the room that nothing takes now, planned
	// the room once reservations are used and stops are done.
	used, free, planned model.Resources
	// freedAt is the planner's count of freed room when some was freed here.
	freedAt uint64
	// strangers says that it runs something of unknown size.
	strangers bool
	// failures counts tasks in a row that failed; quarantines the quarantines
	// in a row; barred is when it may be given work again.
	failures, quarantines int
	barred                time.Time
	pace                  pace
}

var endpointsChart *chart.Machine[endpoint]

var evAnswered, evSilent, evEndpointLapse chart.Event

var endpointListed, endpointLapsed chart.State

func init() {
	endpointsChart = chart.MustBind(charts.MustLoad("cell_endpoint"),
		chart.Guards[endpoint]{},
		chart.Actions[endpoint]{"end_runs": func(e *endpoint) { e.endRuns(evLapse) }})
	evAnswered = endpointsChart.MustEvent("answered")
	evSilent = endpointsChart.MustEvent("silent")
	evEndpointLapse = endpointsChart.MustEvent("lapse")
	endpointListed = endpointsChart.MustState("listed")
	endpointLapsed = endpointsChart.MustState("lapsed")
}

// SetEndpoint takes a registry entry.
func (p *Planner) SetEndpoint(info fleet.Endpoint) {
	e := p.endpoints[info.ID]
	if e == nil {
		e = p.addEndpoint(info)
	}
	born := e.Born
	e.setInfo(info)
	e.Born = max(born, info.Born)
	if info.Born > born && born > 0 {
		e.reborn()
	}
	p.noteFreed(e)
	p.dirty = true
}

func (p *Planner) addEndpoint(info fleet.Endpoint) *endpoint {
	e := &endpoint{runs: map[*run]bool{}}
	e.setInfo(info)
	endpointsChart.Start(&e.state, e)
	p.endpoints[info.ID] = e
	p.sorted = nil
	return e
}

// Silent says that the endpoint does not answer.
func (p *Planner) Silent(id model.EndpointID) { p.fireEndpoint(id, evSilent) }

// Lapsed says that the endpoint's lease has ended for certain.
func (p *Planner) Lapsed(id model.EndpointID) { p.fireEndpoint(id, evEndpointLapse) }

// RemoveEndpoint forgets an endpoint with nothing running. It reports whether
// it has.
func (p *Planner) RemoveEndpoint(id model.EndpointID) bool {
	e := p.endpoints[id]
	if e == nil {
		return true
	}
	if e.state != endpointLapsed || len(e.runs) > 0 {
		return false
	}
	delete(p.endpoints, id)
	p.sorted = nil
	return true
}

func (p *Planner) fireEndpoint(id model.EndpointID, event chart.Event) {
	if e := p.endpoints[id]; e != nil {
		endpointsChart.Fire(&e.state, event, e)
	}
	p.dirty = true
}

// listed notes that the endpoint has answered. One that has started anew runs
// nothing of before.
func (e *endpoint) listed(p *Planner, born int64) {
	if e.state != endpointListed {
		p.noteFreed(e)
	}
	if born > e.Born {
		if e.Born > 0 {
			e.reborn()
		}
		e.Born = born
	}
	endpointsChart.Fire(&e.state, evAnswered, e)
}

func (e *endpoint) reborn() {
	e.failures, e.quarantines, e.barred, e.pace = 0, 0, time.Time{}, pace{}
	e.endRuns(evReborn)
}

func (e *endpoint) endRuns(event runEvent) {
	for _, r := range e.runList() {
		r.fire(event)
	}
}

// runList returns the endpoint's runs in the order of their names.
func (e *endpoint) runList() []*run {
	list := make([]*run, 0, len(e.runs))
	for r := range e.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, k int) bool { return lessRun(list[i], list[k]) })
	return list
}

func lessRun(a, b *run) bool {
	if a.id.Task != b.id.Task {
		return a.id.Task.String() < b.id.Task.String()
	}
	return a.id.Number < b.id.Number
}

func (e *endpoint) add(r *run) {
	e.runs[r] = true
	e.planned = e.planned.Sub(r.size)
}

func (e *endpoint) dispatched(r *run) {
	e.used = e.used.Add(r.size)
	e.free = e.free.Sub(r.size)
}

// countLeaving notes whether the run's room will be free before long.
func (e *endpoint) countLeaving(r *run, leaving bool) {
	if r.leaving == leaving {
		return
	}
	r.leaving = leaving
	if leaving {
		e.planned = e.planned.Add(r.size)
	} else {
		e.planned = e.planned.Sub(r.size)
	}
}

func (e *endpoint) remove(r *run) {
	delete(e.runs, r)
	e.used = e.used.Sub(r.size)
	e.free = e.free.Add(r.size)
	e.planned = e.planned.Add(r.size)
}

// setInfo takes a registry entry.
func (e *endpoint) setInfo(info fleet.Endpoint) {
	grown := info.Capacity.Sub(e.Capacity)
	e.Endpoint = info
	e.free = e.free.Add(grown)
	e.planned = e.planned.Add(grown)
}

// noteFreed says that something may have become placeable on the endpoint.
func (p *Planner) noteFreed(e *endpoint) {
	p.freed++
	e.freedAt = p.freed
}

// usable reports whether starts may be sent to the endpoint.
func (e *endpoint) usable() bool {
	return e.state == endpointListed && !e.Leaving && !e.strangers
}

// suits reports whether the step may run on the endpoint at all.
func (p *Planner) suits(s *step, e *endpoint) bool {
	queue := p.queueOf(s.job)
	if queue == nil || e.Service != queue.Service || p.evacuated[e.Domain] {
		return false
	}
	if s.Label != "" && !e.HasLabel(s.Label) {
		return false
	}
	return e.usable() && !p.now.Before(e.barred)
}

// sizeFits reports whether free takes size; room that a size doesn't ask for
// may be negative.
func sizeFits(size, free model.Resources) bool {
	for i, amount := range size {
		if amount > 0 && amount > free[i] {
			return false
		}
	}
	return true
}

// slots returns how many tasks of the size fit into free.
func slots(size, free model.Resources) int {
	n := math.MaxInt32
	for i, amount := range size {
		if amount > 0 {
			n = min(n, int(max(free[i], 0)/amount))
		}
	}
	return n
}

func (e *endpoint) noteSuccess() { e.failures, e.quarantines = 0, 0 }

// noteFailure counts a failed task. first says that the task has not failed
// before: one that fails everywhere says nothing of the endpoint.
func (e *endpoint) noteFailure(p *Planner, first bool) {
	if !first {
		return
	}
	e.failures++
	if e.failures >= failuresToQuarantine {
		e.quarantine(p.now)
	}
}

// quarantine keeps the endpoint from work for a while. The next task there that
// fails starts a longer one.
func (e *endpoint) quarantine(now time.Time) {
	pause := quarantineBase << min(e.quarantines, 8)
	e.barred = now.Add(min(pause, quarantineMax))
	e.quarantines++
	e.failures = failuresToQuarantine - 1
}

// noteRefusal keeps further starts away for a moment; a refused ticket says
// nothing of the endpoint.
func (e *endpoint) noteRefusal(now time.Time, why error) {
	if !eris.Is(why, fleet.ErrTicket) {
		e.barred = later(e.barred, now.Add(refusalPause))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ratio is a moving average.
type ratio struct {
	value float64
	count int
}

func (r *ratio) add(sample float64, window int) {
	r.count = min(r.count+1, window)
	r.value += (sample - r.value) / float64(r.count)
}
