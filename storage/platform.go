// Package storage defines the interfaces to the platform's services: a
// transactional table, an object store and an eventually consistent list of
// instances. Each has an adapter in its own package, so that support for another
// protocol is one new file.
package storage

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// Errors of the platform's services.
var (
	// ErrConflict means that a check of a transaction failed. Nothing was
	// written.
	ErrConflict = eris.New("transaction conflict")
	// ErrNotFound means that the row or object doesn't exist.
	ErrNotFound = eris.New("not found")
	// ErrUnavailable means that the service did not respond. The outcome of a
	// write is unknown: it may or may not have taken effect.
	ErrUnavailable = eris.New("platform service unavailable")
)

// MaxValueBytes is the largest value of a row that every table accepts: 64 KB in base64.
const MaxValueBytes = 48 << 10

// RowVersion is the version of a row, which increases with every write. 0 means
// that the row doesn't exist.
type RowVersion uint64

// Row is a row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the version of the row's last write.
	Version RowVersion `json:"version"`
}

// Check is a condition of a transaction: the row must have the given version.
type Check struct {
	Key string `json:"key"`
	// Version 0 requires that the row doesn't exist.
	Version RowVersion `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key string `json:"key"`
	// Value is the row's new value; it is ignored if Delete is set.
	Value []byte `json:"value,omitempty"`
	// Delete removes the row.
	Delete bool `json:"delete,omitempty"`
}

// Txn is a transaction. If all checks hold, all writes take effect atomically;
// otherwise none does.
type Txn struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Table is the platform's transactional table. It is linearizable.
type Table interface {
	// Get returns the row with the given key, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows, sorted by key, whose keys have the given
	// prefix and sort after the key after.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction, or returns ErrConflict. If the reply is
	// lost it returns ErrUnavailable, and the writes may have taken effect: the
	// caller must read to find out.
	Commit(ctx context.Context, txn Txn) error
}

// ObjectStore is the platform's object store. An object is always written in
// full.
type ObjectStore interface {
	// Put creates or replaces the object.
	Put(ctx context.Context, name string, content []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Delete removes the object. It returns nil if there is none.
	Delete(ctx context.Context, name string) error
}

// InstanceList is the platform's list of endpoints. It is eventually consistent:
// it may lack new endpoints and still have removed ones.
type InstanceList interface {
	// Endpoints returns the listed endpoints of the failure domain.
	Endpoints(ctx context.Context, domain model.DomainName) ([]model.EndpointInfo, error)
}
