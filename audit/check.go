package audit

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// Check judges the run.
func Check(in Input) *Report {
	records := inOrder(in.Records)
	configs := append(recordedConfigs(records), in.Configs...)
	p := newReplay(in.Options, newHistory(configs))
	p.report.Counts.Configs = len(configs)
	for _, r := range records {
		p.step(r)
	}
	judgeCallers(p, in.Callers)
	p.report.sort()
	return p.report
}

// replay follows the records and judges each.
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

// endpointTrace is what is known of one endpoint.
type endpointTrace struct {
	added     standin.Record
	committed model.Resources
	epoch     model.Epoch
	// changed is the last change of its state.
	changed standin.Record
}

// taskTrace is what is known of one task.
type taskTrace struct {
	// running are the starts of the attempts that run.
	running []standin.Record
	// spent is the last attempt, unless it was stopped at a checkpoint: a
	// later attempt then goes on with the same run.
	spent string
	// outputs are what successful attempts returned.
	outputs []string
}

// requestTrace is what is known of one request.
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
		standin.Changed: func(r standin.Record) { p.endpoint(r.Endpoint).changed = r },
		standin.Fenced:  func(standin.Record) { p.report.Counts.Fenced++ },
		standin.Adopted: p.commanded,
		standin.Renewed: p.commanded,
		standin.Refused: p.refused,
		standin.Started: p.started,
		standin.Ended:   p.ended,
	}
	return p
}

func (p *replay) step(r standin.Record) {
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

// commanded judges a command that the endpoint took.
func (p *replay) commanded(r standin.Record) {
	trace := p.endpoint(r.Endpoint)
	if r.Epoch < trace.epoch {
		p.report.add(Fencing, r.Time, string(r.Endpoint), "took epoch %d after %d", r.Epoch, trace.epoch)
	}
	trace.epoch = max(trace.epoch, r.Epoch)
}

// refused judges a start that the endpoint had to refuse.
func (p *replay) refused(r standin.Record) {
	if r.Reason == standin.ReasonCapacity {
		p.report.add(Capacity, r.Time, string(r.Endpoint), "told to start %s of size %v beyond its capacity", r.Attempt, r.Size)
	}
	changed := p.endpoint(r.Endpoint).changed
	late := r.Time.Sub(changed.Time)
	if r.Reason == standin.ReasonLeaving && late > p.options.LeavingGrace {
		p.report.add(Leaving, r.Time, string(r.Endpoint), "told to start %s %v after it began to leave", r.Attempt, late)
	}
}

func (p *replay) started(r standin.Record) {
	p.report.Counts.Starts++
	p.commanded(r)
	p.judgeCapacity(r)
	p.judgeTask(r)
	p.judgeTeam(r)
	p.judgeService(r)
	p.noteRequest(r)
}

func (p *replay) judgeCapacity(r standin.Record) {
	trace := p.endpoint(r.Endpoint)
	trace.committed = trace.committed.Add(r.Size)
	if !trace.committed.Fits(trace.added.Size) {
		p.report.add(Capacity, r.Time, string(r.Endpoint), "committed %v of %v", trace.committed, trace.added.Size)
	}
}

func (p *replay) judgeTask(r standin.Record) {
	trace := p.task(r.Attempt.Task)
	for _, other := range trace.running {
		p.report.add(OnePlace, r.Time, r.Attempt.String(), "started at %s while %s runs at %s",
			r.Endpoint, other.Attempt, other.Endpoint)
	}
	if trace.spent != "" && (r.Once || p.history.once(r.Class, r.Time)) {
		p.report.add(AtMostOnce, r.Time, r.Attempt.String(), "started at %s after %s", r.Endpoint, trace.spent)
	}
	trace.spent = r.Attempt.String()
	trace.running = append(trace.running, r)
}

func (p *replay) judgeTeam(r standin.Record) {
	p.teams[r.Team] = p.teams[r.Team].Add(r.Size)
	limit, known := p.history.limit(r.Team, r.Time, p.options.LimitGrace)
	if known && !p.teams[r.Team].Fits(limit) {
		p.report.add(TeamLimit, r.Time, string(r.Team), "%v running of %v after the start of %s",
			p.teams[r.Team], limit, r.Attempt)
	}
}

// judgeService wants the endpoint, its rack and its domain in service.
func (p *replay) judgeService(r standin.Record) {
	added := p.endpoint(r.Endpoint).added
	if p.history.forbids(r.Time, p.options.OutGrace, func(c *model.Config) bool { return isOut(c, added) }) {
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

func (p *replay) noteRequest(r standin.Record) {
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
	task.running = without(task.running, r.Attempt)
	if r.Outcome == model.Checkpointed {
		task.spent = ""
	}
	if r.Outcome == model.Succeeded {
		task.outputs = append(task.outputs, r.Output)
	}
}

func without(records []standin.Record, attempt model.AttemptID) []standin.Record {
	var rest []standin.Record
	for _, r := range records {
		if r.Attempt != attempt {
			rest = append(rest, r)
		}
	}
	return rest
}
