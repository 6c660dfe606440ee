// Package endpoint holds the interface to an endpoint: a worker that runs
// tasks under leases.
//
// An endpoint fences: it remembers the highest epoch it has seen and refuses
// commands of a lower one. It runs a task only while the task's lease lasts; a
// Sync of the current epoch renews the leases of all tasks it names. A task
// that no Sync has named for its lease is stopped by the endpoint itself.
package endpoint

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// Errors of endpoints.
var (
	// ErrFenced means that the endpoint has seen a higher epoch. The command
	// had no effect.
	ErrFenced = eris.New("fenced by a higher epoch")
	// ErrUnavailable means that the endpoint gave no answer: the command may
	// or may not have taken effect.
	ErrUnavailable = eris.New("endpoint unavailable")
	// ErrRejected means that the endpoint does not accept the command (no
	// capacity, not synced under this epoch, leaving). It had no effect.
	ErrRejected = eris.New("rejected by the endpoint")
)

// Start is one attempt to be started.
type Start struct {
	// Attempt names the attempt. An endpoint that has seen it before does not
	// start it again.
	Attempt model.AttemptID `json:"attempt"`
	// Size is the committed size.
	Size model.Resources `json:"size"`
	// Request is the request, kept by the endpoint for a successor.
	Request model.Request `json:"request"`
}

// Control is a command to a running attempt.
type Control string

// The commands to running attempts.
const (
	// Stop ends the attempt.
	Stop Control = "stop"
	// Checkpoint ends the attempt at a checkpoint that a later attempt of the
	// same task resumes from.
	Checkpoint Control = "checkpoint"
	// Throttle holds the attempt to its committed size.
	Throttle Control = "throttle"
)

// Order is a command to one running attempt.
type Order struct {
	// Attempt names the attempt.
	Attempt model.AttemptID `json:"attempt"`
	// Control is the command.
	Control Control `json:"control"`
}

// SyncRequest is the one message between a holder and an endpoint: it fences,
// renews, starts, commands, acknowledges and asks for news, in this order.
type SyncRequest struct {
	// Shard is the shard of the holder.
	Shard model.ShardID `json:"shard"`
	// Epoch is the fencing token.
	Epoch model.Epoch `json:"epoch"`
	// Adopt is set in the first Sync of an epoch: the endpoint reports all
	// that it runs and all finished attempts that nobody has acknowledged, and
	// until it is adopted it starts nothing under this epoch.
	Adopt bool `json:"adopt,omitempty"`
	// Report asks for all that runs, with usage. Holders ask every few seconds
	// and send shorter Syncs in between.
	Report bool `json:"report,omitempty"`
	// Stamp is the Stamp of the last reply that the holder has received.
	Stamp int64 `json:"stamp,omitempty"`
	// Fresh bounds how late the Sync may take effect: the endpoint rejects it
	// when its own clock has gone on by more than this since Stamp. Zero
	// accepts any delay.
	Fresh time.Duration `json:"fresh_ns,omitempty"`
	// Lease is how long tasks may run without another Sync; zero renews
	// nothing.
	Lease time.Duration `json:"lease_ns"`
	// Starts are the attempts to be started.
	Starts []Start `json:"starts,omitempty"`
	// Orders are commands to running attempts.
	Orders []Order `json:"orders,omitempty"`
	// Acknowledged are finished attempts that are recorded and that the
	// endpoint may forget.
	Acknowledged []model.AttemptID `json:"acknowledged,omitempty"`
}

// StartResult is the endpoint's word on one Start.
type StartResult struct {
	// Attempt names the attempt.
	Attempt model.AttemptID `json:"attempt"`
	// Started is false when the endpoint rejected it: it did not and will not
	// run.
	Started bool `json:"started"`
	// Reason says why it was rejected.
	Reason string `json:"reason,omitempty"`
}

// SyncReply is the endpoint's answer.
type SyncReply struct {
	// Results answers the Starts, in their order.
	Results []StartResult `json:"results,omitempty"`
	// Running is all that runs, with usage as last sampled. It is complete in
	// the reply to Adopt or Report and empty in every other.
	Running []model.Running `json:"running,omitempty"`
	// Finished are the attempts that have ended and are not acknowledged.
	Finished []model.Finished `json:"finished,omitempty"`
	// Stamp is the endpoint's own clock in nanoseconds when it replied.
	Stamp int64 `json:"stamp,omitempty"`
	// Leaving says that the endpoint takes nothing new.
	Leaving bool `json:"leaving,omitempty"`
}

// Endpoint is the interface of endpoints to the holder of their shard.
type Endpoint interface {
	// Sync sends the request to the endpoint with the info's address. It
	// returns ErrFenced, ErrRejected or ErrUnavailable.
	Sync(ctx context.Context, info model.EndpointInfo, request SyncRequest) (SyncReply, error)
}
