package planner

import (
	"cmp"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// failuresToQuarantine is the number of tasks in a row, each failing for
	// the first time, after which an endpoint is quarantined. Tasks that fail
	// through their own fault rarely follow each other on one endpoint.
	failuresToQuarantine = 3
	// quarantineBase is the length of the first quarantine; it doubles up to
	// quarantineMax.
	quarantineBase = 2 * time.Second
	quarantineMax  = 16 * time.Second
	// maxProbeTime is the upper bound of the time in which a start is recorded, sent and
	// answered.
	maxProbeTime = 1500 * time.Millisecond
	// refusalBackoff is how long an endpoint that refused a start gets no
	// further ones.
	refusalBackoff = 300 * time.Millisecond
)

// endpoint is an endpoint with its runs.
type endpoint struct {
	fleet.Endpoint
	// entryBorn is the start time in the registry entry, of which the rest of Endpoint
	// comes. Born is that of the latest incarnation that is known.
	entryBorn int64
	state     chart.State
	runs      map[*run]bool
	// runChanges counts the changes of the runs and of their states. preemptible caches
	// the runs that may be stopped, for each priority.
	runChanges  uint64
	preemptible []preemptibleRuns
	// used is the capacity that dispatched runs take, committed what runs and
	// reservations take once all stops are done. free and planned are what
	// these leave of the capacity; they are negative after the capacity has
	// shrunk below them.
	used, committed, free, planned model.Resources
	// capacitySeq is the planner's capacitySeq when capacity was last freed
	// on this endpoint.
	capacitySeq uint64
	// unknownRuns is set while the endpoint lists unknown runs, whose size is
	// not known.
	unknownRuns bool
	// failures counts the tasks that failed in a row, quarantines the
	// quarantines in a row. Until excludedUntil the endpoint gets no work.
	failures, quarantines int
	excludedUntil         time.Time
	// replaced is set while another endpoint responds at its address.
	replaced bool
	// Until avoidUntil the endpoint gets only steps that no other one can run. stalls
	// counts in a row how often it was avoided because runs were stuck, last at stalledAt.
	avoidUntil time.Time
	stalls     int
	stalledAt  time.Time
	// unansweredAt is when the last unanswered start was sent, listedFrom when the
	// last listing was requested. respondedAt is when the endpoint last returned from a
	// state in which it got no work, silenceEndedAt when it last listed its runs again.
	unansweredAt, listedFrom, respondedAt, silenceEndedAt time.Time
	runTimeRatio                                          runTimeRatio
	// runSlowdown is the slowdown that the runs' progress shows, endedSlowdown the part
	// of ended runs.
	runSlowdown, endedSlowdown slowdownAverage
	// slowdownChanged is set if a run has ended since runSlowdown was derived.
	slowdownChanged bool
}

var endpointsChart *chart.Machine[endpoint]

var (
	evEndpointResponded, evEndpointNoResponse, evEndpointLapse     chart.Event
	evEndpointUnanswered, evEndpointConfirmed, evEndpointRestarted chart.Event
	endpointSuspect, endpointLapsed                                chart.State
	// usableStates are the states in which starts may be sent, probedStates those of them
	// in which no start has been confirmed since one was unanswered. In unlistedStates no
	// listing has arrived since the last request for one.
	usableStates, probedStates, unlistedStates chart.StateSet
)

func init() {
	endpointsChart = chart.MustBind(charts.MustLoad("cell_endpoint"),
		chart.Guards[endpoint]{"listed_since_start": func(e *endpoint) bool { return !e.listedFrom.Before(e.unansweredAt) }},
		chart.Actions[endpoint]{
			"end_runs": func(e *endpoint) { e.endRuns(evLapse) },
			"avoid":    func(e *endpoint) { e.avoidUntil = later(e.avoidUntil, e.unansweredAt.Add(quarantineBase)) },
		})
	evEndpointResponded = endpointsChart.MustEvent("responded")
	evEndpointNoResponse = endpointsChart.MustEvent("silent")
	evEndpointLapse = endpointsChart.MustEvent("lapse")
	evEndpointUnanswered = endpointsChart.MustEvent("unanswered")
	evEndpointConfirmed = endpointsChart.MustEvent("confirmed")
	evEndpointRestarted = endpointsChart.MustEvent("restarted")
	endpointSuspect = endpointsChart.MustState("suspect")
	endpointLapsed = endpointsChart.MustState("lapsed")
	usableStates = endpointsChart.MustSet("listed", "probing", "suspect")
	probedStates = endpointsChart.MustSet("probing", "suspect")
	unlistedStates = endpointsChart.MustSet("unseen", "silent", "lapsed")
}

// SetEndpoint applies a registry entry. An entry with a later start time
// means that the endpoint has restarted.
func (p *Planner) SetEndpoint(entry fleet.Endpoint) {
	e := p.endpoints[entry.ID]
	if e == nil {
		e = p.addEndpoint(entry)
	}
	startedAt := e.Born
	e.setEntry(entry)
	p.updateLargest(e)
	e.Born = max(startedAt, entry.Born)
	if entry.Born > startedAt && startedAt > 0 {
		p.handleRestart(e)
	}
	p.reviewLosses(e.ID, entry.Born, false)
	p.markFreed(e)
	p.dirty = true
}

