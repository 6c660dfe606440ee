package sched

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// submitWait bounds how long a submission waits for its acceptance to be
	// durable or, while the store is down, for its answer.
	submitWait = time.Minute
	// maxAwait bounds how long one call waits for an answer.
	maxAwait = time.Minute
	// replyGrace is added to the bound of a call, so that the shard duty can
	// reply at the bound.
	replyGrace = 5 * time.Second
)

// Service is the net/rpc service of the scheduler. Its methods post a message
// to the shard duty's ring and wait for the reply.
type Service struct {
	ctx    context.Context
	clock  clock.Clock
	shards map[model.ShardID]func(Message) bool
}

// NewService returns the service for the shards that the process is a candidate
// for. Each function posts a message to the shard's duty and reports false when
// its ring is full.
func NewService(ctx context.Context, source clock.Clock, shards map[model.ShardID]func(Message) bool) *Service {
	return &Service{ctx: ctx, clock: source, shards: shards}
}

// Submit submits a request. It returns when the acceptance is durable, or when
// the request has been answered or rejected.
func (s *Service) Submit(request peer.SubmitRequest, reply *peer.Reply) error {
	*reply = s.call(request.ID, submitWait, func(c caller) Message { return submit{request, c} })
	return nil
}

// Await waits for a request's answer, at most maxAwait.
func (s *Service) Await(request peer.AwaitRequest, reply *peer.Reply) error {
	wait := min(max(request.Wait, 0), maxAwait)
	*reply = s.call(request.ID, wait, func(c caller) Message { return await{request, c} })
	return nil
}

// Cancel cancels a request and waits for its answer, at most cancelWait.
func (s *Service) Cancel(request peer.CancelRequest, reply *peer.Reply) error {
	*reply = s.call(request.ID, cancelWait, func(c caller) Message { return cancel{request, c} })
	return nil
}

// Delegate accepts requests that another shard has moved here, and returns
// their answers or that they are pending.
func (s *Service) Delegate(request peer.DelegateRequest, reply *peer.DelegateReply) error {
	offer := s.shards[request.To]
	replies := make(chan peer.DelegateReply, 1)
	if offer == nil || !offer(delegation{request, replies}) {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, replyGrace)
	defer cancel()
	select {
	case *reply = <-replies:
	case <-ctx.Done():
	}
	return nil
}

// call posts the message to the home shard's duty and waits for its reply.
func (s *Service) call(id model.RequestID, wait time.Duration, message func(caller) Message) peer.Reply {
	home, err := id.Home()
	if err != nil {
		return peer.Reply{Answer: result.Answer(id, result.UnknownRequest, err.Error())}
	}
	offer := s.shards[home]
	if offer == nil {
		return peer.Reply{Answer: result.Answer(id, result.NotHolder, "the process is no candidate for shard "+home.String())}
	}
	replies := make(chan peer.Reply, 1)
	if !offer(message(caller{reply: replies, until: s.clock.Now().Add(wait)})) {
		return peer.Reply{Answer: result.Answer(id, result.Busy, "the shard's ring is full")}
	}
	return s.receive(id, replies, wait+replyGrace)
}

func (s *Service) receive(id model.RequestID, replies <-chan peer.Reply, wait time.Duration) peer.Reply {
	ctx, cancel := context.WithTimeout(s.ctx, wait)
	defer cancel()
	select {
	case reply := <-replies:
		reply.Answer.ID = id
		return reply
	case <-ctx.Done():
		return peer.Reply{Answer: result.Answer(id, result.HomeUnreachable, "the shard's duty gave no reply")}
	}
}
