// Package endpoint defines the interface to an endpoint, a back end that runs
// tasks under leases.
//
// An endpoint enforces fencing: it stores the highest epoch it has received and
// rejects commands with a lower one. It runs a task only while the task's lease is
// valid. A Sync of the current epoch renews the leases of all tasks it names. The
// endpoint itself stops a task whose lease lapses without such a Sync.
package endpoint

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// Errors of endpoints.
var (
	// ErrFenced means that the endpoint has received a higher epoch. The
	// command had no effect.
	ErrFenced = eris.New("fenced by a higher epoch")
	// ErrUnavailable means that the endpoint did not respond. The outcome is
	// unknown: the command may or may not have taken effect.
	ErrUnavailable = eris.New("endpoint unavailable")
	// ErrRejected means that the endpoint rejected the command (no capacity,
	// not synced under this epoch, leaving). The command had no effect.
	ErrRejected = eris.New("rejected by the endpoint")
)

// Start is a command to start one attempt.
type Start struct {
	// Attempt identifies the attempt. Starts are idempotent: an endpoint starts
	// an attempt at most once.
	Attempt model.AttemptID `json:"attempt"`
	// Size is the amount of resources committed to the attempt.
	Size model.Resources `json:"size"`
	// Request is the attempt's request. The endpoint stores it, so that the next
	// holder can read it from there.
	Request model.Request `json:"request"`
}

// Control is a command to a running attempt.
type Control string

// The commands to running attempts.
const (
	// Stop stops the attempt.
	Stop Control = "stop"
	// Checkpoint stops the attempt at a checkpoint, from which a later attempt
	// of the same task resumes.
	Checkpoint Control = "checkpoint"
	// Throttle limits the attempt to its committed size.
	Throttle Control = "throttle"
)

// Order is a command to one running attempt.
type Order struct {
	Attempt model.AttemptID `json:"attempt"`
	Control Control         `json:"control"`
}

// SyncRequest is the only message from a holder to an endpoint. The endpoint
// processes it in this order: it checks the epoch, renews leases, starts
// attempts, executes commands, removes acknowledged attempts and reports.
type SyncRequest struct {
	// Shard is the shard of the holder.
	Shard model.ShardID `json:"shard"`
	// Epoch is the fencing token.
	Epoch model.Epoch `json:"epoch"`
	// Adopt is set in the first Sync of an epoch. The endpoint reports all
	// running attempts and all finished attempts that have not been
	// acknowledged. Before that it starts nothing under this epoch.
	Adopt bool `json:"adopt,omitempty"`
	// Report requests all running attempts with their usage. Holders set it
	// every few seconds and send shorter Syncs in between.
	Report bool `json:"report,omitempty"`
	// Stamp is the Stamp of the last reply that the holder has received.
	Stamp int64 `json:"stamp,omitempty"`
	// Fresh limits the delay with which the Sync may take effect: the endpoint
	// rejects it when its own clock has advanced by more than this since Stamp.
	// Zero means no limit.
	Fresh time.Duration `json:"fresh_ns,omitempty"`
	// Lease is the time for which tasks may run without another Sync; zero
	// renews no lease.
	Lease time.Duration `json:"lease_ns"`
	// Starts are the attempts to start.
	Starts []Start `json:"starts,omitempty"`
	// Orders are commands to running attempts.
	Orders []Order `json:"orders,omitempty"`
	// Acknowledged are finished attempts whose results are durable, so that the
	// endpoint may discard them.
	Acknowledged []model.AttemptID `json:"acknowledged,omitempty"`
}

// StartResult is the result of one Start.
type StartResult struct {
	Attempt model.AttemptID `json:"attempt"`
	// Started is false when the endpoint rejected the start: the attempt did not
	// run and will not run.
	Started bool `json:"started"`
	// Reason is why the start was rejected.
	Reason string `json:"reason,omitempty"`
}

// SyncReply is the response to a SyncRequest.
type SyncReply struct {
	// Results are the results of the Starts, in the same order.
	Results []StartResult `json:"results,omitempty"`
	// Running are all running attempts with their last sampled usage. It is
	// complete in the reply to Adopt or Report and empty in any other.
	Running []model.Running `json:"running,omitempty"`
	// Finished are the finished attempts that have not been acknowledged.
	Finished []model.Finished `json:"finished,omitempty"`
	// Stamp is the time of the reply on the endpoint's own clock, in
	// nanoseconds.
	Stamp int64 `json:"stamp,omitempty"`
	// Leaving is set when the endpoint accepts no new attempts.
	Leaving bool `json:"leaving,omitempty"`
}

// Endpoint sends commands to endpoints on behalf of the holder of their shard.
type Endpoint interface {
	// Sync sends request to the endpoint at info.Address. Its errors are or wrap
	// ErrFenced, ErrRejected or ErrUnavailable.
	Sync(ctx context.Context, info model.EndpointInfo, request SyncRequest) (SyncReply, error)
}
