package admission

import (
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// Cause is why a job is refused.
type Cause string

// The causes of a refusal.
const (
	// ExceedsEndpoint means that a task is larger than every endpoint.
	ExceedsEndpoint Cause = "task_exceeds_endpoints"
	// ExceedsLimit means that a task, or a gang, is larger than its team's limit.
	ExceedsLimit Cause = "exceeds_team_limit"
	// Backlog means that the job can't start while its result is of use.
	Backlog Cause = "backlog"
	// OverWeight means that its team has used up its weight, and what others sent
	// leaves no capacity while the job's result is of use.
	OverWeight Cause = "team_over_weight"
)

// codes maps each cause to its result code.
var codes = map[Cause]result.Code{
	ExceedsEndpoint: result.ImpossibleSize,
	ExceedsLimit:    result.ImpossibleSize,
	Backlog:         result.ShortOfCapacity,
	OverWeight:      result.QueueFull,
}

// Refusal is the decision that a job is not accepted, and the figures that led to it.
type Refusal struct {
	Cause Cause
	// Wait is the least time until the job could start, Useful the time within which it
	// has to start for its result to be of use. Both are zero for a job that can never
	// run.
	Wait, Useful time.Duration
	// Expected is the expected wait of a job that is refused by the figures of
	// Load.Shedding, of which Wait is the lower bound with certainty; 0 for others.
	Expected time.Duration
	// RetryAfter is when its caller should return; 0 if that would not help.
	RetryAfter time.Duration
}

// Code returns the result code of the refusal.
func (r *Refusal) Code() result.Code { return codes[r.Cause] }

// Decision holds the load as one front has read it. It belongs to one thread.
type Decision struct {
	state chart.State
	load  *Load
}

var machine *chart.Machine[Decision]

var evCurrent, evOutdated chart.Event

var informed chart.State

func init() {
	machine = chart.MustBind(charts.MustLoad("admission"), chart.Guards[Decision]{}, chart.Actions[Decision]{})
	evCurrent = machine.MustEvent("current")
	evOutdated = machine.MustEvent("outdated")
	informed = machine.MustState("informed")
}

// New returns a Decision without figures.
func New() *Decision {
	d := &Decision{}
	machine.Start(&d.state, d)
	return d
}

// Update replaces the figures. load is nil if there are none, or if they are too old to
// decide from. It reports whether the state has changed, and the error of figures that
// are out of range, which count as none.
func (d *Decision) Update(load *Load) (changed bool, err error) {
	before := d.state
	if load != nil && !load.valid() {
		load, err = nil, errOutOfRange
	}
	d.load = load
	if load == nil {
		machine.Fire(&d.state, evOutdated, d)
	} else {
		machine.Fire(&d.state, evCurrent, d)
	}
	return d.state != before, err
}

// State returns the name of the state, for logs.
func (d *Decision) State() string { return machine.Name(d.state) }

// Load returns the figures from which Decide decides; nil if a job is not refused for
// the load.
func (d *Decision) Load() *Load {
	if d.state != informed {
		return nil
	}
	return d.load
}

// Decide returns the refusal of a new job; nil if it is accepted. load is nil if the
// load is not known. added is the work that this front has accepted since then, by queue,
// in core-milliseconds.
func Decide(c *catalog.Catalog, load *Load, job *jobs.Job, added map[jobs.QueueName]int64) *Refusal {
	queue := c.Queues[job.Queue]
	if queue == nil {
		return nil
	}
	if cause := impossible(c, load, queue, job); cause != "" {
		return &Refusal{Cause: cause}
	}
	if load == nil || job.Occurrences > 0 || lasting(job) {
		return nil
	}
	surplus := load.surplus(job.Team)
	if surplus && load.Shedding != nil {
		return load.with(added).shed(c, queue, job)
	}
	wait := load.with(added).wait(c, queue, surplus)
	useful := catalog.OverdueFactor*queue.JobObjective(job) - job.LongestPath()
	if wait <= useful {
		return nil
	}
	cause := Backlog
	if surplus {
		cause = OverWeight
	}
	return &Refusal{Cause: cause, Wait: wait, Useful: useful, RetryAfter: drainTime(wait-useful, queue, job)}
}

// impossible returns why the job can never run; empty if it may.
func impossible(c *catalog.Catalog, load *Load, queue *catalog.Queue, job *jobs.Job) Cause {
	limit := model.Resources{}
	if team := c.Teams[job.Team]; team != nil {
		limit = team.Limit
	}
	for i := range job.Steps {
		step := &job.Steps[i]
		size := step.Committed()
		if load != nil && exceeds(size, load.Largest[queue.Service]) {
			return ExceedsEndpoint
		}
		if step.Gang {
			size = size.Scale(int64(step.Count))
		}
		if exceeds(size, limit) {
			return ExceedsLimit
		}
	}
	return ""
}

// exceeds reports whether the size is above a limit; 0 is none.
func exceeds(size, limit model.Resources) bool {
	for i, most := range limit {
		if most > 0 && size[i] > most {
			return true
		}
	}
	return false
}

func lasting(job *jobs.Job) bool {
	for i := range job.Steps {
		if job.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// with returns the load with the work added to that in time.
func (l *Load) with(added map[jobs.QueueName]int64) *Load {
	if len(added) == 0 {
		return l
	}
	sum := *l
	sum.Queues = make(map[jobs.QueueName]QueueLoad, len(l.Queues)+len(added))
	for name, q := range l.Queues {
		sum.Queues[name] = q
	}
	for name, work := range added {
		q := sum.Queues[name]
		q.InTime += work
		sum.Queues[name] = q
	}
	return &sum
}

// Work returns the estimated work of an occurrence of the job in core-milliseconds.
func Work(job *jobs.Job) int64 {
	sum := 0.0
	for i := range job.Steps {
		sum += StepWork(&job.Steps[i], job.Steps[i].Count)
	}
	return int64(min(sum, maxWork))
}

// StepWork returns the estimated work of n tasks of the step in core-milliseconds.
func StepWork(step *jobs.Step, n int) float64 {
	return float64(n) * float64(step.Size[model.CPU]) * float64(step.Estimate.Milliseconds()) / 1000
}
