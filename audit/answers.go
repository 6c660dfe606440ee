package audit

import (
	"reflect"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// checkCallers checks the callers' records against the attempts that ran.
func checkCallers(p *replay, callers []CallerRecord) {
	for i := range callers {
		c := &callers[i]
		p.report.Counts.Requests++
		if c.Accepted {
			p.report.Counts.Accepted++
		}
		if len(c.Answers) > 0 {
			p.report.Counts.Answered++
		}
		p.checkAnswers(c)
		p.checkTeam(c)
		p.checkKeyInForce(c)
	}
	p.checkIdempotency(callers)
}

func (c *CallerRecord) subject() string {
	if c.ID != "" {
		return string(c.ID)
	}
	return string(c.Team) + ":" + string(c.Key)
}

func (p *replay) checkAnswers(c *CallerRecord) {
	if c.Accepted && len(c.Answers) == 0 {
		p.report.add(Answered, c.Sent, c.subject(), "accepted and never answered")
		return
	}
	for i, answer := range c.Answers {
		if i > 0 && !reflect.DeepEqual(answer, c.Answers[0]) {
			p.report.add(OneAnswer, c.Answered, c.subject(), "answered with code %d and with code %d", c.Answers[0].Code, answer.Code)
		}
		p.checkAnswer(c, answer)
	}
}

func (p *replay) checkAnswer(c *CallerRecord, answer model.Answer) {
	if c.ID != "" && answer.ID != "" && answer.ID != c.ID {
		p.report.add(CompleteAnswer, c.Answered, c.subject(), "received the answer to %s", answer.ID)
		return
	}
	p.checkReportedRan(c, answer)
	if answer.Code == int(result.OK) {
		p.checkParts(c, answer)
	}
}

// checkReportedRan compares the answer's Ran with the recorded starts.
func (p *replay) checkReportedRan(c *CallerRecord, answer model.Answer) {
	id := c.ID
	if id == "" {
		id = answer.ID
	}
	trace := p.requests[id]
	if answer.Ran == model.NotRun && trace != nil {
		p.report.add(AccurateNotRun, c.Answered, c.subject(), "code %d reports not run, but %d attempts started, first %s at %s",
			answer.Code, trace.starts, trace.started.Attempt, trace.started.Endpoint)
	}
	if answer.Ran == model.DidRun && trace == nil {
		p.report.add(AccurateRan, c.Answered, c.subject(), "code %d reports ran, but no attempt started", answer.Code)
	}
}

// checkParts reports an answer unless it has every part once, in order, with an
// output that an endpoint returned for that task.
func (p *replay) checkParts(c *CallerRecord, answer model.Answer) {
	if want := max(c.Spec.Tasks, 1); len(answer.Parts) != want {
		p.report.add(CompleteAnswer, c.Answered, c.subject(), "%d of %d parts", len(answer.Parts), want)
		return
	}
	for i, part := range answer.Parts {
		task := model.TaskID{Request: answer.ID, Index: i}
		if part.Index != i || !slices.Contains(p.task(task).outputs, part.Output) {
			p.report.add(CompleteAnswer, c.Answered, c.subject(), "part %d has index %d and output %q, which no endpoint returned for it",
				i, part.Index, part.Output)
			return
		}
	}
}

func (p *replay) checkTeam(c *CallerRecord) {
	trace := p.requests[c.ID]
	if trace != nil && trace.started.Team != c.Team {
		p.report.add(OwnTeam, trace.started.Time, c.subject(), "sent by team %s, run for team %s", c.Team, trace.started.Team)
	}
}

// checkKeyInForce reports an accepted request whose key was not in force at any
// time of the grace period before it was sent.
func (p *replay) checkKeyInForce(c *CallerRecord) {
	if !c.Accepted || c.KeyHash == "" {
		return
	}
	missing := func(config *model.Config) bool {
		return !slices.ContainsFunc(config.Keys, func(k model.Key) bool { return k.Hash == c.KeyHash })
	}
	if p.history.heldThroughout(c.Sent, p.options.KeyGrace, missing) {
		p.report.add(WithdrawnKey, c.Sent, c.subject(), "accepted more than %v after its key was withdrawn", p.options.KeyGrace)
	}
}

// checkIdempotency reports an idempotency key for which more than one request
// ran.
func (p *replay) checkIdempotency(callers []CallerRecord) {
	type requestKey struct {
		team model.TeamName
		key  model.IdempotencyKey
	}
	requestByKey := map[requestKey]model.RequestID{}
	for i := range callers {
		c := &callers[i]
		if p.requests[c.ID] == nil {
			continue
		}
		n := requestKey{c.Team, c.Key}
		if other, found := requestByKey[n]; found && other != c.ID {
			p.report.add(AtMostOnce, c.Sent, c.subject(), "a request with the same idempotency key ran as %s", other)
		}
		requestByKey[n] = c.ID
	}
}
