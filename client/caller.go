package client

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff between calls.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// Conclusion is the result of a request as far as the caller received it.
type Conclusion struct {
	// ID is the request's id; empty when no answer had one.
	ID model.RequestID
	// Accepted is set when an answer showed that the request was accepted.
	Accepted bool
	// Answered is set when Answer is final. It is false when the context ended
	// first.
	Answered bool
	// Answer is the final answer, or the last one received.
	Answer model.Answer
	// Calls is the number of calls made, Failed the number of those that returned
	// an error instead of an answer.
	Calls, Failed int
}

// Caller retries requests until they are answered. It is safe for concurrent use.
type Caller struct {
	// entries are the clients of all entry instances. They use the same key.
	entries []*Client
	// wait is the wait requested in each call.
	wait time.Duration
}

// NewCaller returns a caller that selects an entry instance at random for each
// call, like a load balancer, and requests it to wait up to wait for the answer.
func NewCaller(entries []*Client, wait time.Duration) *Caller {
	return &Caller{entries: entries, wait: wait}
}

// Entry returns the client of a randomly selected entry instance.
func (c *Caller) Entry() *Client { return c.entries[rand.IntN(len(c.entries))] }

// trackedRequest is the state of one request of a caller, as defined by
// caller.scxml.
type trackedRequest struct {
	state      chart.State
	conclusion Conclusion
	backOff    *backoff.ExponentialBackOff
}

func newTrackedRequest() *trackedRequest {
	r := &trackedRequest{backOff: newBackOff()}
	requestChart.Start(&r.state, r)
	return r
}

// requestChart is the chart of a request. It records whether an earlier submission
// may have been accepted.
var requestChart = chart.MustBind(charts.MustLoad("caller"), chart.Guards[trackedRequest]{}, chart.Actions[trackedRequest]{})

// The events of the chart, and the states that the caller tests for.
var (
	evPending        = requestChart.MustEvent("pending")
	evRetryable      = requestChart.MustEvent("retryable")
	evOutcomeUnknown = requestChart.MustEvent("outcome_unknown")
	evRejected       = requestChart.MustEvent("rejected")
	evUnknownRequest = requestChart.MustEvent("unknown_request")
	evFinal          = requestChart.MustEvent("final")
	evExpired        = requestChart.MustEvent("expired")

	submitting = requestChart.MustSet("submitting")
	accepted   = requestChart.MustSet("accepted")
	answered   = requestChart.MustSet("answered")
)

// nonFinalEvents maps the result codes that may leave the request open to their
// events. All other codes are final.
var nonFinalEvents = map[result.Code]chart.Event{
	result.Pending:         evPending,
	result.Busy:            evRetryable,
	result.Draining:        evRetryable,
	result.ConfigStale:     evRetryable,
	result.NoConfig:        evRetryable,
	result.NotHolder:       evRetryable,
	result.HomeNotReached:  evRetryable,
	result.HomeUnreachable: evOutcomeUnknown,
	result.UnknownRequest:  evUnknownRequest,
	result.Malformed:       evRejected,
	result.TooLarge:        evRejected,
	result.UnknownClass:    evRejected,
	result.UnknownTeam:     evRejected,
	result.BadKey:          evRejected,
	result.NotAllowed:      evRejected,
}

// Do submits the request and polls until it is answered or ctx ends.
func (c *Caller) Do(ctx context.Context, key model.IdempotencyKey, spec model.Spec) Conclusion {
	return c.submitUntil(ctx, key, spec, answered)
}

// Accept submits the request, with retries, until it is accepted or answered, or
// ctx ends.
func (c *Caller) Accept(ctx context.Context, key model.IdempotencyKey, spec model.Spec) Conclusion {
	return c.submitUntil(ctx, key, spec, accepted)
}

func (c *Caller) submitUntil(ctx context.Context, key model.IdempotencyKey, spec model.Spec, until chart.StateSet) Conclusion {
	r := newTrackedRequest()
	return c.run(ctx, r, until, func() (model.Answer, error) {
		if submitting.Has(r.state) {
			return c.Entry().Submit(ctx, key, spec, c.wait)
		}
		return c.Entry().Await(ctx, r.conclusion.ID, c.wait)
	})
}

// Wait polls for the answer to an accepted request until it is answered or ctx
// ends.
func (c *Caller) Wait(ctx context.Context, id model.RequestID) Conclusion {
	r := newTrackedRequest()
	r.conclusion.ID = id
	requestChart.Fire(&r.state, evPending, r)
	return c.run(ctx, r, answered, func() (model.Answer, error) {
		return c.Entry().Await(ctx, id, c.wait)
	})
}

// Cancel sends a cancel of the request, with retries, until an entry instance has
// forwarded it or ctx ends. The request's own answer shows how it ended.
func (c *Caller) Cancel(ctx context.Context, id model.RequestID) {
	backOff := newBackOff()
	for ctx.Err() == nil {
		answer, err := c.Entry().Cancel(ctx, id)
		if event := classify(answer, err); event != evRetryable && event != evOutcomeUnknown {
			return
		}
		sleep(ctx, backOff.NextBackOff())
	}
}

// Final reports whether the answer is final.
func Final(answer model.Answer) bool { return classify(answer, nil) == evFinal }

// run repeats attempt until the chart is in a final state or in one of until.
func (c *Caller) run(ctx context.Context, r *trackedRequest, until chart.StateSet, attempt func() (model.Answer, error)) Conclusion {
	for !requestChart.Final(r.state) && !until.Has(r.state) {
		answer, err := attempt()
		event := classify(answer, err)
		if ctx.Err() != nil && event != evFinal {
			event = evExpired
		}
		r.recordReply(event, answer, err)
		if event == evPending && c.wait > 0 {
			r.backOff.Reset()
			continue
		}
		if !requestChart.Final(r.state) {
			sleep(ctx, r.backOff.NextBackOff())
		}
	}
	r.conclusion.Answered = answered.Has(r.state)
	return r.conclusion
}

// recordReply fires the event and updates the conclusion.
func (r *trackedRequest) recordReply(event chart.Event, answer model.Answer, err error) {
	r.conclusion.Calls++
	if err != nil {
		r.conclusion.Failed++
	}
	requestChart.Fire(&r.state, event, r)
	if accepted.Has(r.state) || answer.Ran == model.DidRun {
		r.conclusion.Accepted = true
	}
	if err != nil {
		return
	}
	if answer.ID != "" {
		r.conclusion.ID = answer.ID
	}
	r.conclusion.Answer = answer
}

// classify returns the event for an answer or for the error of a call.
func classify(answer model.Answer, err error) chart.Event {
	if err != nil {
		return evOutcomeUnknown
	}
	code := result.Code(answer.Code)
	if event, found := nonFinalEvents[code]; found {
		return event
	}
	if result.Lookup(code).Code != code {
		// The code is unknown, so the response is not from an entry instance but
		// from an intermediary.
		return evOutcomeUnknown
	}
	return evFinal
}

func newBackOff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(minRetryDelay),
		backoff.WithMaxInterval(maxRetryDelay),
		backoff.WithMaxElapsedTime(0))
}

// sleep waits for d, or less when ctx ends first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
