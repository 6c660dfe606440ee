package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/peerrpc"
)

const (
	// collectWait is how long a call for outcomes waits for the first one.
	collectWait = 500 * time.Millisecond
	// peerTimeout is the time allowed for a call to a peer in addition to its wait.
	peerTimeout = 400 * time.Millisecond
	// collectRetryPause is the pause after a failed call for outcomes.
	collectRetryPause = 100 * time.Millisecond
	// senderRing is the number of batches that may wait to be sent: one, while
	// the previous one is in flight.
	senderRing = 1
)

// Sink receives the results of a Remote's commands, on the Remote's threads.
type Sink interface {
	// Collected is called with one or more outcomes.
	Collected(r *Remote, outcomes []Outcome)
	// Failed is called when a call to the instance has failed. commands are the
	// IDs of the batch that it was to send, if any; sent is false if the batch
	// certainly did not reach the instance.
	Failed(r *Remote, commands []uint64, sent bool, err error)
}

// Remote is the holder's side of an Agent on another instance, for one epoch.
type Remote struct {
	// Address is the instance's peer address.
	Address   string
	ctx       context.Context
	peers     *peerrpc.Client
	clock     clock.Clock
	epoch     uint64
	sink      Sink
	sender    *duty.Duty[[]Command]
	collector *duty.Duty[struct{}]
	// reading is the last reading of the agent's clock. Only the sender uses it.
	reading clockReading
}

// NewRemote returns a Remote for the instance at the peer address. Cancelling ctx
// ends its calls.
func NewRemote(ctx context.Context, peers *peerrpc.Client, c clock.Clock, address string, epoch uint64, sink Sink) *Remote {
	r := &Remote{Address: address, ctx: ctx, peers: peers, clock: c, epoch: epoch, sink: sink}
	r.sender = duty.NewCalling("commands", senderRing, duty.HandlerFunc[[]Command](r.send))
	r.collector = duty.NewCalling("outcomes", 1, duty.HandlerFunc[struct{}](r.collect))
	return r
}

// Duties returns the two duties that call the instance; the caller runs them.
func (r *Remote) Duties() []duty.Runner { return []duty.Runner{r.sender, r.collector} }

// Send queues a batch. It returns false while another one waits.
func (r *Remote) Send(batch []Command) bool { return r.sender.Offer(batch) }

func (r *Remote) send(batches [][]Command) time.Duration {
	if len(batches) == 0 {
		return duty.Never
	}
	all := slices.Concat(batches...)
	if err := r.readClock(); err != nil {
		r.sink.Failed(r, commandIDs(all), false, err)
		return duty.Never
	}
	if all = r.valid(all); len(all) == 0 {
		return duty.Never
	}
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	batch := Batch{Epoch: r.epoch, Incarnation: r.reading.Incarnation, Commands: all}
	if err := r.peers.Call(ctx, r.Address, sendMethod, batch, &Empty{}); err != nil {
		r.reading = clockReading{}
		r.sink.Failed(r, commandIDs(all), !eris.Is(err, peerrpc.ErrNotSent), err)
	}
	return duty.Never
}

func commandIDs(commands []Command) []uint64 {
	ids := make([]uint64, 0, len(commands))
	for _, command := range commands {
		ids = append(ids, command.ID)
	}
	return ids
}

// valid returns the commands that may still be sent, with the ends of their permissions on
// the agent's clock, and reports the others as refused.
func (r *Remote) valid(commands []Command) []Command {
	now := r.clock.Now()
	var valid []Command
	var expired []Outcome
	for _, command := range commands {
		if command.expired(now) {
			expired = append(expired, command.expiredOutcome())
			continue
		}
		if !command.validUntil.IsZero() {
			command.SendBy = r.reading.agentTime(command.validUntil)
		}
		valid = append(valid, command)
	}
	if len(expired) > 0 {
		r.sink.Collected(r, expired)
	}
	return valid
}

func (r *Remote) collect([]struct{}) time.Duration {
	if r.ctx.Err() != nil {
		return duty.Never
	}
	ctx, cancel := context.WithTimeout(r.ctx, collectWait+peerTimeout)
	defer cancel()
	var reply Reply
	err := r.peers.Call(ctx, r.Address, collectMethod, Request{Epoch: r.epoch, Wait: collectWait}, &reply)
	if err != nil {
		r.sink.Failed(r, nil, false, err)
		return collectRetryPause
	}
	if len(reply.Outcomes) > 0 {
		r.sink.Collected(r, reply.Outcomes)
	}
	return 0
}
