package routing

import (
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
)

// call is one call on its way. It belongs to the Router's duty; the Caller
// hands it back and forth without looking inside.
type call struct {
	router   *Router
	state    chart.State
	shard    model.ShardID
	deadline time.Time
	now      time.Time
	// mayTakeLong says that a healthy peer may leave a try without a reply.
	mayTakeLong bool
	// address is the peer of the latest try.
	address string
	// hint is the address that the latest peer named.
	hint string
	// done tells the breaker of the latest peer how the try ended.
	done func(success bool)
	// hops counts the hints followed.
	hops int
	// tried are the peers of this call's earlier tries since the last pause.
	tried map[string]bool
	pause *backoff.ExponentialBackOff
	order Order
}

// forward is the chart of a call.
var forward = chart.MustBind(charts.MustLoad("forward"),
	chart.Guards[call]{
		"may_follow": (*call).mayFollow,
		"may_retry":  (*call).mayRetry,
	},
	chart.Actions[call]{
		"follow_hint":     (*call).followHint,
		"retry_elsewhere": (*call).retryElsewhere,
	})

// The events of a call.
var (
	evReplied   = forward.MustEvent("replied")
	evHinted    = forward.MustEvent("hinted")
	evNotHolder = forward.MustEvent("not_holder")
	evNotSent   = forward.MustEvent("not_sent")
	evNoReply   = forward.MustEvent("no_reply")
	evCutOff    = forward.MustEvent("cut_off")
	evAbandoned = forward.MustEvent("abandoned")
)

// peerFailed reports whether the event counts against the peer's breaker. A
// caller that left says nothing about the peer.
func (c *call) peerFailed(event chart.Event) bool {
	return event == evNotSent || (event == evNoReply && !c.mayTakeLong)
}

// mayRun is the set of states in which a peer may have acted on the call.
var mayRun = forward.MustSet("exposed", "unknown")

// mayFollow allows a hint that leads to a new peer, up to the hop limit: peers
// whose hints form a loop are not followed round it.
func (c *call) mayFollow() bool {
	return c.hops < c.router.settings.MaxHops && c.hint != "" && !c.tried[c.hint] && c.now.Before(c.deadline)
}

// mayRetry allows another try while time and the budget of retries last.
func (c *call) mayRetry() bool {
	return c.now.Before(c.deadline) && c.router.mayRetry(c.shard.Domain, c.now)
}

// followHint learns the holder that the peer named and tries it at once.
func (c *call) followHint() {
	c.hops++
	c.router.holders[c.shard] = c.hint
	c.next()
}

// retryElsewhere forgets the peer as holder and tries another, after a pause
// once all have been tried.
func (c *call) retryElsewhere() {
	c.router.forget(c.shard, c.address)
	c.next()
}

// next writes the order for the next try.
func (c *call) next() {
	c.order = Order{call: c, Hops: c.hops}
	address, done := c.router.choose(c)
	if address == "" {
		clear(c.tried)
		c.order.After = min(c.pause.NextBackOff(), c.deadline.Sub(c.now))
		address, done = c.router.choose(c)
	}
	c.order.Address = address
	c.address, c.done = address, done
	if address != "" {
		c.tried[address] = true
	}
}
