package routing

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
)

// Peers makes a single call to a peer. It is implemented by peerrpc.Client.
type Peers interface {
	// Call calls the method of the peer at address and fills reply. It returns
	// peerrpc.ErrNotSent when the peer has not received the call, and another
	// error when it may have.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// HolderCall is a call to the holder of a shard.
type HolderCall struct {
	// Shard is the shard whose holder is called.
	Shard model.ShardID
	// Method is a method of the scheduler service.
	Method string
	// MayRunWork is set for a call on which a peer may run work. It may be repeated
	// only to holders of the same shard, which deduplicate it by its request id.
	// A holder may take long to reply to it without having failed.
	MayRunWork bool
	// TryTimeout is the timeout of one try.
	TryTimeout time.Duration
	// Args returns the arguments of a try after the given number of hops.
	Args func(hops int) any
}

// Outcome is the result of a call.
type Outcome struct {
	// Reply is the holder's reply, valid when Reached is set.
	Reply peer.Reply
	// Reached is set when the holder replied.
	Reached bool
	// MayHaveRun is set when no reply was received and a peer may have acted on
	// the call.
	MayHaveRun bool
	// Busy is set when the Router's ring was full; no peer was called.
	Busy bool
}

// Caller calls the holders of shards. Its methods run on the goroutines of HTTP
// handlers: they wait for the Router's decision and for the peer's reply and keep
// no state between calls.
type Caller struct {
	router *Router
	peers  Peers
	clock  clock.Clock
}

// NewCaller returns a Caller that chooses peers through router and calls them
// through peers.
func NewCaller(router *Router, peers Peers, c clock.Clock) *Caller {
	return &Caller{router: router, peers: peers, clock: c}
}

// Call calls the holder, with retries, until it replies or ctx ends. ctx must have
// a deadline.
func (c *Caller) Call(ctx context.Context, q HolderCall) Outcome {
	deadline, _ := ctx.Deadline()
	reply := make(chan Decision, 1)
	started := c.router.offerCall(&call{shard: q.Shard, deadline: deadline, mayTakeLong: q.MayRunWork}, reply)
	if !started {
		return Outcome{Busy: true}
	}
	decision := <-reply
	var answer peer.Reply
	for !decision.Final {
		var event chart.Event
		event, answer = c.try(ctx, q, decision)
		if err := c.router.putTryEnd(decision.call, event, answer.Holder, reply); err != nil {
			return Outcome{MayHaveRun: q.MayRunWork}
		}
		decision = <-reply
		if event == evReplied {
			return Outcome{Reply: answer, Reached: true}
		}
	}
	return Outcome{MayHaveRun: decision.MayHaveRun && q.MayRunWork}
}

// try makes the call that the decision describes and returns the event for its
// result.
func (c *Caller) try(ctx context.Context, q HolderCall, decision Decision) (chart.Event, peer.Reply) {
	if !duty.Sleep(ctx, decision.Delay) {
		return evAbandoned, peer.Reply{}
	}
	if decision.Address == "" {
		return evNotSent, peer.Reply{}
	}
	bounded, cancel := context.WithTimeout(ctx, q.TryTimeout)
	defer cancel()
	// Each try has its own reply value: a delayed reply to an earlier try may still
	// be written.
	reply := new(peer.Reply)
	err := c.peers.Call(bounded, decision.Address, peer.ServiceName+"."+q.Method, q.Args(decision.Hops), reply)
	if err != nil && context.Cause(ctx) != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return interruptedEvent(err), peer.Reply{}
	}
	return classify(err, reply)
}

// interruptedEvent returns the event for a try that ended because the caller
// cancelled the call.
func interruptedEvent(err error) chart.Event {
	if errors.Is(err, peerrpc.ErrNotSent) {
		return evAbandoned
	}
	return evInterrupted
}

// classify returns the event for a try that ended with err and reply.
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
