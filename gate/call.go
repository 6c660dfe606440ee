package gate

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
)

// The methods of the scheduler's service.
const (
	methodSubmit  = "Submit"
	methodAwait   = "Await"
	methodCancel  = "Cancel"
	methodExplain = "Explain"
	methodStatus  = "Status"
)

// pollInterval is the time between two polls for the same answer.
const pollInterval = 5 * time.Millisecond

// Call is one admitted call of a caller. It must be ended with End.
type Call struct {
	gate   *Gate
	ctx    context.Context
	cancel context.CancelCauseFunc
	grant  *grant
}

// Team returns the caller's team; OpenTeam for a caller without a key.
func (c *Call) Team() model.TeamName { return c.grant.team }

// KeyWithdrawn reports whether the call was cancelled because its key is no
// longer in force.
func (c *Call) KeyWithdrawn() bool { return context.Cause(c.ctx) == errKeyWithdrawn }

// End cancels the call's context and releases its place in the team's limit.
func (c *Call) End() {
	c.cancel(nil)
	c.gate.admission.release(c.grant)
}

// Submit submits a request and waits up to wait for its answer. The answer's
// code is Pending when the request is accepted but not answered yet.
func (c *Call) Submit(key model.IdempotencyKey, spec model.Spec, wait time.Duration) model.Answer {
	start := c.gate.clock.Now()
	answer := c.submitAndWait(key, spec, wait)
	c.gate.observer.recordSubmission(c, spec.Class, answer, c.gate.clock.Now().Sub(start))
	return answer
}

func (c *Call) submitAndWait(key model.IdempotencyKey, spec model.Spec, wait time.Duration) model.Answer {
	complete, class, problem := c.validate(key, spec)
	if problem != nil {
		return result.Answer("", problem.Code, problem.Reason)
	}
	placement, err := c.grant.homes.Place(c.grant.team, key, c.gate.clock.Now(), c.gate.settings.PlacementLookback)
	if err != nil {
		return result.Answer("", result.NoConfig, err.Error())
	}
	deadline := c.gate.clock.Now().Add(c.clampWait(wait))
	answer, found := c.findEarlier(placement.QueryFirst, complete.NotRepeatable || !class.Repeatable)
	if !found {
		answer = c.submit(placement.Home, key, complete, max(c.gate.settings.SubmitTimeout, c.clampWait(wait)))
	}
	return c.poll(answer, deadline)
}

// Await waits up to wait for the answer to the request.
func (c *Call) Await(id model.RequestID, wait time.Duration) model.Answer {
	if !c.homeExists(id) {
		return withUnknownRan(result.Answer(id, result.UnknownRequest, "no request has this id"))
	}
	wait = c.clampWait(wait)
	deadline := c.gate.clock.Now().Add(wait)
	answer := c.poll(c.awaitOnce(id, min(wait, c.gate.settings.PollWait)), deadline)
	c.gate.observer.recordAnswer("request_awaited", c.grant.team, answer)
	return answer
}

// Cancel cancels the request.
func (c *Call) Cancel(id model.RequestID) model.Answer {
	if !c.homeExists(id) {
		return withUnknownRan(result.Answer(id, result.UnknownRequest, "no request has this id"))
	}
	outcome := c.callHome(id, methodCancel, false, c.gate.settings.CancelTimeout, func(hops int) any {
		return peer.CancelRequest{ID: id, Team: c.grant.team, Hops: hops}
	})
	answer := c.readAnswer(id, outcome)
	c.gate.observer.recordAnswer("request_cancelled", c.grant.team, answer)
	return answer
}

func (c *Call) validate(key model.IdempotencyKey, spec model.Spec) (model.Spec, model.Class, *result.Error) {
	if problem := CheckKey(key); problem != nil {
		return spec, model.Class{}, problem
	}
	complete, problem := Complete(spec, c.grant.config)
	if problem != nil {
		return spec, model.Class{}, problem
	}
	class, _ := c.grant.config.Class(complete.Class)
	if !c.grant.hasKey && !class.Open {
		problem = &result.Error{Code: result.BadKey, Reason: "the class takes work by key only"}
	}
	return complete, class, problem
}

// findEarlier looks for an earlier submission of the request at other homes. If
// one of them is unreachable, work that is not repeatable is not submitted, since
// it might run twice.
func (c *Call) findEarlier(ids []model.RequestID, notRepeatable bool) (model.Answer, bool) {
	for _, id := range ids {
		answer := c.queryEarlier(id)
		switch result.Code(answer.Code) {
		case result.UnknownRequest:
		case result.HomeUnreachable:
			if notRepeatable {
				return answer, true
			}
		default:
			return answer, true
		}
	}
	return model.Answer{}, false
}

// queryEarlier asks a home whether it has the request. It sends the configuration
// version of the call: a shard that acts on an older version may still accept the
// request from another gate, and must not reply that it is unknown.
func (c *Call) queryEarlier(id model.RequestID) model.Answer {
	outcome := c.callHome(id, methodAwait, false, 0, func(hops int) any {
		return peer.AwaitRequest{ID: id, Team: c.grant.team, ConfigVersion: c.grant.config.Version, Hops: hops}
	})
	return c.readAnswer(id, outcome)
}

