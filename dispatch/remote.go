package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/peerrpc"
)

const (
	// collectWait is how long a call for outcomes waits for the first one.
	collectWait = 500 * time.Millisecond
	// peerTimeout bounds a call of a peer beyond its wait.
	peerTimeout = 400 * time.Millisecond
	// collectPause is the pause after a call for outcomes that failed.
	collectPause = 100 * time.Millisecond
	// senderRing is the number of batches that may wait to be sent: one, while
	// the one before is on its way.
	senderRing = 1
)

// Sink is told what becomes of a remote's commands, on the remote's threads.
type Sink interface {
	// Collected hands over outcomes.
	Collected(r *Remote, outcomes []Outcome)
	// Failed says that the instance does not answer. The commands are those of a
	// batch that failed; sent is false if the instance has not seen them.
	Failed(r *Remote, commands []uint64, sent bool, err error)
}

// Remote is another instance that carries commands for one epoch.
type Remote struct {
	// Address is its peer address.
	Address   string
	ctx       context.Context
	peers     *peerrpc.Client
	epoch     uint64
	sink      Sink
	sender    *duty.Duty[[]Command]
	collector *duty.Duty[struct{}]
}

// NewRemote returns the instance at the peer address; its calls end with ctx.
func NewRemote(ctx context.Context, peers *peerrpc.Client, address string, epoch uint64, sink Sink) *Remote {
	r := &Remote{Address: address, ctx: ctx, peers: peers, epoch: epoch, sink: sink}
	r.sender = duty.NewCalling("commands", senderRing, duty.HandlerFunc[[]Command](r.send))
	r.collector = duty.NewCalling("outcomes", 1, duty.HandlerFunc[struct{}](r.collect))
	return r
}

// Duties returns the duties that call the instance.
func (r *Remote) Duties() []duty.Runner { return []duty.Runner{r.sender, r.collector} }

// Send hands a batch over, or reports false while another one waits.
func (r *Remote) Send(batch []Command) bool { return r.sender.Offer(batch) }

func (r *Remote) send(batches [][]Command) time.Duration {
	if len(batches) == 0 {
		return duty.Never
	}
	all := slices.Concat(batches...)
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	err := r.peers.Call(ctx, r.Address, sendMethod, Batch{Epoch: r.epoch, Commands: all}, &Empty{})
	if err != nil {
		ids := make([]uint64, 0, len(all))
		for _, e := range all {
			ids = append(ids, e.ID)
		}
		r.sink.Failed(r, ids, !eris.Is(err, peerrpc.ErrNotSent), err)
	}
	return duty.Never
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
		return collectPause
	}
	if len(reply.Outcomes) > 0 {
		r.sink.Collected(r, reply.Outcomes)
	}
	return 0
}
