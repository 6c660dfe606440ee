// Package peer holds the messages between the system's own processes. They
// travel by net/rpc; this package knows no transport beyond the field types.
package peer

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// ServiceName is the net/rpc name of the scheduler's service.
const ServiceName = "Scheduler"

// SubmitRequest hands a checked request to the holder of its home shard.
type SubmitRequest struct {
	// ID is the request's id, whose home the gate has worked out.
	ID model.RequestID
	// Team is the team of the key.
	Team model.TeamName
	// Key is the caller's idempotency key.
	Key model.IdempotencyKey
	// Spec is what is asked for.
	Spec model.Spec
	// ConfigVersion is the version that the gate checked the key against.
	ConfigVersion model.ConfigVersion
	// Hops counts the processes that have passed the request on.
	Hops int
}

// AwaitRequest asks for the answer to a request.
type AwaitRequest struct {
	// ID is the request's id.
	ID model.RequestID
	// Team is the team of the key: others' requests are unknown to it.
	Team model.TeamName
	// Wait is how long to wait for the answer.
	Wait time.Duration
	// ConfigVersion is set by a gate that asks whether the request was
	// submitted here before: a shard that acts by an older version may still
	// take it from another gate and does not say that it is unknown.
	ConfigVersion model.ConfigVersion
	// Hops counts the processes that have passed the request on.
	Hops int
}

// CancelRequest cancels a request.
type CancelRequest struct {
	// ID is the request's id.
	ID model.RequestID
	// Team is the team of the key.
	Team model.TeamName
	// Hops counts the processes that have passed the request on.
	Hops int
}

// Reply is what the scheduler says to each of them.
type Reply struct {
	// Answer is the request's answer; its code is Pending while there is none.
	Answer model.Answer
	// Holder is the address of the process to ask instead, when the code is
	// NotHolder and it is known.
	Holder string
	// Explanation answers an ExplainRequest.
	Explanation *Explanation
	// Status answers a StatusRequest.
	Status *ShardStatus
}

// DelegateRequest asks another shard to run requests and for their answers. It
// is idempotent: a request that the shard knows is not taken a second time.
type DelegateRequest struct {
	// To is the shard that is asked.
	To model.ShardID
	// Items are the requests.
	Items []DelegatedItem
}

// DelegatedItem is one request that another shard runs.
type DelegatedItem struct {
	// ID is the request's id; its home asks.
	ID model.RequestID
	// Request is the request, nil once the shard is known to have it.
	Request *model.Request
	// Cancel says that the caller has cancelled it.
	Cancel bool
}

// DelegateReply is what the shard says.
type DelegateReply struct {
	// Served is false when the process does not hold the shard, or can't serve
	// it yet; nothing was taken then.
	Served bool
	// Holder is the address of the process to ask instead, when it is known.
	Holder string
	// Answers are the answers to the items, in their order. The code is
	// Pending while there is none, and UnknownRequest for an item without its
	// request that the shard does not have.
	Answers []model.Answer
}
