// Package peer defines the messages of the scheduler's service, which the system's
// own processes send each other by net/rpc. net/rpc encodes the exported fields
// under their Go names. The package does not depend on the transport.
package peer

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// ServiceName is the name under which the scheduler's service is registered with
// net/rpc.
const ServiceName = "Scheduler"

// SubmitRequest submits a request validated by the gate to the holder of its
// home shard.
type SubmitRequest struct {
	// ID is the request's id. Its home was computed by the gate.
	ID model.RequestID
	// Team is the team of the caller's API key.
	Team model.TeamName
	// Key is the caller's idempotency key.
	Key model.IdempotencyKey
	// Spec describes the requested work.
	Spec model.Spec
	// ConfigVersion is the version of the configuration against which the gate
	// checked the API key.
	ConfigVersion model.ConfigVersion
	// Hops counts the processes that have forwarded the request.
	Hops int
}

// AwaitRequest requests the answer to a submitted request.
type AwaitRequest struct {
	// ID is the request's id.
	ID model.RequestID
	// Team is the team of the caller's API key. Requests of other teams are
	// treated as unknown.
	Team model.TeamName
	// Wait is the maximum time to wait for the answer.
	Wait time.Duration
	// ConfigVersion is set by a gate that checks whether the request was submitted
	// to this shard before. A shard that acts by an older version may still accept
	// the request from another gate, so it does not reply that it is unknown.
	ConfigVersion model.ConfigVersion
	// Hops counts the processes that have forwarded the request.
	Hops int
}

// CancelRequest cancels a submitted request.
type CancelRequest struct {
	// ID is the request's id.
	ID model.RequestID
	// Team is the team of the caller's API key.
	Team model.TeamName
	// Hops counts the processes that have forwarded the request.
	Hops int
}

// Reply is the reply to SubmitRequest, AwaitRequest, CancelRequest, ExplainRequest
// and StatusRequest.
type Reply struct {
	// Answer is the answer to the request; its code is Pending while there is
	// none.
	Answer model.Answer
	// Holder is the address of the process to call instead, when the code is
	// NotHolder and the holder is known; otherwise empty.
	Holder string
	// Explanation is set in the reply to an ExplainRequest.
	Explanation *Explanation
	// Status is set in the reply to a StatusRequest.
	Status *ShardStatus
}

// DelegateRequest requests that another shard run requests, and queries their
// answers. It is idempotent: a request that the shard already has is not
// accepted a second time.
type DelegateRequest struct {
	// To is the shard that is to run the requests.
	To model.ShardID
	// Items are the requests to run or to query.
	Items []DelegatedItem
}

// DelegatedItem is one request that another shard runs.
type DelegatedItem struct {
	// ID is the request's id; the request's home sends the DelegateRequest.
	ID model.RequestID
	// Request is the request; nil once the shard has confirmed that it has it.
	Request *model.Request
	// Cancel is set when the caller has cancelled the request.
	Cancel bool
}

// DelegateReply is the reply to a DelegateRequest.
type DelegateReply struct {
	// Served is false when the process does not hold the shard or cannot serve it
	// yet; no item was accepted then.
	Served bool
	// Holder is the address of the process to call instead; empty when unknown.
	Holder string
	// Answers are the answers to the items, in the order of the items. The code is
	// Pending while there is no answer, and UnknownRequest for an item that was
	// sent without its request and that the shard does not have.
	Answers []model.Answer
}
