// Package storage holds the narrow interfaces to what the platform gives: a
// transactional table, an object store and a lagging list of instances. Each
// has an adapter in a package of its own, so that another protocol is one new
// file.
package storage

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// Errors of the platform's services.
var (
	// ErrConflict means that a check of a transaction failed: nothing was
	// written.
	ErrConflict = eris.New("transaction conflict")
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = eris.New("not found")
	// ErrUnavailable means that the service gave no answer: a write may or may
	// not have taken effect.
	ErrUnavailable = eris.New("platform service unavailable")
)

// RowVersion orders the writes of a row; each has a higher one than the last.
// 0 stands for no row.
type RowVersion uint64

// Row is a row of the table.
type Row struct {
	// Key is the row's key.
	Key string `json:"key"`
	// Value is the row's content.
	Value []byte `json:"value"`
	// Version is the version of the row's last write.
	Version RowVersion `json:"version"`
}

// Check is a condition of a transaction: the row has this version.
type Check struct {
	// Key is the row's key.
	Key string `json:"key"`
	// Version is the version that the row must have; 0 means no row.
	Version RowVersion `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	// Key is the row's key.
	Key string `json:"key"`
	// Value is the new content.
	Value []byte `json:"value,omitempty"`
	// Delete removes the row instead.
	Delete bool `json:"delete,omitempty"`
}

// Txn is a transaction: when all checks hold, all writes take effect.
type Txn struct {
	// Checks are the conditions.
	Checks []Check `json:"checks"`
	// Writes are the changes.
	Writes []Write `json:"writes"`
}

// Table is the platform's transactional table. It is linearizable.
type Table interface {
	// Get returns the row with the key, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows whose keys have the prefix and come
	// after the key after, in the order of their keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit carries out the transaction, or returns ErrConflict. A write
	// whose reply is lost returns ErrUnavailable and may have taken effect;
	// the caller settles it by a read.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store. Objects are written whole.
type ObjectStore interface {
	// Put writes the object.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the object; a missing one is no error.
	Delete(ctx context.Context, name string) error
}

// InstanceList is the platform's list of endpoints. It lags behind reality.
type InstanceList interface {
	// Endpoints returns the endpoints of the failure domain.
	Endpoints(ctx context.Context, domain model.DomainName) ([]model.EndpointInfo, error)
}
