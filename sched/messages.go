package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// Message is a message to the shard duty.
type Message interface{ deliver(s *Shard) }

// caller is one call from a peer that waits for its reply until the given time.
type caller struct {
	reply chan<- peer.Reply
	until time.Time
}

// send replies to the caller. The channel is buffered, so that send never
// blocks.
func (c caller) send(reply peer.Reply) { c.reply <- reply }

type (
	// submit submits a request to its home shard.
	submit struct {
		request peer.SubmitRequest
		caller  caller
	}
	// await waits for a request's answer.
	await struct {
		request peer.AwaitRequest
		caller  caller
	}
	// cancel cancels a request.
	cancel struct {
		request peer.CancelRequest
		caller  caller
	}
)

type (
	// leaseHeld is sent when the lease duty has acquired the shard.
	leaseHeld struct {
		epoch model.Epoch
		until time.Time
	}
	// leaseRenewed is sent when the lease row has been extended.
	leaseRenewed struct{ until time.Time }
	// leaseLost is sent when another process has acquired a later epoch.
	leaseLost struct{}
	// leaseReleased is sent when the lease row has been released.
	leaseReleased struct{}
	// leaseObserved carries the lease row of the shard's holder as read from
	// the table.
	leaseObserved struct{ holder shard.LeaseRow }
)

type (
	// journalReplayed carries the state read from the journal.
	journalReplayed struct {
		epoch model.Epoch
		image *shardjournal.Image
	}
	// entriesDurable is sent when all entries up to the number are durable.
	entriesDurable struct {
		epoch  model.Epoch
		number uint64
	}
	// storeChanged is sent when the table starts or stops accepting entries.
	storeChanged struct {
		epoch model.Epoch
		up    bool
	}
	// journalFenced is sent when a journal write found a later epoch.
	journalFenced struct{ epoch model.Epoch }
)

// syncDone is the result of one Sync.
type syncDone struct {
	epoch   model.Epoch
	id      model.EndpointID
	worker  int
	request endpoint.SyncRequest
	reply   endpoint.SyncReply
	err     error
	// sentAt and endedAt are the local times before and after the call.
	sentAt  time.Time
	endedAt time.Time
	// withheld is set when the holder could no longer prove that it holds the
	// shard, so that nothing was sent.
	withheld bool
}

type (
	// domainListed carries the instance list of the failure domain.
	domainListed struct{ endpoints []model.EndpointInfo }
	// fleetListed carries the instance list of all failure domains.
	fleetListed struct{ endpoints []model.EndpointInfo }
	// configured carries a configuration in force; applied is called once the
	// shard uses it.
	configured struct {
		config  *model.Config
		applied func(model.ConfigVersion)
	}
	// partAssigned carries the shard's part of a team's limit.
	partAssigned struct {
		epoch model.Epoch
		team  model.TeamName
		part  model.Resources
	}
	// drain starts the hand-over; done is closed at its end.
	drain struct{ done chan<- struct{} }
)
