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

// caller is one call of a peer that waits for its reply.
type caller struct {
	reply chan<- peer.Reply
	until time.Time
}

// send gives the caller its reply. The channel has room for it.
func (c caller) send(reply peer.Reply) { c.reply <- reply }

type (
	// submit hands a request to its home.
	submit struct {
		request peer.SubmitRequest
		caller  caller
	}
	// await asks for an answer.
	await struct {
		request peer.AwaitRequest
		caller  caller
	}
	// cancel ends a request.
	cancel struct {
		request peer.CancelRequest
		caller  caller
	}
)

type (
	// held says that the lease duty has taken the shard.
	held struct {
		epoch model.Epoch
		until time.Time
	}
	// renewed says that the table's lease lasts longer.
	renewed struct{ until time.Time }
	// lost says that another process has taken a later epoch.
	lost struct{}
	// resigned says that the lease row is handed back.
	resigned struct{}
	// seen says who holds the shard.
	seen struct{ holder shard.LeaseRow }
)

type (
	// replayed hands over what the journal remembers.
	replayed struct {
		epoch model.Epoch
		image *shardjournal.Image
	}
	// durable says that entries are on record.
	durable struct {
		epoch  model.Epoch
		number uint64
	}
	// store says whether the table takes entries.
	store struct {
		epoch model.Epoch
		up    bool
	}
	// fenced says that the journal met a later epoch.
	fenced struct{ epoch model.Epoch }
)

// synced is what came of one Sync.
type synced struct {
	epoch   model.Epoch
	id      model.EndpointID
	worker  int
	request endpoint.SyncRequest
	reply   endpoint.SyncReply
	err     error
	// sentAt and endedAt are the local times before and after the call.
	sentAt  time.Time
	endedAt time.Time
	// withheld says that the holder was not certain of its shard any more, so
	// that nothing was sent.
	withheld bool
}

type (
	// listed is the instance list of the failure domain.
	listed struct{ endpoints []model.EndpointInfo }
	// fleet is the instance list of all failure domains.
	fleet struct{ endpoints []model.EndpointInfo }
	// configured is a configuration in force.
	configured struct {
		config  *model.Config
		applied func(model.ConfigVersion)
	}
	// parted is the shard's part of a team's limit.
	parted struct {
		epoch model.Epoch
		team  model.TeamName
		part  model.Resources
	}
	// drain starts the hand-over; gone is closed at its end.
	drain struct{ gone chan<- struct{} }
)
