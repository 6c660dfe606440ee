// Package shard decides who holds a shard and what the holder may do. It does
// no input or output: the duties of package sched bring it what the table and
// the endpoints said and the time, and carry out what it decides.
package shard

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// EpochRow is the content of a shard's epoch row. The version of the row is
// the epoch.
type EpochRow struct {
	// Holder is the process that took the shard over.
	Holder model.InstanceID `json:"holder"`
}

// LeaseRow is the content of a shard's lease row.
type LeaseRow struct {
	// Holder is the process that holds the shard.
	Holder model.InstanceID `json:"holder"`
	// Address is the host and port of its peers' interface.
	Address string `json:"address"`
	// Lease is how long the row stands without a renewal.
	Lease time.Duration `json:"lease_ns"`
	// Released says that the holder has handed the shard back.
	Released bool `json:"released,omitempty"`
}

// EpochKey returns the key of the shard's epoch row.
func EpochKey(id model.ShardID) string { return "shard/" + id.String() + "/epoch" }

// LeaseKey returns the key of the shard's lease row.
func LeaseKey(id model.ShardID) string { return "shard/" + id.String() + "/lease" }

// Encode returns the row as JSON.
func Encode[R EpochRow | LeaseRow](row R) []byte {
	// Both rows hold strings, a number and a flag, which always encode.
	raw, _ := json.Marshal(row)
	return raw
}

// Decode reads a row that Encode wrote.
func Decode[R EpochRow | LeaseRow](raw []byte) (R, error) {
	var row R
	err := json.Unmarshal(raw, &row)
	return row, eris.Wrap(err, "row of a shard")
}