func (c *Call) submit(id model.RequestID, key model.IdempotencyKey, spec model.Spec, timeout time.Duration) model.Answer {
	outcome := c.callHome(id, methodSubmit, true, timeout, func(hops int) any {
		return peer.SubmitRequest{
			ID: id, Team: c.grant.team, Key: key, Spec: spec,
			ConfigVersion: c.grant.config.Version, Hops: hops,
		}
	})
	switch {
	case outcome.Reached:
		return outcome.Reply.Answer
	case c.KeyWithdrawn():
		return withRan(result.Answer(id, result.BadKey, errKeyWithdrawn.Error()), ranOf(outcome))
	case outcome.Busy:
		return result.Answer(id, result.Busy, "the entry instance has too much under way")
	case outcome.MayHaveRun:
		return result.Answer(id, result.HomeUnreachable, "the home did not reply to the submission")
	default:
		return result.Answer(id, result.HomeNotReached, "no holder of the home could be reached")
	}
}

// poll queries the home until the answer is no longer pending or the deadline
// has passed. While the home is unreachable, the previous answer is kept, so that
// the request stays pending.
func (c *Call) poll(answer model.Answer, deadline time.Time) model.Answer {
	for result.Code(answer.Code) == result.Pending {
		remaining := deadline.Sub(c.gate.clock.Now())
		if remaining <= 0 || !c.sleep(min(remaining, pollInterval)) {
			break
		}
		latest := c.awaitOnce(answer.ID, min(remaining, c.gate.settings.PollWait))
		if result.Code(latest.Code) != result.HomeUnreachable {
			answer = latest
		}
	}
	if c.KeyWithdrawn() && result.Code(answer.Code) == result.Pending {
		return withUnknownRan(result.Answer(answer.ID, result.BadKey, errKeyWithdrawn.Error()))
	}
	return answer
}

// sleep waits for d and returns false when the call ends first. It limits the
// rate of polls to a holder that replies immediately.
func (c *Call) sleep(d time.Duration) bool { return duty.Sleep(c.ctx, d) }

// awaitOnce makes one Await call, which waits up to wait at the holder.
func (c *Call) awaitOnce(id model.RequestID, wait time.Duration) model.Answer {
	outcome := c.callHome(id, methodAwait, false, wait, func(hops int) any {
		return peer.AwaitRequest{ID: id, Team: c.grant.team, Wait: wait, Hops: hops}
	})
	return c.readAnswer(id, outcome)
}

// callHome calls the holder of the request's home shard. mayRun marks a call that
// may start work; serverWait is the time that the holder may take before it
// replies.
func (c *Call) callHome(id model.RequestID, method string, mayRun bool, serverWait time.Duration, args func(hops int) any) routing.Outcome {
	home, err := id.Home()
	if err != nil {
		return routing.Outcome{}
	}
	outcome := c.gate.callHolder(c.ctx, home, method, mayRun, serverWait, args)
	outcome.Reply.Answer.ID = id
	return outcome
}

// callHolder calls the holder of the shard, with the parameters of callHome.
func (g *Gate) callHolder(parent context.Context, home model.ShardID, method string, mayRun bool, serverWait time.Duration, args func(hops int) any) routing.Outcome {
	callTimeout := g.settings.CallTimeout
	ctx, cancel := context.WithTimeout(parent, callTimeout+serverWait)
	defer cancel()
	request := routing.HolderCall{Shard: home, Method: method, MayRunWork: mayRun, TryTimeout: callTimeout, Args: args}
	if !mayRun {
		request.TryTimeout += serverWait
	}
	return g.caller.Call(ctx, request)
}

// homeExists reports whether the id's home is a shard of the configuration.
func (c *Call) homeExists(id model.RequestID) bool {
	home, err := id.Home()
	if err != nil {
		return false
	}
	domain, ok := c.grant.config.Domain(home.Domain)
	return ok && home.Number < domain.Shards
}

func (c *Call) clampWait(wait time.Duration) time.Duration {
	return min(max(wait, 0), c.gate.settings.MaxWait)
}

// readAnswer returns the answer to a call that submits no work.
func (c *Call) readAnswer(id model.RequestID, outcome routing.Outcome) model.Answer {
	switch {
	case outcome.Reached && processCodes[result.Code(outcome.Reply.Answer.Code)]:
		return withUnknownRan(outcome.Reply.Answer)
	case outcome.Reached:
		return outcome.Reply.Answer
	case c.KeyWithdrawn():
		return withUnknownRan(result.Answer(id, result.BadKey, errKeyWithdrawn.Error()))
	case outcome.Busy:
		return withUnknownRan(result.Answer(id, result.Busy, "the entry instance has too much under way"))
	default:
		return withUnknownRan(result.Answer(id, result.HomeUnreachable, "the home does not answer"))
	}
}

// processCodes are the codes that describe the state of the replying process and
// not of the request.
var processCodes = map[result.Code]bool{
	result.Busy:      true,
	result.Draining:  true,
	result.NoConfig:  true,
	result.NotHolder: true,
}

// withUnknownRan sets Ran to Unknown: the refusal of a read or a cancel says
// nothing about whether the work ran.
func withUnknownRan(answer model.Answer) model.Answer { return withRan(answer, model.Unknown) }

func withRan(answer model.Answer, ran model.Ran) model.Answer {
	answer.Ran = ran
	return answer
}

func ranOf(outcome routing.Outcome) model.Ran {
	if outcome.MayHaveRun {
		return model.Unknown
	}
	return model.NotRun
}
