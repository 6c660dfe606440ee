package gate

import (
	"context"
	"time"

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

// slicePause is the time between two questions about one answer.
const slicePause = 5 * time.Millisecond

// Visit is one admitted caller with one request.
type Visit struct {
	gate   *Gate
	ctx    context.Context
	cancel context.CancelCauseFunc
	grant  *grant
}

// Team returns the team that the caller belongs to.
func (v *Visit) Team() model.TeamName { return v.grant.team }

// Withdrawn reports whether the visit was ended because its key is no longer
// in force.
func (v *Visit) Withdrawn() bool { return context.Cause(v.ctx) == errWithdrawn }

// Leave ends the visit.
func (v *Visit) Leave() {
	v.cancel(nil)
	v.gate.admission.leave(v.grant)
}

// Submit hands in a request and waits for its answer for as long as wait. The
// answer's code is Pending when the request is accepted and not answered yet.
func (v *Visit) Submit(key model.IdempotencyKey, spec model.Spec, wait time.Duration) model.Answer {
	since := v.gate.clock.Now()
	answer := v.submitAndWait(key, spec, wait)
	v.gate.observer.submitted(v, spec.Class, answer, v.gate.clock.Now().Sub(since))
	return answer
}

func (v *Visit) submitAndWait(key model.IdempotencyKey, spec model.Spec, wait time.Duration) model.Answer {
	complete, class, problem := v.check(key, spec)
	if problem != nil {
		return result.Answer("", problem.Code, problem.Reason)
	}
	placement, err := v.grant.homes.Place(v.grant.team, key, v.gate.clock.Now(), v.gate.settings.PlacementMemory)
	if err != nil {
		return result.Answer("", result.NoConfig, err.Error())
	}
	deadline := v.gate.clock.Now().Add(v.bound(wait))
	answer, found := v.askFirst(placement.AskFirst, complete.NotRepeatable || !class.Repeatable)
	if !found {
		answer = v.submit(placement.Home, key, complete, max(v.gate.settings.SubmitBudget, v.bound(wait)))
	}
	return v.waitOn(answer, deadline)
}

// Await waits for the answer to the request for as long as wait.
func (v *Visit) Await(id model.RequestID, wait time.Duration) model.Answer {
	if !v.known(id) {
		return reading(result.Answer(id, result.UnknownRequest, "no request has this id"))
	}
	wait = v.bound(wait)
	deadline := v.gate.clock.Now().Add(wait)
	answer := v.waitOn(v.await(id, min(wait, v.gate.settings.WaitSlice)), deadline)
	v.gate.observer.answered("request_awaited", v.grant.team, answer)
	return answer
}

// Cancel ends the request.
func (v *Visit) Cancel(id model.RequestID) model.Answer {
	if !v.known(id) {
		return reading(result.Answer(id, result.UnknownRequest, "no request has this id"))
	}
	outcome := v.call(id, methodCancel, false, v.gate.settings.CancelBudget, func(hops int) any {
		return peer.CancelRequest{ID: id, Team: v.grant.team, Hops: hops}
	})
	answer := v.readingOutcome(id, outcome)
	v.gate.observer.answered("request_cancelled", v.grant.team, answer)
	return answer
}

func (v *Visit) check(key model.IdempotencyKey, spec model.Spec) (model.Spec, model.Class, *result.Error) {
	if problem := CheckKey(key); problem != nil {
		return spec, model.Class{}, problem
	}
	complete, problem := Complete(spec, v.grant.config)
	if problem != nil {
		return spec, model.Class{}, problem
	}
	class, _ := v.grant.config.Class(complete.Class)
	if !v.grant.keyed && !class.Open {
		problem = &result.Error{Code: result.BadKey, Reason: "the class takes work by key only"}
	}
	return complete, class, problem
}

// askFirst looks for an earlier submission of the request at other homes. A
// home that can't be asked holds up work that must not run twice.
func (v *Visit) askFirst(ids []model.RequestID, once bool) (model.Answer, bool) {
	for _, id := range ids {
		answer := v.askEarlier(id)
		switch result.Code(answer.Code) {
		case result.UnknownRequest:
		case result.HomeUnreachable:
			if once {
				return answer, true
			}
		default:
			return answer, true
		}
	}
	return model.Answer{}, false
}

// askEarlier asks a home whether it has the request, as one that acts by this
// gate's version of the configuration.
func (v *Visit) askEarlier(id model.RequestID) model.Answer {
	outcome := v.call(id, methodAwait, false, 0, func(hops int) any {
		return peer.AwaitRequest{ID: id, Team: v.grant.team, ConfigVersion: v.grant.config.Version, Hops: hops}
	})
	return v.readingOutcome(id, outcome)
}

func (v *Visit) submit(id model.RequestID, key model.IdempotencyKey, spec model.Spec, budget time.Duration) model.Answer {
	outcome := v.call(id, methodSubmit, true, budget, func(hops int) any {
		return peer.SubmitRequest{
			ID: id, Team: v.grant.team, Key: key, Spec: spec,
			ConfigVersion: v.grant.config.Version, Hops: hops,
		}
	})
	switch {
	case outcome.Reached:
		return outcome.Reply.Answer
	case v.Withdrawn():
		return withRan(result.Answer(id, result.BadKey, errWithdrawn.Error()), ranOf(outcome))
	case outcome.Busy:
		return result.Answer(id, result.Busy, "the entry instance has too much under way")
	case outcome.MayHaveRun:
		return result.Answer(id, result.HomeUnreachable, "the home did not reply to the submission")
	default:
		return result.Answer(id, result.HomeNotReached, "no holder of the home could be reached")
	}
}

// waitOn goes on asking while the answer is pending and time is left. A home
// that does not answer for a while leaves the request pending, as it was.
func (v *Visit) waitOn(answer model.Answer, deadline time.Time) model.Answer {
	for result.Code(answer.Code) == result.Pending {
		left := deadline.Sub(v.gate.clock.Now())
		if left <= 0 || !v.pause(min(left, slicePause)) {
			break
		}
		news := v.await(answer.ID, min(left, v.gate.settings.WaitSlice))
		if result.Code(news.Code) != result.HomeUnreachable {
			answer = news
		}
	}
	if v.Withdrawn() && result.Code(answer.Code) == result.Pending {
		return reading(result.Answer(answer.ID, result.BadKey, errWithdrawn.Error()))
	}
	return answer
}

// pause waits for d and reports false when the visit ends first. It keeps a
// holder that replies at once from being asked without end.
func (v *Visit) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-v.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// await asks once, for at most a slice.
func (v *Visit) await(id model.RequestID, slice time.Duration) model.Answer {
	outcome := v.call(id, methodAwait, false, slice, func(hops int) any {
		return peer.AwaitRequest{ID: id, Team: v.grant.team, Wait: slice, Hops: hops}
	})
	return v.readingOutcome(id, outcome)
}

// call asks the holder of the request's home. extra is the time that the holder
// may take on purpose.
func (v *Visit) call(id model.RequestID, method string, exposes bool, extra time.Duration, args func(hops int) any) routing.Outcome {
	home, err := id.Home()
	if err != nil {
		return routing.Outcome{}
	}
	outcome := v.gate.callHolder(v.ctx, home, method, exposes, extra, args)
	outcome.Reply.Answer.ID = id
	return outcome
}

// callHolder asks the holder of the shard.
func (g *Gate) callHolder(parent context.Context, home model.ShardID, method string, exposes bool, extra time.Duration, args func(hops int) any) routing.Outcome {
	try := g.settings.Try
	ctx, cancel := context.WithTimeout(parent, try+extra)
	defer cancel()
	question := routing.Question{Shard: home, Method: method, Exposes: exposes, Try: try, Args: args}
	if !exposes {
		question.Try += extra
	}
	return g.caller.Call(ctx, question)
}

// known reports whether the id names a shard of the configuration.
func (v *Visit) known(id model.RequestID) bool {
	home, err := id.Home()
	if err != nil {
		return false
	}
	domain, ok := v.grant.config.Domain(home.Domain)
	return ok && home.Number < domain.Shards
}

func (v *Visit) bound(wait time.Duration) time.Duration {
	return min(max(wait, 0), v.gate.settings.MaxWait)
}

// readingOutcome is the answer to a call that hands in no work.
func (v *Visit) readingOutcome(id model.RequestID, outcome routing.Outcome) model.Answer {
	switch {
	case outcome.Reached && ofProcess[result.Code(outcome.Reply.Answer.Code)]:
		return reading(outcome.Reply.Answer)
	case outcome.Reached:
		return outcome.Reply.Answer
	case v.Withdrawn():
		return reading(result.Answer(id, result.BadKey, errWithdrawn.Error()))
	case outcome.Busy:
		return reading(result.Answer(id, result.Busy, "the entry instance has too much under way"))
	default:
		return reading(result.Answer(id, result.HomeUnreachable, "the home does not answer"))
	}
}

// ofProcess are the codes by which a process speaks of itself and not of the
// request.
var ofProcess = map[result.Code]bool{
	result.Busy:      true,
	result.Draining:  true,
	result.NoConfig:  true,
	result.NotHolder: true,
}

// reading marks a refusal to read or cancel: it says nothing about the work.
func reading(answer model.Answer) model.Answer { return withRan(answer, model.Unknown) }

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
