package sched

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
)

const (
	// delegateRing is the capacity of the delegate duty's ring. When it is
	// full, the shard duty retries at its next sweep.
	delegateRing = 16
	// delegateTimeout bounds one call to another shard.
	delegateTimeout = time.Second
)

// Peers calls other schedulers. Package peerrpc implements it.
type Peers interface {
	// Call calls the method of the peer at address and fills reply.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// delegateJob is one Delegate call to another shard.
type delegateJob struct {
	epoch model.Epoch
	to    model.ShardID
	items []peer.DelegatedItem
}

// delegateDuty calls other shards on its own thread, since the calls block.
type delegateDuty struct {
	peers  Peers
	holder func(model.ShardID) (address string, ok bool)
	post   func(Message)
	// redirects holds the addresses of holders that peers have redirected to.
	redirects map[model.ShardID]string
}

// Handle makes the calls sequentially.
func (d *delegateDuty) Handle(batch []delegateJob) time.Duration {
	for _, job := range batch {
		d.post(delegateReplied{epoch: job.epoch, to: job.to, answers: d.call(job)})
	}
	return duty.Never
}

// call returns no answers when the shard was unreachable or its holder was not
// serving; the shard duty then retries.
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
