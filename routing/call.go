package routing

import (
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
)

// call is the state of one call in flight. It belongs to the Router's duty; the
// Caller passes it back without accessing its fields.
type call struct {
	router   *Router
	state    chart.State
	shard    model.ShardID
	deadline time.Time
	now      time.Time
	// mayTakeLong is set when a healthy peer may not reply within one try.
	mayTakeLong bool
	// address is the peer of the last try.
	address string
	// hint is the holder's address in the last peer's reply; empty when it gave
	// none.
	hint string
	// done reports the result of the last try to the peer's breaker.
	done func(success bool)
	// hops counts the hints followed.
	hops int
	// tried are the peers tried since the last backoff.
	tried        map[string]bool
	retryBackoff *backoff.ExponentialBackOff
	decision     Decision
}

// forward is the chart forward.scxml.
var forward = chart.MustBind(charts.MustLoad("forward"),
	chart.Guards[call]{
		"may_follow": (*call).mayFollow,
		"may_retry":  (*call).mayRetry,
	},
	chart.Actions[call]{
		"follow_hint":      (*call).followHint,
		"retry_other_peer": (*call).retryOtherPeer,
	})

// The events of a call.
var (
	evReplied     = forward.MustEvent("replied")
	evHinted      = forward.MustEvent("hinted")
	evNotHolder   = forward.MustEvent("not_holder")
	evNotSent     = forward.MustEvent("not_sent")
	evNoReply     = forward.MustEvent("no_reply")
	evInterrupted = forward.MustEvent("interrupted")
	evAbandoned   = forward.MustEvent("abandoned")
)

// peerFailed reports whether the event counts as a failure for the peer's
// breaker. A try that the caller ended says nothing about the peer.
func (c *call) peerFailed(event chart.Event) bool {
	return event == evNotSent || (event == evNoReply && !c.mayTakeLong)
}

// mayHaveRunStates are the states in which a peer may have acted on the call.
var mayHaveRunStates = forward.MustSet("may_have_run", "unknown")

// mayFollow reports whether to follow the hint: it names a peer that has not been
// tried since the last backoff, so that a loop of hints ends, and neither the hop
// limit nor the deadline has been reached.
func (c *call) mayFollow() bool {
	return c.hops < c.router.settings.MaxHops && c.hint != "" && !c.tried[c.hint] && c.now.Before(c.deadline)
}

// mayRetry reports whether the deadline and the retry budget allow another try,
// and takes it from the budget.
func (c *call) mayRetry() bool {
	return c.now.Before(c.deadline) && c.router.takeRetry(c.shard.Domain, c.now)
}

// followHint records the holder that the peer named and tries it immediately.
func (c *call) followHint() {
	c.hops++
	c.router.holders[c.shard] = c.hint
	c.prepareTry()
}

// retryOtherPeer drops the peer as the shard's holder and tries another, after a
// backoff once all have been tried.
func (c *call) retryOtherPeer() {
	c.router.removeHolder(c.shard, c.address)
	c.prepareTry()
}

// prepareTry chooses the peer of the next try. When all peers have been tried or
// have open breakers, the try waits for the backoff and may repeat a peer.
func (c *call) prepareTry() {
	c.decision = Decision{call: c, Hops: c.hops}
	address, done := c.router.choosePeer(c)
	if address == "" {
		clear(c.tried)
		c.decision.Delay = min(c.retryBackoff.NextBackOff(), c.deadline.Sub(c.now))
		address, done = c.router.choosePeer(c)
	}
	c.decision.Address = address
	c.address, c.done = address, done
	if address != "" {
		c.tried[address] = true
	}
}
