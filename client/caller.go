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
	// firstPause and maxPause bound the backoff between calls.
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

// Conclusion is what a caller knows of its request in the end.
type Conclusion struct {
	// ID is the request's id; empty when it was never heard.
	ID model.RequestID
	// Accepted says that the caller was told that the request is accepted.
	Accepted bool
	// Answered says that Answer is final. It is false when the caller gave up.
	Answered bool
	// Answer is the final answer, or the last one heard.
	Answer model.Answer
	// Calls is the number of calls made, Lost the number of those without an
	// answer.
	Calls, Lost int
}

// Caller carries requests to their end. It can be used by many threads.
type Caller struct {
	// entries are clients of all entry instances, with the same key.
	entries []*Client
	// wait is the wait asked for in each call.
	wait time.Duration
}

// NewCaller returns a caller that picks one of the entry instances for each
// call, as the balancer does, and asks it to wait for as long as wait.
func NewCaller(entries []*Client, wait time.Duration) *Caller {
	return &Caller{entries: entries, wait: wait}
}

// Entry returns the client of one entry instance, picked at random.
func (c *Caller) Entry() *Client { return c.entries[rand.IntN(len(c.entries))] }

// command is one request on its way; it is the subject of caller.scxml.
type command struct {
	state      chart.State
	conclusion Conclusion
	pause      *backoff.ExponentialBackOff
}

func newCommand() *command {
	e := &command{pause: newPause()}
	life.Start(&e.state, e)
	return e
}

// life is the chart of a careful caller's request.
var life = chart.MustBind(charts.MustLoad("caller"), chart.Guards[command]{}, chart.Actions[command]{})

// The events of a request, and the states in which it is handed in.
var (
	evPending        = life.MustEvent("pending")
	evAgain          = life.MustEvent("again")
	evInDoubt        = life.MustEvent("in_doubt")
	evRejected       = life.MustEvent("rejected")
	evUnknownRequest = life.MustEvent("unknown_request")
	evFinal          = life.MustEvent("final")
	evExpired        = life.MustEvent("expired")

	submitting = life.MustSet("submitting")
	accepted   = life.MustSet("accepted")
	answered   = life.MustSet("answered")
)

// kinds says what a code that is not final tells a caller: all others end the
// request.
var kinds = map[result.Code]chart.Event{
	result.Pending:         evPending,
	result.Busy:            evAgain,
	result.Draining:        evAgain,
	result.ConfigStale:     evAgain,
	result.NoConfig:        evAgain,
	result.NotHolder:       evAgain,
	result.HomeNotReached:  evAgain,
	result.HomeUnreachable: evInDoubt,
	result.UnknownRequest:  evUnknownRequest,
	result.Malformed:       evRejected,
	result.TooLarge:        evRejected,
	result.UnknownClass:    evRejected,
	result.UnknownTeam:     evRejected,
	result.BadKey:          evRejected,
	result.NotAllowed:      evRejected,
}

// Do hands in the request and asks on until it is answered or ctx ends.
func (c *Caller) Do(ctx context.Context, key model.IdempotencyKey, spec model.Spec) Conclusion {
	return c.handIn(ctx, key, spec, answered)
}

// Accept hands in the request until it is accepted, answered or ctx ends.
func (c *Caller) Accept(ctx context.Context, key model.IdempotencyKey, spec model.Spec) Conclusion {
	return c.handIn(ctx, key, spec, accepted)
}

func (c *Caller) handIn(ctx context.Context, key model.IdempotencyKey, spec model.Spec, until chart.StateSet) Conclusion {
	e := newCommand()
	return c.run(ctx, e, until, func() (model.Answer, error) {
		if submitting.Has(e.state) {
			return c.Entry().Submit(ctx, key, spec, c.wait)
		}
		return c.Entry().Await(ctx, e.conclusion.ID, c.wait)
	})
}

// Wait asks for the answer to an accepted request until it is answered or ctx
// ends.
func (c *Caller) Wait(ctx context.Context, id model.RequestID) Conclusion {
	e := newCommand()
	e.conclusion.ID = id
	life.Fire(&e.state, evPending, e)
	return c.run(ctx, e, answered, func() (model.Answer, error) {
		return c.Entry().Await(ctx, id, c.wait)
	})
}

// Cancel asks for the end of the request until an entry instance has passed it
// on, or ctx ends. How the request ended shows in its answer.
func (c *Caller) Cancel(ctx context.Context, id model.RequestID) {
	pause := newPause()
	for ctx.Err() == nil {
		answer, err := c.Entry().Cancel(ctx, id)
		if event := classify(answer, err); event != evAgain && event != evInDoubt {
			return
		}
		sleep(ctx, pause.NextBackOff())
	}
}

// Final reports whether an answer ends its request.
func Final(answer model.Answer) bool { return classify(answer, nil) == evFinal }

// run makes calls until the command is over or has come to one of the states.
func (c *Caller) run(ctx context.Context, e *command, until chart.StateSet, step func() (model.Answer, error)) Conclusion {
	for !life.Final(e.state) && !until.Has(e.state) {
		answer, err := step()
		event := classify(answer, err)
		if ctx.Err() != nil && event != evFinal {
			event = evExpired
		}
		e.note(event, answer, err)
		if event == evPending && c.wait > 0 {
			e.pause.Reset()
			continue
		}
		if !life.Final(e.state) {
			sleep(ctx, e.pause.NextBackOff())
		}
	}
	e.conclusion.Answered = answered.Has(e.state)
	return e.conclusion
}

// note fires the event and keeps what was learned.
func (e *command) note(event chart.Event, answer model.Answer, err error) {
	e.conclusion.Calls++
	if err != nil {
		e.conclusion.Lost++
	}
	life.Fire(&e.state, event, e)
	if accepted.Has(e.state) || answer.Ran == model.DidRun {
		e.conclusion.Accepted = true
	}
	if err != nil {
		return
	}
	if answer.ID != "" {
		e.conclusion.ID = answer.ID
	}
	e.conclusion.Answer = answer
}

// classify names the event that an answer or its absence is.
func classify(answer model.Answer, err error) chart.Event {
	if err != nil {
		return evInDoubt
	}
	code := result.Code(answer.Code)
	if event, open := kinds[code]; open {
		return event
	}
	if result.Lookup(code).Code != code {
		// Something between caller and entry instance has replied.
		return evInDoubt
	}
	return evFinal
}

func newPause() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstPause),
		backoff.WithMaxInterval(maxPause),
		backoff.WithMaxElapsedTime(0))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
