// Package planner schedules the tasks of a cell: it decides which task runs
// on which endpoint and which tasks wait. The caller passes in events and the
// current time and executes the plan that it gets back. The package imports
// no transport, codec or clock. A Planner belongs to one duty, so that it
// needs no locks.
package planner

import (
	"sort"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/estimate"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// runsPerEpoch is the range of run numbers that each epoch has, so that the numbers of
// two holders don't overlap. The last number of a step that has used more is recorded.
const runsPerEpoch = 1000

// Start is a command to start a run.
type Start struct {
	Run      jobs.RunID
	Endpoint model.EndpointID
	// Spec, Saved and Ticket are sent with the start. Saved is the checkpoint
	// to resume from; empty for none.
	Spec, Saved, Ticket string
	// Queue, Team and Waited, the time since the step was opened, are for
	// logs and metrics.
	Queue  jobs.QueueName
	Team   model.TeamName
	Waited time.Duration
	// DecidedAt is when the caller took the plan with the start.
	DecidedAt time.Time
}

// Stop is a command to stop a run.
type Stop struct {
	Run      jobs.RunID
	Endpoint model.EndpointID
	// Reason is a short explanation.
	Reason string
}

// Outcome is the final state of a job.
type Outcome struct {
	Job    jobs.ID
	State  jobs.State
	Reason string
	// Inherited is set if a former holder has recorded the state and the reason.
	Inherited bool
	// Took is the time since the job was accepted.
	Took  time.Duration
	Queue jobs.QueueName
	Team  model.TeamName
	Account
}

// Plan holds the decisions made since the previous plan was taken.
type Plan struct {
	Starts         []Start
	Stops          []Stop
	AdviceRequests []AdviceRequest
	// Outcomes are the jobs that have reached a final state.
	Outcomes []Outcome
	// Changed are the jobs whose progress has to be persisted. A job may be
	// listed more than once.
	Changed []jobs.ID
	// Removed are the jobs that have a final state and no live run.
	Removed []jobs.ID
	// Losses are the runs that ended with their endpoints.
	Losses []EndpointLoss
	// Relocations are the runs that are stopped because their endpoints are slow.
	Relocations []Relocation
}

// Planner holds the jobs, endpoints and runs of the cell.
type Planner struct {
	now        time.Time
	wallMillis int64
	epoch      uint64
	policy     Policy
	catalog    *catalog.Catalog
	evacuated  map[model.DomainName]bool
	endpoints  map[model.EndpointID]*endpoint
	jobs       map[jobs.ID]*job
	teams      map[model.TeamName]*team
	runs       map[jobs.RunID]*run
	// open are the open steps whose urgency is inTime or relaxed; urgentSurplus
	// and deferred are the other open steps, of which only the first few are tried
	// in each round.
	open                    map[*step]bool
	urgentSurplus, deferred deferredSteps
	// progressCheckedAt is when stopStuckRuns last examined the runs.
	progressCheckedAt time.Time
	// relocationCheckedAt is when relocateRuns last examined the runs.
	relocationCheckedAt time.Time
	// movingTasks are the tasks that have been moved and are not placed again yet.
	movingTasks map[*task]movingTask
	scheduled   map[*job]bool
	reserved    map[*run]bool
	// cautiousRuns are the runs of cautious tasks that have not survived their starts.
	cautiousRuns map[*run]bool
	// lossesAt contains, by endpoint, the tasks with runs that were lost there soon after
	// their starts.
	lossesAt map[model.EndpointID]map[*task]bool
	// yielding maps the yielding runs to the steps that get their capacity.
	yielding   map[*run]*step
	plan       Plan
	dirty      bool
	listingSeq uint64
	// sortedByName caches the endpoints in the order of their names; nil
	// after a change.
	sortedByName []*endpoint
	// endpointChanges counts the endpoints that have been added or removed.
	endpointChanges uint64
	// phase counts the phases of decisions: within one, the endpoints that have to be
	// avoided do not change.
	phase uint64
	// capacitySeq increases with every change that may allow a waiting step
	// to be placed.
	capacitySeq uint64
	// adviceInstances is the number of instances that can send advice
	// requests; shortRequests and longRequests count the requests in flight.
	adviceInstances             int
	shortRequests, longRequests int
	eligibleRatio               map[jobs.QueueName]*movingAverage
	// lowestPriority is the priority of the least urgent queue, which has the
	// largest number.
	lowestPriority int
	// highestPriority is that of the most urgent queue.
	highestPriority int
	// typicalRunTime is the average run time of a queue's tasks, as a ratio
	// of their estimates.
	typicalRunTime map[jobs.QueueName]*movingAverage
	// learner predicts run times from estimates.
	learner *estimate.Learner
	// typicalProjectedRunTime is the average logarithm of the run times that the progress of a
	// queue's runs shows, as ratios of their estimates.
	typicalProjectedRunTime map[jobs.QueueName]*movingAverage
	// rates are the recent rates of each queue's work since ratesSince.
	rates      map[jobs.QueueName]*queueRates
	ratesSince time.Time
	// use is what the planner has done for each queue in this epoch.
	use map[jobs.QueueName]*QueueUse
	// largest is, of each resource, the largest capacity of an endpoint of each service
	// that has been registered.
	largest map[catalog.ServiceName]model.Resources
	// stopTime is the upper bound of the time that a stop takes.
	stopTime time.Duration
}

// New returns a planner that acts as the holder of the epoch.
func New(epoch uint64) *Planner {
	return &Planner{
		epoch:                   epoch,
		evacuated:               map[model.DomainName]bool{},
		endpoints:               map[model.EndpointID]*endpoint{},
		jobs:                    map[jobs.ID]*job{},
		teams:                   map[model.TeamName]*team{},
		runs:                    map[jobs.RunID]*run{},
		open:                    map[*step]bool{},
		urgentSurplus:           deferredSteps{steps: map[*step]bool{}, sortPeriod: urgentSortPeriod},
		deferred:                deferredSteps{steps: map[*step]bool{}, sortPeriod: deferredSortPeriod},
		scheduled:               map[*job]bool{},
		reserved:                map[*run]bool{},
		cautiousRuns:            map[*run]bool{},
		lossesAt:                map[model.EndpointID]map[*task]bool{},
		yielding:                map[*run]*step{},
		movingTasks:             map[*task]movingTask{},
		eligibleRatio:           map[jobs.QueueName]*movingAverage{},
		typicalRunTime:          map[jobs.QueueName]*movingAverage{},
		learner:                 estimate.New(),
		typicalProjectedRunTime: map[jobs.QueueName]*movingAverage{},
		use:                     map[jobs.QueueName]*QueueUse{},
		// 0 stands for no such state in what is cached.
		endpointChanges: 1,
		largest:         map[catalog.ServiceName]model.Resources{},
	}
}

// SetStopTime sets the upper bound of the time that a stop takes.
func (p *Planner) SetStopTime(d time.Duration) { p.stopTime = d }

// SetTime sets the time of the events that follow: now is monotonic, wallMillis
// is the wall clock's Unix time.
func (p *Planner) SetTime(now time.Time, wallMillis int64) { p.now, p.wallMillis = now, wallMillis }

// SetCatalog applies a configuration that is in force.
func (p *Planner) SetCatalog(c *catalog.Catalog) {
	p.catalog = c
	p.highestPriority, p.lowestPriority = c.Priorities()
	for _, s := range p.openSteps() {
		s.rankValid = false
	}
	for _, j := range p.jobs {
		j.applyLimits()
	}
	p.retryAll()
	p.dirty = true
}

// SetEvacuated sets whether a failure domain is taken out.
func (p *Planner) SetEvacuated(domain model.DomainName, out bool) {
	if out {
		p.evacuated[domain] = true
	} else {
		delete(p.evacuated, domain)
	}
	p.retryAll()
	p.dirty = true
}

// retryAll allows every waiting step to be tried again.
func (p *Planner) retryAll() {
	for _, e := range p.endpoints {
		p.markFreed(e)
	}
}

// TakePlan returns the current plan and begins a new one.
func (p *Planner) TakePlan() Plan {
	plan := p.plan
	p.plan = Plan{}
	return plan
}

// WaitingByQueue counts by queue the jobs of which no task is known to have begun: a
// start that was ordered may not be sent, or be refused. Scheduled jobs are not counted.
func (p *Planner) WaitingByQueue() map[jobs.QueueName]int {
	waiting := map[jobs.QueueName]int{}
	for _, j := range p.jobs {
		if !j.executed && !j.closing() && j.Occurrences == 0 {
			waiting[j.Queue]++
		}
	}
	return waiting
}

// Stats are figures for logs and metrics. Pending counts tasks, Usable the
// endpoints that starts may be sent to, and OverCapacity the registered endpoints
// whose runs take more than their capacity, which has shrunk.
type Stats struct {
	Jobs, Runs, Reserved, Pending   int
	Usable, OverCapacity, Endpoints int
	CPUUsed, CPUTotal               int64
}

// Stats returns the current figures.
func (p *Planner) Stats() Stats {
	s := Stats{Jobs: len(p.jobs), Runs: len(p.runs), Reserved: len(p.reserved), Endpoints: len(p.endpoints)}
	for _, st := range p.openSteps() {
		s.Pending += len(st.pending)
	}
	for _, e := range p.endpoints {
		if e.usable() {
			s.Usable++
		}
		if e.Service != "" && !e.used.Fits(e.Capacity) {
			s.OverCapacity++
		}
		s.CPUUsed += e.used[model.CPU]
		s.CPUTotal += e.Capacity[model.CPU]
	}
	return s
}

// Decide plans what can be started now. Without events since the previous
// call, only changes that come with time remain to be handled.
func (p *Planner) Decide() {
	p.phase++
	p.openOccurrences()
	p.withdrawStaleReservations()
	p.stopStuckRuns()
	p.relocateRuns()
	p.phase++ // Further endpoints may have to be avoided.
	p.updateYielding()
	p.dispatchReserved()
	p.renewTickets()
	p.placeAll()
	p.dispatchReserved()
	p.dirty = false
}

// Dirty reports whether an event has arrived since the last Decide.
func (p *Planner) Dirty() bool { return p.dirty }

// queueOf returns the configuration of the job's queue; nil if the queue is
// not in the configuration.
func (p *Planner) queueOf(j *job) *catalog.Queue {
	if p.catalog == nil {
		return nil
	}
	if j.queueFrom != p.catalog {
		j.queueFrom, j.queue = p.catalog, p.catalog.Queues[j.Queue]
	}
	return j.queue
}

// StartSent records that the start of a run has been sent. The caller reports its outcome,
// and calls StartSettled if there is none.
func (p *Planner) StartSent(id jobs.RunID) {
	if r := p.runs[id]; r != nil {
		r.markSent()
		r.startInFlight = true
	}
}

// StartSettled records that the start of a run is not executed after now, whether or not
// it has been executed before.
func (p *Planner) StartSettled(id jobs.RunID) {
	if r := p.runs[id]; r != nil {
		r.startInFlight, r.startSettledAt = false, p.now
	}
}

// StartConfirmed handles an endpoint's confirmation of a start.
func (p *Planner) StartConfirmed(id jobs.RunID) {
	p.StartSettled(id)
	p.fire(id, evConfirm)
}

// StartRefused handles an endpoint's refusal of a start: the run never executes.
func (p *Planner) StartRefused(id jobs.RunID, err error) {
	r := p.runs[id]
	if r == nil {
		return
	}
	p.StartSettled(id)
	r.refused = true
	r.task.step.expireTicket(r.endpoint.ID)
	r.endpoint.recordRefusal(p.now, err)
	p.fire(id, evRefused)
	r.task.step.stopGangRun(id.Number)
}

// NoResponse handles a start or a stop that got no response. An endpoint that
// does not respond to a start gets no work until a listing requested after it.
func (p *Planner) NoResponse(id jobs.RunID) {
	if r := p.runs[id]; r != nil && r.state == runStarting {
		r.markSent()
		r.endpoint.recordUnanswered(r.sentAt)
		r.task.avoid(r.endpoint.ID)
	}
	p.OutcomeUnknown(id)
}

// OutcomeUnknown handles a start or a stop whose outcome is unknown for a reason
// that does not indicate a fault of the endpoint.
func (p *Planner) OutcomeUnknown(id jobs.RunID) {
	r := p.runs[id]
	starting := r != nil && r.state == runStarting
	p.fire(id, evNoResponse)
	if starting {
		r.task.step.stopGangRun(id.Number)
	}
}

// StopConfirmed handles an endpoint's confirmation that it has accepted a
// stop.
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
// plans do not depend on the iteration order of maps.
func (p *Planner) sortedEndpoints() []*endpoint {
	if p.sortedByName == nil {
		for _, e := range p.endpoints {
			p.sortedByName = append(p.sortedByName, e)
		}
		sort.Slice(p.sortedByName, func(i, k int) bool { return p.sortedByName[i].ID < p.sortedByName[k].ID })
	}
	return p.sortedByName
}

// Endpoint returns the registry entry of an endpoint.
func (p *Planner) Endpoint(id model.EndpointID) (fleet.Endpoint, bool) {
	e := p.endpoints[id]
	if e == nil {
		return fleet.Endpoint{}, false
	}
	return e.Endpoint, true
}

// Used returns the capacity that dispatched runs take on an endpoint.
func (p *Planner) Used(id model.EndpointID) model.Resources {
	if e := p.endpoints[id]; e != nil {
		return e.used
	}
	return model.Resources{}
}
