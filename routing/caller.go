package routing

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
)

// Peers makes one call to one peer. peerrpc.Client does.
type Peers interface {
	// Call calls the method of the peer at address and fills reply. It returns
	// peerrpc.ErrNotSent when the peer has not seen the call, and another
	// error when it may have.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Question is a call to the holder of a shard.
type Question struct {
	// Shard is the shard whose holder is meant.
	Shard model.ShardID
	// Method is the method of the scheduler's service.
	Method string
	// Exposes says that a peer which got the call may have run work. It is
	// then sent again to holders of the same shard only, which know it by its
	// request id. A holder may take long over it without being at fault.
	Exposes bool
	// Try bounds one try.
	Try time.Duration
	// Args returns the message of a try with the hops so far.
	Args func(hops int) any
}

// Outcome is how a call ended.
type Outcome struct {
	// Reply is the holder's reply when Reached is set.
	Reply peer.Reply
	// Reached says that the holder replied.
	Reached bool
	// MayHaveRun says that no reply came and a peer may have acted.
	MayHaveRun bool
	// Busy says that the Router's ring was full and nothing was sent.
	Busy bool
}

// Caller makes calls to the holders of shards. Its methods run on the
// goroutines of HTTP handlers: they wait for the Router's order and for the
// peer's reply and hold no state of their own.
type Caller struct {
	router *Router
	peers  Peers
	clock  clock.Clock
}

// NewCaller returns a Caller that asks the router and calls the peers.
func NewCaller(router *Router, peers Peers, c clock.Clock) *Caller {
	return &Caller{router: router, peers: peers, clock: c}
}

// Call carries out the question until ctx ends. ctx must have a deadline.
func (c *Caller) Call(ctx context.Context, q Question) Outcome {
	deadline, _ := ctx.Deadline()
	reply := make(chan Order, 1)
	started := c.router.start(&call{shard: q.Shard, deadline: deadline, mayTakeLong: q.Exposes}, reply)
	if !started {
		return Outcome{Busy: true}
	}
	order := <-reply
	var answer peer.Reply
	for !order.Over {
		var event chart.Event
		event, answer = c.try(ctx, q, order)
		if err := c.router.report(order.call, event, answer.Holder, reply); err != nil {
			return Outcome{MayHaveRun: q.Exposes}
		}
		order = <-reply
		if event == evReplied {
			return Outcome{Reply: answer, Reached: true}
		}
	}
	return Outcome{MayHaveRun: order.MayHaveRun && q.Exposes}
}

// try makes the one call that the order names and says how it ended.
func (c *Caller) try(ctx context.Context, q Question, order Order) (chart.Event, peer.Reply) {
	if !sleep(ctx, order.After) {
		return evAbandoned, peer.Reply{}
	}
	if order.Address == "" {
		return evNotSent, peer.Reply{}
	}
	bounded, cancel := context.WithTimeout(ctx, q.Try)
	defer cancel()
	// Each try has a reply of its own, since a late one may still be written.
	reply := new(peer.Reply)
	err := c.peers.Call(bounded, order.Address, peer.ServiceName+"."+q.Method, q.Args(order.Hops), reply)
	if err != nil && context.Cause(ctx) != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return cutOff(err), peer.Reply{}
	}
	return classify(err, reply)
}

// cutOff names the event of a try that ended because the caller left.
func cutOff(err error) chart.Event {
	if errors.Is(err, peerrpc.ErrNotSent) {
		return evAbandoned
	}
	return evCutOff
}

// classify names the event of a try that ended with err and reply.
func classify(err error, reply *peer.Reply) (chart.Event, peer.Reply) {
	switch {
	case errors.Is(err, peerrpc.ErrNotSent):
		return evNotSent, peer.Reply{}
	case err != nil:
		return evNoReply, peer.Reply{}
	case result.Code(reply.Answer.Code) != result.NotHolder:
		return evReplied, *reply
	case reply.Holder != "":
		return evHinted, *reply
	default:
		return evNotHolder, peer.Reply{}
	}
}

// sleep waits for d and reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
