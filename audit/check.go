package audit

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// Check checks the run against all rules and returns the violations, sorted by
// time.
func Check(in Input) *Report {
	records := sortedByTime(in.Records)
	configs := append(recordedConfigs(records), in.Configs...)
	p := newReplay(in.Options, newHistory(configs))
	p.report.Counts.Configs = len(configs)
	for _, r := range records {
		p.apply(r)
	}
	checkCallers(p, in.Callers)
	p.report.sort()
	return p.report
}

// replay applies the records in time order and checks each against the state
// that the earlier ones left.
type replay struct {
	options   Options
	history   history
	report    *Report
	endpoints map[model.EndpointID]*endpointTrace
	tasks     map[model.TaskID]*taskTrace
	requests  map[model.RequestID]*requestTrace
	teams     map[model.TeamName]model.Resources
	handlers  map[standin.RecordKind]func(standin.Record)
}

// endpointTrace is the state of one endpoint during the replay.
type endpointTrace struct {
	added     standin.Record
	committed model.Resources
	epoch     model.Epoch
	// lastChange is the record of the endpoint's last change of state.
	lastChange standin.Record
}

// taskTrace is the state of one task during the replay.
type taskTrace struct {
	// running holds the start records of the running attempts.
	running []standin.Record
	// lastAttempt is the id of the last started attempt. It is empty when
	// there was none or it was stopped at a checkpoint: the next attempt then
	// resumes the same run.
	lastAttempt string
	// outputs are the outputs of the successful attempts.
	outputs []string
}

// requestTrace is the first start of a request and the number of its starts.
type requestTrace struct {
	started standin.Record
	starts  int
}

func newReplay(options Options, h history) *replay {
	p := &replay{
		options: options, history: h, report: &Report{},
		endpoints: map[model.EndpointID]*endpointTrace{},
		tasks:     map[model.TaskID]*taskTrace{},
		requests:  map[model.RequestID]*requestTrace{},
		teams:     map[model.TeamName]model.Resources{},
	}
	p.handlers = map[standin.RecordKind]func(standin.Record){
		standin.Added:   func(r standin.Record) { p.endpoint(r.Endpoint).added = r },
		standin.Changed: func(r standin.Record) { p.endpoint(r.Endpoint).lastChange = r },
		standin.Fenced:  func(standin.Record) { p.report.Counts.Fenced++ },
		standin.Adopted: p.checkEpoch,
		standin.Renewed: p.checkEpoch,
		standin.Refused: p.refused,
		standin.Started: p.started,
		standin.Ended:   p.ended,
	}
	return p
}

func (p *replay) apply(r standin.Record) {
	if handle := p.handlers[r.Kind]; handle != nil {
		handle(r)
	}
}

func (p *replay) endpoint(id model.EndpointID) *endpointTrace {
	trace := p.endpoints[id]
	if trace == nil {
		trace = &endpointTrace{}
		p.endpoints[id] = trace
	}
	return trace
}

func (p *replay) task(id model.TaskID) *taskTrace {
	trace := p.tasks[id]
	if trace == nil {
		trace = &taskTrace{}
		p.tasks[id] = trace
	}
	return trace
}

// checkEpoch checks the epoch of a command that the endpoint accepted.
func (p *replay) checkEpoch(r standin.Record) {
	trace := p.endpoint(r.Endpoint)
	if r.Epoch < trace.epoch {
		p.report.add(Fencing, r.Time, string(r.Endpoint), "accepted epoch %d after epoch %d", r.Epoch, trace.epoch)
	}
	trace.epoch = max(trace.epoch, r.Epoch)
}

// refused checks whether the refused start should have been sent at all.
func (p *replay) refused(r standin.Record) {
	if r.Reason == standin.ReasonCapacity {
		p.report.add(Capacity, r.Time, string(r.Endpoint), "received a start of %s with size %v beyond its capacity", r.Attempt, r.Size)
	}
	changed := p.endpoint(r.Endpoint).lastChange
	late := r.Time.Sub(changed.Time)
	if r.Reason == standin.ReasonLeaving && late > p.options.LeavingGrace {
		p.report.add(Leaving, r.Time, string(r.Endpoint), "received a start of %s %v after it began to leave", r.Attempt, late)
	}
}

