package sched

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
)

const (
	// delegateRing is the capacity of the delegate duty's ring. A full ring
	// refuses: the shard duty asks again at its next sweep.
	delegateRing = 16
	// delegateTimeout bounds one call to another shard.
	delegateTimeout = time.Second
)

// Peers calls other schedulers; package peerrpc has an implementation.
type Peers interface {
	// Call calls the method of the peer at address and fills reply.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// delegateJob is one call to another shard.
type delegateJob struct {
	epoch model.Epoch
	to    model.ShardID
	items []peer.DelegatedItem
}

// delegateDuty calls other shards on a thread of its own, since calls block.
type delegateDuty struct {
	peers  Peers
	holder func(model.ShardID) (address string, ok bool)
	post   func(Message)
	// redirects are the holders that peers have named.
	redirects map[model.ShardID]string
}

// Handle makes the calls one after the other.
func (d *delegateDuty) Handle(batch []delegateJob) time.Duration {
	for _, job := range batch {
		d.post(asked{epoch: job.epoch, to: job.to, answers: d.call(job)})
	}
	return duty.Never
}

// call returns no answers when the shard was not reached or not served; the
// shard duty then asks again.
func (d *delegateDuty) call(job delegateJob) []model.Answer {
	address, known := d.address(job.to)
	if !known {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), delegateTimeout)
	defer cancel()
	var reply peer.DelegateReply
	request := peer.DelegateRequest{To: job.to, Items: job.items}
	err := d.peers.Call(ctx, address, peer.ServiceName+".Delegate", request, &reply)
	delete(d.redirects, job.to)
	if err != nil {
		return nil
	}
	if !reply.Served && reply.Holder != "" {
		d.redirects[job.to] = reply.Holder
	}
	return reply.Answers
}

func (d *delegateDuty) address(to model.ShardID) (address string, known bool) {
	if address, known = d.redirects[to]; known {
		return address, true
	}
	if d.holder == nil {
		return "", false
	}
	return d.holder(to)
}
