package standin

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// RecordKind says what a record is about.
type RecordKind string

// The kinds of records.
const (
	// Added: the endpoint exists, with its capacity.
	Added RecordKind = "added"
	// Adopted: the endpoint serves a new epoch.
	Adopted RecordKind = "adopted"
	// Renewed: a Sync has renewed the leases of all that runs.
	Renewed RecordKind = "renewed"
	// Fenced: a command of a lower epoch was refused.
	Fenced RecordKind = "fenced"
	// Started: an attempt has begun to run.
	Started RecordKind = "started"
	// Refused: an attempt was not started, for the reason given.
	Refused RecordKind = "refused"
	// Ended: an attempt runs no more.
	Ended RecordKind = "ended"
	// Changed: the endpoint is in another state.
	Changed RecordKind = "changed"
	// Written: a row of the table was written.
	Written RecordKind = "written"
)

// Reasons of refused attempts.
const (
	ReasonCapacity  = "capacity"
	ReasonLeaving   = "leaving"
	ReasonDuplicate = "refused before"
)

// Record is one thing that a stand-in saw or did. Fields that do not belong to
// the kind are empty.
type Record struct {
	// Time is when it happened.
	Time time.Time `json:"time"`
	// Kind says what happened.
	Kind RecordKind `json:"kind"`
	// Endpoint is the endpoint.
	Endpoint model.EndpointID `json:"endpoint,omitempty"`
	// Domain is the endpoint's failure domain.
	Domain model.DomainName `json:"domain,omitempty"`
	// Rack is the rack of an added endpoint.
	Rack model.RackName `json:"rack,omitempty"`
	// Shard is the shard that commands the endpoint.
	Shard model.ShardID `json:"shard,omitzero"`
	// Epoch is the fencing token of the command.
	Epoch model.Epoch `json:"epoch,omitempty"`
	// Attempt names the attempt.
	Attempt model.AttemptID `json:"attempt,omitzero"`
	// Team is the team of the request.
	Team model.TeamName `json:"team,omitempty"`
	// Class is the class of the request.
	Class model.ClassName `json:"class,omitempty"`
	// Once says that the request runs at most once.
	Once bool `json:"once,omitempty"`
	// Size is the committed size, or the capacity of an added endpoint.
	Size model.Resources `json:"size,omitzero"`
	// Outcome is how the attempt ended.
	Outcome model.Outcome `json:"outcome,omitempty"`
	// Output is what the attempt returned.
	Output string `json:"output,omitempty"`
	// Reason says why an attempt was refused.
	Reason string `json:"reason,omitempty"`
	// State is the endpoint's state after a change.
	State string `json:"state,omitempty"`
	// Key is the key of the row.
	Key string `json:"key,omitempty"`
	// Version is the version of the row.
	Version uint64 `json:"version,omitempty"`
	// Value is the content of the row.
	Value []byte `json:"value,omitempty"`
}

// recordLog is an append-only list of records that belongs to one duty.
type recordLog struct{ records []Record }

func (l *recordLog) add(r Record) { l.records = append(l.records, r) }

// all returns the records so far; later ones don't change it.
func (l *recordLog) all() []Record { return slices.Clip(l.records) }