func (p *replay) started(r standin.Record) {
	p.report.Counts.Starts++
	p.checkEpoch(r)
	p.checkCapacity(r)
	p.checkTask(r)
	p.checkTeamLimit(r)
	p.checkInService(r)
	p.countStart(r)
}

func (p *replay) checkCapacity(r standin.Record) {
	trace := p.endpoint(r.Endpoint)
	trace.committed = trace.committed.Add(r.Size)
	if !trace.committed.Fits(trace.added.Size) {
		p.report.add(Capacity, r.Time, string(r.Endpoint), "committed %v of %v", trace.committed, trace.added.Size)
	}
}

func (p *replay) checkTask(r standin.Record) {
	trace := p.task(r.Attempt.Task)
	for _, other := range trace.running {
		p.report.add(SinglePlacement, r.Time, r.Attempt.String(), "started at %s while %s runs at %s",
			r.Endpoint, other.Attempt, other.Endpoint)
	}
	if trace.lastAttempt != "" && (r.Once || p.history.notRepeatable(r.Class, r.Time)) {
		p.report.add(AtMostOnce, r.Time, r.Attempt.String(), "started at %s after %s", r.Endpoint, trace.lastAttempt)
	}
	trace.lastAttempt = r.Attempt.String()
	trace.running = append(trace.running, r)
}

func (p *replay) checkTeamLimit(r standin.Record) {
	p.teams[r.Team] = p.teams[r.Team].Add(r.Size)
	limit, found := p.history.limit(r.Team, r.Time, p.options.LimitGrace)
	if found && !p.teams[r.Team].Fits(limit) {
		p.report.add(TeamLimit, r.Time, string(r.Team), "%v running of %v after the start of %s",
			p.teams[r.Team], limit, r.Attempt)
	}
}

// checkInService reports a start on an endpoint that is out of service by
// itself, with its rack or with its domain.
func (p *replay) checkInService(r standin.Record) {
	added := p.endpoint(r.Endpoint).added
	if p.history.heldThroughout(r.Time, p.options.OutGrace, func(c *model.Config) bool { return isOut(c, added) }) {
		p.report.add(OutOfService, r.Time, string(r.Endpoint), "started %s more than %v after it was taken out",
			r.Attempt, p.options.OutGrace)
	}
}

// isOut reports whether the configuration takes the endpoint out of service.
func isOut(c *model.Config, added standin.Record) bool {
	if domain, found := c.Domain(added.Domain); found && domain.Out {
		return true
	}
	for _, id := range c.EndpointsOut {
		if id == added.Endpoint {
			return true
		}
	}
	for _, rack := range c.RacksOut {
		if rack.Domain == added.Domain && rack.Rack == added.Rack {
			return true
		}
	}
	return false
}

func (p *replay) countStart(r standin.Record) {
	id := r.Attempt.Task.Request
	if p.requests[id] == nil {
		p.requests[id] = &requestTrace{started: r}
	}
	p.requests[id].starts++
}

func (p *replay) ended(r standin.Record) {
	p.report.Counts.Ends++
	if r.Outcome == model.Lapsed {
		p.report.Counts.Lapses++
	}
	trace := p.endpoint(r.Endpoint)
	trace.committed = trace.committed.Sub(r.Size)
	p.teams[r.Team] = p.teams[r.Team].Sub(r.Size)
	task := p.task(r.Attempt.Task)
	task.running = withoutAttempt(task.running, r.Attempt)
	if r.Outcome == model.Checkpointed {
		task.lastAttempt = ""
	}
	if r.Outcome == model.Succeeded {
		task.outputs = append(task.outputs, r.Output)
	}
}

func withoutAttempt(records []standin.Record, attempt model.AttemptID) []standin.Record {
	var rest []standin.Record
	for _, r := range records {
		if r.Attempt != attempt {
			rest = append(rest, r)
		}
	}
	return rest
}
