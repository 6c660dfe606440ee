package storage

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of tables with a change feed.
var (
	// ErrRefused means that the table rejected the call, which had no effect.
	ErrRefused = eris.New("table refused the call")
	// ErrHistoryGone means that the table no longer stores the changes since
	// the given version: the caller must read all rows again.
	ErrHistoryGone = eris.New("table no longer has these changes")
)

// TableTime is a time of the table's steady clock in milliseconds. All instances see the
// same clock.
type TableTime int64

// TableClock estimates the time of the table's clock.
type TableClock interface {
	// TableNow returns the time of the table's clock, which is late by at most the time
	// that a reply takes. It returns false before the first reply.
	TableNow() (TableTime, bool)
}

// Snapshot is the result of a Scan.
type Snapshot struct {
	// Rows are sorted by key.
	Rows []Row
	// Version is the table's latest version when the first row was read. A feed
	// from this version misses no change, and may repeat some that the rows
	// already contain.
	Version RowVersion
}

// Change is one entry of a change feed: a row that was written or deleted.
type Change struct {
	Row
	// Deleted is set if the row was deleted.
	Deleted bool
}

// Changes are changes of one table, in the order in which they took effect.
type Changes struct {
	Changes []Change
	// Version is the version from which the next Watch continues.
	Version RowVersion
}

// FeedTable is a table with a change feed. The keys of its rows have three parts
// joined by slashes: table, part and the key within the part.
type FeedTable interface {
	Table
	// Write is like Commit and also returns the table's version afterwards. It
	// is the version of the written rows unless there were other writes since.
	Write(ctx context.Context, txn Txn) (RowVersion, error)
	// Scan reads all rows of one part of a table; prefix is "table/part/".
	Scan(ctx context.Context, prefix string) (Snapshot, error)
	// Watch returns the changes of the table after the given version. If there
	// are none yet, it waits for the first one for at most wait.
	Watch(ctx context.Context, table string, after RowVersion, wait time.Duration) (Changes, error)
}
