// Package shard decides which process holds a shard and until when the holder
// may act. Lease reads and writes the shard's rows through a storage.Table; the
// rest of the package does no I/O. The package starts no threads: the duties of
// package sched call it and act on its decisions.
package shard

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// EpochRow is the content of a shard's epoch row. The row's version is the
// epoch.
type EpochRow struct {
	// Holder is the process that took over the shard in this epoch.
	Holder model.InstanceID `json:"holder"`
}

// LeaseRow is the content of a shard's lease row.
type LeaseRow struct {
	// Holder is the process that holds the shard.
	Holder model.InstanceID `json:"holder"`
	// Address is the host:port at which the holder serves its peers.
	Address string `json:"address"`
	// Lease is how long the row stays valid without a renewal.
	Lease time.Duration `json:"lease_ns"`
	// Released is set when the holder has released the shard.
	Released bool `json:"released,omitempty"`
}

// EpochKey returns the key of the shard's epoch row.
func EpochKey(id model.ShardID) string { return "shard/" + id.String() + "/epoch" }

// LeaseKey returns the key of the shard's lease row.
func LeaseKey(id model.ShardID) string { return "shard/" + id.String() + "/lease" }

// Encode returns the row as JSON.
func Encode[R EpochRow | LeaseRow](row R) []byte {
	// Both rows consist of strings, a number and a boolean, so encoding can't
	// fail.
	raw, _ := json.Marshal(row)
	return raw
}

// Decode decodes a row that Encode wrote.
func Decode[R EpochRow | LeaseRow](raw []byte) (R, error) {
	var row R
	err := json.Unmarshal(raw, &row)
	return row, eris.Wrap(err, "decoding a shard row")
}
