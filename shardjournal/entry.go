// Package shardjournal persists a shard's durable state as a journal in the
// platform's table: the entries of an interval form one row, and old rows are
// replaced by a snapshot in the object store.
//
// Every write checks the shard's epoch, so that a previous holder can't write.
// After a write whose reply was lost, its row is read back to determine the
// outcome.
package shardjournal

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Entry is one journal entry. Exactly one field is set.
type Entry struct {
	// Accepted is a request that was accepted.
	Accepted *model.Request `json:"accepted,omitempty"`
	// Intent precedes the start of a task that runs at most once.
	Intent *Intent `json:"intent,omitempty"`
	// Withdrawn is an attempt with a durable intent that has not run and will not
	// run.
	Withdrawn *model.AttemptID `json:"withdrawn,omitempty"`
	// Done is a task that succeeded.
	Done *Done `json:"done,omitempty"`
	// Answered is a request that has been answered.
	Answered *Answered `json:"answered,omitempty"`
	// Moved is a request that was transferred to another shard.
	Moved *Moved `json:"moved,omitempty"`
	// Members is the set of endpoints that belong to the shard.
	Members *Members `json:"members,omitempty"`
}

// Intent is the intent to start an attempt.
type Intent struct {
	Attempt model.AttemptID `json:"attempt"`
	// Endpoint is the endpoint on which it is to run.
	Endpoint model.EndpointID `json:"endpoint"`
}

// Done is the success of one task.
type Done struct {
	Request model.RequestID `json:"request"`
	// Part is the task's part of the request's answer.
	Part model.Part `json:"part"`
}

// Answered is the answer to a request.
type Answered struct {
	Answer model.Answer `json:"answer"`
	// At is the wall-clock time of the answer.
	At time.Time `json:"at"`
}

// Moved is a request that was transferred to another shard, which runs and
// answers it.
type Moved struct {
	Request model.RequestID `json:"request"`
	// To is the shard that runs the request.
	To model.ShardID `json:"to"`
}

// Members is the set of a shard's endpoints.
type Members struct {
	// Endpoints are sorted by name.
	Endpoints []model.EndpointInfo `json:"endpoints"`
}
