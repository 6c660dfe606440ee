// Package shardjournal keeps what a shard must remember in the platform's table:
// entries of a period form one row, and old rows become a snapshot in the
// object store.
//
// Every write checks that the shard's epoch still stands, so a former holder
// can't write. A write whose reply was lost is settled by reading its row.
package shardjournal

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Entry is one thing to remember. Exactly one field is set.
type Entry struct {
	// Accepted is a request that was accepted.
	Accepted *model.Request `json:"accepted,omitempty"`
	// Intent precedes the start of a task that runs at most once.
	Intent *Intent `json:"intent,omitempty"`
	// Withdrawn is an attempt whose intent is on record and that did not and
	// will not run.
	Withdrawn *model.AttemptID `json:"withdrawn,omitempty"`
	// Done is a task that has succeeded.
	Done *Done `json:"done,omitempty"`
	// Answered is a request that has its answer.
	Answered *Answered `json:"answered,omitempty"`
	// Moved is a request that another shard runs.
	Moved *Moved `json:"moved,omitempty"`
	// Members is the set of endpoints that the shard commands.
	Members *Members `json:"members,omitempty"`
}

// Intent is the intent to start an attempt.
type Intent struct {
	// Attempt names the attempt.
	Attempt model.AttemptID `json:"attempt"`
	// Endpoint is where it is to run.
	Endpoint model.EndpointID `json:"endpoint"`
}

// Done is the success of one task.
type Done struct {
	// Request is the request of the task.
	Request model.RequestID `json:"request"`
	// Part is the task's part of the answer.
	Part model.Part `json:"part"`
}

// Answered is the answer to a request.
type Answered struct {
	// Answer is the answer.
	Answer model.Answer `json:"answer"`
	// At is the wall-clock time of the answer.
	At time.Time `json:"at"`
}

// Moved is a request that another shard runs and answers.
type Moved struct {
	// Request is the request.
	Request model.RequestID `json:"request"`
	// To is the shard that runs it.
	To model.ShardID `json:"to"`
}

// Members is a set of endpoints.
type Members struct {
	// Endpoints are the endpoints in the order of their names.
	Endpoints []model.EndpointInfo `json:"endpoints"`
}
