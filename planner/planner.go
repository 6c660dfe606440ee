// Package planner decides for the whole cell which task runs where and who
// waits. It is told what happened and the time, and returns a plan; the plan is
// carried out elsewhere. It imports no transport, codec or clock and belongs to
// one duty, so that it needs no locks.
package planner

import (
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// runsPerEpoch parts the run numbers of two holders: a task has far fewer runs
// within one epoch.
const runsPerEpoch = 1000

// Start is a run to be started.
type Start struct {
	Run      jobs.RunID
	Endpoint model.EndpointID
	// Spec, Saved and Ticket go with the order.
	Spec, Saved, Ticket string
	// Queue, Team and Waited are for logs and metrics.
	Queue  jobs.QueueName
	Team   model.TeamName
	Waited time.Duration
}

// Stop is a run to be stopped.
type Stop struct {
	Run      jobs.RunID
	Endpoint model.EndpointID
	// Reason says why, in a few words.
	Reason string
}

// Outcome is the final state of a job.
type Outcome struct {
	Job    jobs.ID
	State  jobs.State
	Reason string
	// Took is the time since it was accepted.
	Took  time.Duration
	Queue jobs.QueueName
	Team  model.TeamName
}

// Plan is what has been decided since the last one was taken.
type Plan struct {
	Starts    []Start
	Stops     []Stop
	Questions []Question
	// Outcomes are jobs whose final state is known.
	Outcomes []Outcome
	// Changed are jobs whose progress has to be recorded.
	Changed []jobs.ID
	// Removed are jobs that have a final state and nothing running.
	Removed []jobs.ID
}

// Planner holds the jobs, endpoints and runs of the cell.
type Planner struct {
	now        time.Time
	wallMillis int64
	epoch      uint64
	catalog    *catalog.Catalog
	evacuated  map[model.DomainName]bool
	endpoints  map[model.EndpointID]*endpoint
	jobs       map[jobs.ID]*job
	teams      map[model.TeamName]*team
	runs       map[jobs.RunID]*run
	// open are the open steps that can be in time; parked are the others, which
	// are looked at in turn, parkedOrder is their order as of parkedAt.
	open             map[*step]bool
	deferred         map[*step]bool
	deferredOrder    []*step
	deferredSortedAt time.Time
	// watchedAt is when the progress of runs was last looked at.
	progressCheckedAt time.Time
	scheduled         map[*job]bool
	reserved          map[*run]bool
	plan              Plan
	dirty             bool
	listingSeq        uint64
	// sorted are the endpoints in the order of their names; nil when they have
	// changed.
	sortedByName []*endpoint
	// freed counts what may let a waiting step be placed.
	capacitySeq uint64
	// advisers is the number of instances that can ask for advice; short and
	// long are the questions under way.
	adviceInstances             int
	shortRequests, longRequests int
	eligibleRatio               map[jobs.QueueName]*movingAverage
	// lastPriority is that of the least urgent queue.
	lowestPriority int
	// typical is the time that tasks of a queue take, as a part of the estimate.
	typicalRunTime map[jobs.QueueName]*movingAverage
	// stopTime is what a stop takes at most.
	stopTime time.Duration
}

// New returns a planner that acts as the holder of the epoch.
func New(epoch uint64) *Planner {
	return &Planner{
		epoch:          epoch,
		evacuated:      map[model.DomainName]bool{},
		endpoints:      map[model.EndpointID]*endpoint{},
		jobs:           map[jobs.ID]*job{},
		teams:          map[model.TeamName]*team{},
		runs:           map[jobs.RunID]*run{},
		open:           map[*step]bool{},
		deferred:       map[*step]bool{},
		scheduled:      map[*job]bool{},
		reserved:       map[*run]bool{},
		eligibleRatio:  map[jobs.QueueName]*movingAverage{},
		typicalRunTime: map[jobs.QueueName]*movingAverage{},
	}
}

// SetStopTime tells how long a stop takes at most.
func (p *Planner) SetStopTime(d time.Duration) { p.stopTime = d }

// Clock sets the time of what is told next: now on a steady clock, wall in Unix
// milliseconds.
func (p *Planner) Clock(now time.Time, wallMillis int64) { p.now, p.wallMillis = now, wallMillis }

// SetCatalog takes a configuration in force.
func (p *Planner) SetCatalog(c *catalog.Catalog) {
	p.catalog = c
	p.lowestPriority = 0
	for _, q := range c.Queues {
		p.lowestPriority = max(p.lowestPriority, q.Priority)
	}
	for _, s := range p.openSteps() {
		s.rankValid = false
	}
	p.retryAll()
	p.dirty = true
}

// SetEvacuated says whether a failure domain is taken out.
func (p *Planner) SetEvacuated(domain model.DomainName, out bool) {
	if out {
		p.evacuated[domain] = true
	} else {
		delete(p.evacuated, domain)
	}
	p.retryAll()
	p.dirty = true
}

// anew lets every waiting step be tried again.
func (p *Planner) retryAll() {
	for _, e := range p.endpoints {
		p.markFreed(e)
	}
}

// Take returns what has been decided; the planner starts a new plan.
func (p *Planner) Take() Plan {
	plan := p.plan
	p.plan = Plan{}
	return plan
}

// Waiting counts by queue the jobs of which nothing has started and that are
// not scheduled for a time.
func (p *Planner) Waiting() map[jobs.QueueName]int {
	waiting := map[jobs.QueueName]int{}
	for _, j := range p.jobs {
		if !j.started && !j.closing() && j.Occurrences == 0 {
			waiting[j.Queue]++
		}
	}
	return waiting
}

// Stats are numbers for logs and metrics.
type Stats struct {
	Jobs, Runs, Reserved, Pending int
	Usable, Endpoints             int
	CPUUsed, CPUTotal             int64
}

// Stats counts what the planner holds.
func (p *Planner) Stats() Stats {
	s := Stats{Jobs: len(p.jobs), Runs: len(p.runs), Reserved: len(p.reserved), Endpoints: len(p.endpoints)}
	for _, st := range p.openSteps() {
		s.Pending += len(st.pending)
	}
	for _, e := range p.endpoints {
		if e.usable() {
			s.Usable++
		}
		s.CPUUsed += e.used[model.CPU]
		s.CPUTotal += e.Capacity[model.CPU]
	}
	return s
}

// Decide plans what can be started now. Between two calls without news it has
// nothing to do but what time alone brings about.
func (p *Planner) Decide() {
	p.openOccurrences()
	p.withdrawStaleReservations()
	p.stopStuckRuns()
	p.dispatchReserved()
	p.renewTickets()
	p.placeAll()
	p.dispatchReserved()
	p.dirty = false
}

// Dirty reports whether something happened since the last Decide.
func (p *Planner) Dirty() bool { return p.dirty }

// queueOf returns the configuration of the job's queue; nil when it has none.
func (p *Planner) queueOf(j *job) *catalog.Queue {
	if p.catalog == nil {
		return nil
	}
	return p.catalog.Queues[j.Queue]
}

// Started says that the endpoint has confirmed the start.
func (p *Planner) Started(id jobs.RunID) { p.fire(id, evConfirm) }

// Refused says that the endpoint has refused the start: it never runs.
func (p *Planner) Refused(id jobs.RunID, err error) {
	r := p.runs[id]
	if r == nil {
		return
	}
	r.task.step.expireTicket(r.endpoint.ID)
	r.endpoint.recordRefusal(p.now, err)
	p.fire(id, evRefused)
	r.task.step.stopGangRun(id.Number)
}

// Unanswered says that a start or a stop got no answer. An endpoint that leaves
// starts unanswered gets none for a while.
func (p *Planner) Unanswered(id jobs.RunID) {
	if r := p.runs[id]; r != nil && r.state == runStarting {
		r.endpoint.quarantine(p.now)
		r.task.avoidedEndpoints = append(r.task.avoidedEndpoints, r.endpoint.ID)
	}
	p.Unsettled(id)
}

// Unsettled says that nobody knows whether a start or a stop took effect, for a
// reason that says nothing of the endpoint.
func (p *Planner) Unsettled(id jobs.RunID) {
	r := p.runs[id]
	starting := r != nil && r.state == runStarting
	p.fire(id, evNoResponse)
	if starting {
		r.task.step.stopGangRun(id.Number)
	}
}

// StopConfirmed says that the endpoint has taken the stop.
func (p *Planner) StopConfirmed(id jobs.RunID) { p.fire(id, evStopConfirmed) }

func (p *Planner) fire(id jobs.RunID, event runEvent) {
	if r := p.runs[id]; r != nil {
		r.fire(event)
	}
	p.dirty = true
}

// Live reports whether the run has not ended.
func (p *Planner) Live(id jobs.RunID) bool { return p.runs[id] != nil }

// Endpoints returns the names of all endpoints in order.
func (p *Planner) Endpoints() []model.EndpointID {
	var ids []model.EndpointID
	for _, e := range p.sortedEndpoints() {
		ids = append(ids, e.ID)
	}
	return ids
}

// sortedEndpoints returns the endpoints in the order of their names, so that
// plans do not depend on the order of maps.
func (p *Planner) sortedEndpoints() []*endpoint {
	if p.sortedByName == nil {
		for _, e := range p.endpoints {
			p.sortedByName = append(p.sortedByName, e)
		}
		sort.Slice(p.sortedByName, func(i, k int) bool { return p.sortedByName[i].ID < p.sortedByName[k].ID })
	}
	return p.sortedByName
}

// Endpoint returns what is known of an endpoint.
func (p *Planner) Endpoint(id model.EndpointID) (fleet.Endpoint, bool) {
	e := p.endpoints[id]
	if e == nil {
		return fleet.Endpoint{}, false
	}
	return e.Endpoint, true
}
