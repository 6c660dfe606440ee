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
	refusalBackoff = 300 * time.Millisecond
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
	capacitySeq uint64
	// strangers says that it runs something of unknown size.
	unknownRuns bool
	// failures counts tasks in a row that failed; quarantines the quarantines
	// in a row; barred is when it may be given work again.
	failures, quarantines int
	excludedUntil         time.Time
	runTimeRatio          runTimeRatio
}

var endpointsChart *chart.Machine[endpoint]

var evEndpointResponded, evEndpointNoResponse, evEndpointLapse chart.Event

var endpointListed, endpointLapsed chart.State

func init() {
	endpointsChart = chart.MustBind(charts.MustLoad("cell_endpoint"),
		chart.Guards[endpoint]{},
		chart.Actions[endpoint]{"end_runs": func(e *endpoint) { e.endRuns(evLapse) }})
	evEndpointResponded = endpointsChart.MustEvent("responded")
	evEndpointNoResponse = endpointsChart.MustEvent("no_response")
	evEndpointLapse = endpointsChart.MustEvent("lapse")
	endpointListed = endpointsChart.MustState("listed")
	endpointLapsed = endpointsChart.MustState("lapsed")
}

// SetEndpoint takes a registry entry.
func (p *Planner) SetEndpoint(entry fleet.Endpoint) {
	e := p.endpoints[entry.ID]
	if e == nil {
		e = p.addEndpoint(entry)
	}
	startedAt := e.Born
	e.setEntry(entry)
	e.Born = max(startedAt, entry.Born)
	if entry.Born > startedAt && startedAt > 0 {
		e.handleRestart()
	}
	p.markFreed(e)
	p.dirty = true
}

func (p *Planner) addEndpoint(entry fleet.Endpoint) *endpoint {
	e := &endpoint{runs: map[*run]bool{}}
	e.setEntry(entry)
	endpointsChart.Start(&e.state, e)
	p.endpoints[entry.ID] = e
	p.sortedByName = nil
	return e
}

// Silent says that the endpoint does not answer.
func (p *Planner) Silent(id model.EndpointID) { p.fireEndpoint(id, evEndpointNoResponse) }

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
	p.sortedByName = nil
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
func (e *endpoint) markListed(p *Planner, startedAt int64) {
	if e.state != endpointListed {
		p.markFreed(e)
	}
	if startedAt > e.Born {
		if e.Born > 0 {
			e.handleRestart()
		}
		e.Born = startedAt
	}
	endpointsChart.Fire(&e.state, evEndpointResponded, e)
}

func (e *endpoint) handleRestart() {
	e.failures, e.quarantines, e.excludedUntil, e.runTimeRatio = 0, 0, time.Time{}, runTimeRatio{}
	e.endRuns(evRestarted)
}

func (e *endpoint) endRuns(event runEvent) {
	for _, r := range e.sortedRuns() {
		r.fire(event)
	}
}

// runList returns the endpoint's runs in the order of their names.
func (e *endpoint) sortedRuns() []*run {
	list := make([]*run, 0, len(e.runs))
	for r := range e.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, k int) bool { return runLess(list[i], list[k]) })
	return list
}

func runLess(a, b *run) bool {
	if a.id.Task != b.id.Task {
		return a.id.Task.String() < b.id.Task.String()
	}
	return a.id.Number < b.id.Number
}

func (e *endpoint) addRun(r *run) {
	e.runs[r] = true
	e.planned = e.planned.Sub(r.size)
}

func (e *endpoint) markDispatched(r *run) {
	e.used = e.used.Add(r.size)
	e.free = e.free.Sub(r.size)
}

// countLeaving notes whether the run's room will be free before long.
func (e *endpoint) updateReleasing(r *run, releasing bool) {
	if r.releasing == releasing {
		return
	}
	r.releasing = releasing
	if releasing {
		e.planned = e.planned.Add(r.size)
	} else {
		e.planned = e.planned.Sub(r.size)
	}
}

func (e *endpoint) removeRun(r *run) {
	delete(e.runs, r)
	e.used = e.used.Sub(r.size)
	e.free = e.free.Add(r.size)
	e.planned = e.planned.Add(r.size)
}

// setInfo takes a registry entry.
func (e *endpoint) setEntry(entry fleet.Endpoint) {
	added := entry.Capacity.Sub(e.Capacity)
	e.Endpoint = entry
	e.free = e.free.Add(added)
	e.planned = e.planned.Add(added)
}

// noteFreed says that something may have become placeable on the endpoint.
func (p *Planner) markFreed(e *endpoint) {
	p.capacitySeq++
	e.capacitySeq = p.capacitySeq
}

// usable reports whether starts may be sent to the endpoint.
func (e *endpoint) usable() bool {
	return e.state == endpointListed && !e.Leaving && !e.unknownRuns
}

// suits reports whether the step may run on the endpoint at all.
func (p *Planner) canRun(s *step, e *endpoint) bool {
	queue := p.queueOf(s.job)
	if queue == nil || e.Service != queue.Service || p.evacuated[e.Domain] {
		return false
	}
	if s.Label != "" && !e.HasLabel(s.Label) {
		return false
	}
	return e.usable() && !p.now.Before(e.excludedUntil)
}

// sizeFits reports whether free takes size; room that a size doesn't ask for
// may be negative.
func fits(size, free model.Resources) bool {
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

func (e *endpoint) recordSuccess() { e.failures, e.quarantines = 0, 0 }

// noteFailure counts a failed task. first says that the task has not failed
// before: one that fails everywhere says nothing of the endpoint.
func (e *endpoint) recordFailure(p *Planner, first bool) {
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
	duration := quarantineBase << min(e.quarantines, 8)
	e.excludedUntil = now.Add(min(duration, quarantineMax))
	e.quarantines++
	e.failures = failuresToQuarantine - 1
}

// noteRefusal keeps further starts away for a moment; a refused ticket says
// nothing of the endpoint.
func (e *endpoint) recordRefusal(now time.Time, err error) {
	if !eris.Is(err, fleet.ErrTicket) {
		e.excludedUntil = later(e.excludedUntil, now.Add(refusalBackoff))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ratio is a moving average.
type movingAverage struct {
	value float64
	count int
}

func (r *movingAverage) add(sample float64, window int) {
	r.count = min(r.count+1, window)
	r.value += (sample - r.value) / float64(r.count)
}
