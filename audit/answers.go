package audit

import (
	"reflect"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// judgeCallers judges what callers wrote down against what ran.
func judgeCallers(p *replay, callers []CallerRecord) {
	for i := range callers {
		c := &callers[i]
		p.report.Counts.Requests++
		if c.Accepted {
			p.report.Counts.Accepted++
		}
		if len(c.Answers) > 0 {
			p.report.Counts.Answered++
		}
		p.judgeAnswers(c)
		p.judgeOwner(c)
		p.judgeKey(c)
	}
	p.judgeRepeats(callers)
}

func (c *CallerRecord) subject() string {
	if c.ID != "" {
		return string(c.ID)
	}
	return string(c.Team) + ":" + string(c.Key)
}

func (p *replay) judgeAnswers(c *CallerRecord) {
	if c.Accepted && len(c.Answers) == 0 {
		p.report.add(Answered, c.Sent, c.subject(), "accepted and never answered")
		return
	}
	for i, answer := range c.Answers {
		if i > 0 && !reflect.DeepEqual(answer, c.Answers[0]) {
			p.report.add(OneAnswer, c.Answered, c.subject(), "answered with code %d and with code %d", c.Answers[0].Code, answer.Code)
		}
		p.judgeAnswer(c, answer)
	}
}

func (p *replay) judgeAnswer(c *CallerRecord, answer model.Answer) {
	if c.ID != "" && answer.ID != "" && answer.ID != c.ID {
		p.report.add(WholeAnswer, c.Answered, c.subject(), "given the answer to %s", answer.ID)
		return
	}
	p.judgeTruth(c, answer)
	if answer.Code == int(result.OK) {
		p.judgeParts(c, answer)
	}
}

// judgeTruth holds the answer's word on whether the work ran against what ran.
func (p *replay) judgeTruth(c *CallerRecord, answer model.Answer) {
	id := c.ID
	if id == "" {
		id = answer.ID
	}
	trace := p.requests[id]
	if answer.Ran == model.NotRun && trace != nil {
		p.report.add(TrueNotRun, c.Answered, c.subject(), "code %d says not run, but %d attempts started, first %s at %s",
			answer.Code, trace.starts, trace.started.Attempt, trace.started.Endpoint)
	}
	if answer.Ran == model.DidRun && trace == nil {
		p.report.add(TrueRan, c.Answered, c.subject(), "code %d says ran, but nothing started", answer.Code)
	}
}

// judgeParts wants every part once, in order, as an endpoint returned it.
func (p *replay) judgeParts(c *CallerRecord, answer model.Answer) {
	if want := max(c.Spec.Tasks, 1); len(answer.Parts) != want {
		p.report.add(WholeAnswer, c.Answered, c.subject(), "%d of %d parts", len(answer.Parts), want)
		return
	}
	for i, part := range answer.Parts {
		task := model.TaskID{Request: answer.ID, Index: i}
		if part.Index != i || !slices.Contains(p.task(task).outputs, part.Output) {
			p.report.add(WholeAnswer, c.Answered, c.subject(), "part %d has index %d and output %q, which no endpoint returned for it",
				i, part.Index, part.Output)
			return
		}
	}
}

func (p *replay) judgeOwner(c *CallerRecord) {
	trace := p.requests[c.ID]
	if trace != nil && trace.started.Team != c.Team {
		p.report.add(OwnTeam, trace.started.Time, c.subject(), "sent by team %s, run for team %s", c.Team, trace.started.Team)
	}
}

// judgeKey wants an accepted request's key in force within the grace.
func (p *replay) judgeKey(c *CallerRecord) {
	if !c.Accepted || c.KeyHash == "" {
		return
	}
	missing := func(config *model.Config) bool {
		return !slices.ContainsFunc(config.Keys, func(k model.Key) bool { return k.Hash == c.KeyHash })
	}
	if p.history.forbids(c.Sent, p.options.KeyGrace, missing) {
		p.report.add(WithdrawnKey, c.Sent, c.subject(), "accepted more than %v after its key was withdrawn", p.options.KeyGrace)
	}
}

// judgeRepeats wants one request only to run for one idempotency key.
func (p *replay) judgeRepeats(callers []CallerRecord) {
	type name struct {
		team model.TeamName
		key  model.IdempotencyKey
	}
	ran := map[name]model.RequestID{}
	for i := range callers {
		c := &callers[i]
		if p.requests[c.ID] == nil {
			continue
		}
		n := name{c.Team, c.Key}
		if other, found := ran[n]; found && other != c.ID {
			p.report.add(AtMostOnce, c.Sent, c.subject(), "the same request ran as %s", other)
		}
		ran[n] = c.ID
	}
}