func (p *Planner) addEndpoint(entry fleet.Endpoint) *endpoint {
	e := &endpoint{runs: map[*run]bool{}}
	e.setEntry(entry)
	endpointsChart.Start(&e.state, e)
	p.endpoints[entry.ID] = e
	p.sortedByName = nil
	p.endpointChanges++
	return e
}

// EndpointUnresponsive handles an endpoint that does not respond.
func (p *Planner) EndpointUnresponsive(id model.EndpointID) {
	if e := p.endpoints[id]; e != nil {
		e.markRunsSilent(p.now)
	}
	p.fireEndpoint(id, evEndpointNoResponse)
}

// markRunsSilent records when the endpoint stopped responding after it had last listed a run.
func (e *endpoint) markRunsSilent(now time.Time) {
	for r := range e.runs {
		if r.silentAt.IsZero() && !r.sentAt.IsZero() {
			r.silentAt = now
		}
	}
}

// EndpointLapsed handles the end of an endpoint's lease. The caller must be certain
// that it has lapsed.
func (p *Planner) EndpointLapsed(id model.EndpointID) { p.fireEndpoint(id, evEndpointLapse) }

// EndpointReplaced handles an endpoint at whose address another one responds: its
// incarnation has ended.
func (p *Planner) EndpointReplaced(id model.EndpointID) {
	if e := p.endpoints[id]; e != nil {
		e.replaced = true
	}
	p.fireEndpoint(id, evEndpointLapse)
	p.confirmCrashes(id)
}

// ExcludeEndpoint keeps work from the endpoint until the given time.
func (p *Planner) ExcludeEndpoint(id model.EndpointID, until time.Time) {
	if e := p.endpoints[id]; e != nil {
		e.excludedUntil = later(e.excludedUntil, until)
	}
}

// RemoveEndpoint removes an endpoint that has lapsed and has no runs, unless it may still be
// shown to have crashed. It reports whether the endpoint is removed.
func (p *Planner) RemoveEndpoint(id model.EndpointID) bool {
	e := p.endpoints[id]
	if e == nil {
		return true
	}
	if e.state != endpointLapsed || len(e.runs) > 0 || p.awaitsEvidence(id) {
		return false
	}
	delete(p.endpoints, id)
	p.sortedByName = nil
	p.endpointChanges++
	return true
}

func (p *Planner) fireEndpoint(id model.EndpointID, event chart.Event) {
	if e := p.endpoints[id]; e != nil {
		endpointsChart.Fire(&e.state, event, e)
	}
	p.dirty = true
}

// markListed handles a listing of the endpoint's incarnation that started at
// startedAt, requested at requestedAt. A restarted endpoint runs nothing of its
// previous incarnation.
func (e *endpoint) markListed(p *Planner, startedAt int64, requestedAt time.Time) {
	before := e.state
	if startedAt != e.Born && startedAt > 0 {
		restarted := e.Born > 0
		e.Born = startedAt
		if restarted {
			p.handleRestart(e)
		}
	}
	e.listedFrom, e.replaced = requestedAt, false
	p.reviewLosses(e.ID, startedAt, true)
	endpointsChart.Fire(&e.state, evEndpointResponded, e)
	if unlistedStates.Has(before) {
		e.silenceEndedAt = p.now
	}
	if e.state != before {
		e.respondedAt = p.now
		p.markFreed(e)
	}
}

// recordUnanswered records that a start got no response. Starts that were sent before
// the endpoint last returned belong to a silence that has ended.
func (e *endpoint) recordUnanswered(sentAt time.Time) {
	if sentAt.Before(e.respondedAt) {
		return
	}
	e.unansweredAt = later(e.unansweredAt, sentAt)
	endpointsChart.Fire(&e.state, evEndpointUnanswered, e)
}

// acceptsStart reports whether a start of the step may be sent now. Until the endpoint
// has confirmed a start, it gets those of one step at a time. A start that is not sent
// within maxProbeTime, for lack of a record, does not keep others waiting.
func (e *endpoint) acceptsStart(s *step) bool {
	if !probedStates.Has(e.state) {
		return true
	}
	for r := range e.runs {
		if r.state == runStarting && r.task.step != s && !r.enteredAt.Before(e.respondedAt) &&
			r.task.step.job.p.now.Sub(r.enteredAt) < maxProbeTime {
			return false
		}
	}
	return true
}

