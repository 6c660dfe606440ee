package standin

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// RecordKind is the kind of a record.
type RecordKind string

// The kinds of records.
const (
	// Added: the endpoint was added with the given capacity.
	Added RecordKind = "added"
	// Adopted: a new epoch has adopted the endpoint.
	Adopted RecordKind = "adopted"
	// Renewed: a Sync has extended the leases of running attempts.
	Renewed RecordKind = "renewed"
	// Fenced: a command of a lower epoch was refused.
	Fenced RecordKind = "fenced"
	// Started: an attempt was started.
	Started RecordKind = "started"
	// Refused: an attempt was not started, for the reason given.
	Refused RecordKind = "refused"
	// Ended: an attempt has ended.
	Ended RecordKind = "ended"
	// Changed: the endpoint's state has changed.
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

// Record is one event on a stand-in. Fields that do not apply to the kind are
// empty.
type Record struct {
	// Time is the time of the event.
	Time     time.Time        `json:"time"`
	Kind     RecordKind       `json:"kind"`
	Endpoint model.EndpointID `json:"endpoint,omitempty"`
	// Domain is the endpoint's failure domain.
	Domain model.DomainName `json:"domain,omitempty"`
	// Rack is the rack of an added endpoint.
	Rack model.RackName `json:"rack,omitempty"`
	// Shard is the shard that commands the endpoint.
	Shard model.ShardID `json:"shard,omitzero"`
	// Epoch is the fencing token of the command.
	Epoch   model.Epoch     `json:"epoch,omitempty"`
	Attempt model.AttemptID `json:"attempt,omitzero"`
	// Team is the team of the request.
	Team model.TeamName `json:"team,omitempty"`
	// Class is the class of the request.
	Class model.ClassName `json:"class,omitempty"`
	// Once is set when the request runs at most once.
	Once bool `json:"once,omitempty"`
	// Size is the committed size, or the capacity of an added endpoint.
	Size model.Resources `json:"size,omitzero"`
	// Outcome is the outcome of an ended attempt.
	Outcome model.Outcome `json:"outcome,omitempty"`
	// Output is the output of an attempt that succeeded.
	Output string `json:"output,omitempty"`
	// Reason is why an attempt was refused.
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

// recordLog is an append-only list of records, owned by one duty.
type recordLog struct{ records []Record }

func (l *recordLog) add(r Record) { l.records = append(l.records, r) }

// all returns the records so far. Records added later don't change the slice.
func (l *recordLog) all() []Record { return slices.Clip(l.records) }