func (p *Planner) handleRestart(e *endpoint) {
	e.failures, e.quarantines, e.excludedUntil, e.runTimeRatio = 0, 0, time.Time{}, runTimeRatio{}
	e.avoidUntil, e.stalls, e.stalledAt, e.respondedAt = time.Time{}, 0, time.Time{}, p.now
	endpointsChart.Fire(&e.state, evEndpointRestarted, e)
	e.endRuns(evRestarted)
	// What the runs of the former incarnation showed does not apply to the new one.
	e.runSlowdown, e.endedSlowdown, e.slowdownChanged = slowdownAverage{}, slowdownAverage{}, false
	// Tickets are void after a restart, and the new incarnation may be of another kind.
	for _, s := range p.openSteps() {
		delete(s.advice.requested, e.ID)
		delete(s.advice.eligible, e.ID)
		s.advice.inOrder, s.advice.exhaustedAs = nil, 0
	}
}

func (e *endpoint) endRuns(event runEvent) {
	for _, r := range e.sortedRuns() {
		r.fire(event)
	}
}

// sortedRuns returns the endpoint's runs in the order of their names.
func (e *endpoint) sortedRuns() []*run {
	list := make([]*run, 0, len(e.runs))
	for r := range e.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, k int) bool { return runLess(list[i], list[k]) })
	return list
}

func runLess(a, b *run) bool { return compareRuns(a, b) < 0 }

// compareRuns orders runs by task and number.
func compareRuns(a, b *run) int {
	return cmp.Or(compareTasks(a.task, b.task), cmp.Compare(a.id.Number, b.id.Number))
}

func (e *endpoint) addRun(r *run) {
	e.runs[r] = true
	e.runChanges++
	e.committed = e.committed.Add(r.size)
	e.updateFree()
}

func (e *endpoint) markDispatched(r *run) {
	e.used = e.used.Add(r.size)
	e.updateFree()
}

// updateReleasing records whether the run's capacity will soon be free.
func (e *endpoint) updateReleasing(r *run, releasing bool) {
	if r.releasing == releasing {
		return
	}
	r.releasing = releasing
	if releasing {
		e.committed = e.committed.Sub(r.size)
	} else {
		e.committed = e.committed.Add(r.size)
	}
	e.updateFree()
}

func (e *endpoint) removeRun(r *run) {
	delete(e.runs, r)
	e.runChanges++
	e.used = e.used.Sub(r.size)
	e.committed = e.committed.Sub(r.size)
	e.updateFree()
}

// setEntry applies a registry entry. The capacity in it may differ from that of
// the previous entry while runs are in progress.
func (e *endpoint) setEntry(entry fleet.Endpoint) {
	for i, amount := range entry.Capacity {
		entry.Capacity[i] = min(max(amount, 0), model.MaxAmount)
	}
	e.Endpoint, e.entryBorn = entry, entry.Born
	e.updateFree()
}

func (e *endpoint) updateFree() {
	e.free, e.planned = e.Capacity.Sub(e.used), e.Capacity.Sub(e.committed)
}

// markFreed records that a waiting step may now fit on the endpoint.
func (p *Planner) markFreed(e *endpoint) {
	p.capacitySeq++
	e.capacitySeq = p.capacitySeq
}

// usable reports whether starts may be sent to the endpoint. The entry of a former
// incarnation does not describe it: the new one may have other labels and another capacity.
func (e *endpoint) usable() bool {
	return usableStates.Has(e.state) && !e.Leaving && !e.unknownRuns && (e.entryBorn == 0 || e.entryBorn >= e.Born)
}

func (e *endpoint) recordSuccess() {
	e.failures, e.quarantines, e.stalls, e.avoidUntil = 0, 0, 0, time.Time{}
}

// recordStuck records that a run is stuck whose last progress was at lastProgress. Runs
// that have shown none since the endpoint was last avoided belong to the same stall.
func (e *endpoint) recordStuck(now, lastProgress time.Time) {
	if lastProgress.Before(e.stalledAt) {
		return
	}
	e.avoidUntil = later(e.avoidUntil, now.Add(quarantineTime(e.stalls)))
	e.stalledAt = now
	e.stalls++
}

// recordFailure counts a failed task. first is set when the task has not
// failed before: a task that fails everywhere does not indicate a fault of
// the endpoint.
func (e *endpoint) recordFailure(p *Planner, first bool) {
	if !first {
		return
	}
	e.failures++
	if e.failures >= failuresToQuarantine {
		e.quarantine(p.now)
	}
}

// quarantine excludes the endpoint from work temporarily. The next failed
// task on it starts a longer quarantine.
func (e *endpoint) quarantine(now time.Time) {
	e.excludedUntil = now.Add(quarantineTime(e.quarantines))
	e.quarantines++
	e.failures = failuresToQuarantine - 1
}

// quarantineTime returns the length of a quarantine that follows the given number of
// others.
func quarantineTime(previous int) time.Duration {
	return min(quarantineBase<<min(previous, 8), quarantineMax)
}

// recordRefusal excludes the endpoint for refusalBackoff. A refused ticket
// does not indicate a fault of the endpoint.
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

// movingAverage is the mean of the first samples and then an exponential
// moving average.
type movingAverage struct {
	value float64
	count int
}

func (a *movingAverage) add(sample float64, window int) {
	a.count = min(a.count+1, window)
	a.value += (sample - a.value) / float64(a.count)
}
