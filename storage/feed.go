package storage

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of tables with a change feed.
var (
	// ErrRefused means that the table turned the call away and did nothing.
	ErrRefused = eris.New("table refused the call")
	// ErrHistoryGone means that the changes since the given version are no
	// longer kept: the caller has to read the rows again.
	ErrHistoryGone = eris.New("table no longer has these changes")
)

// Snapshot is a range of rows.
type Snapshot struct {
	// Rows are the rows in the order of their keys.
	Rows []Row
	// Version is the table's newest version when the first row was read:
	// following the feed from it misses nothing.
	Version RowVersion
}

// Change is a row that was written or deleted.
type Change struct {
	Row
	// Deleted says that the row is gone.
	Deleted bool
}

// Changes are the changes of one table, in their order.
type Changes struct {
	Changes []Change
	// Version is where to go on.
	Version RowVersion
}

// FeedTable is a table whose changes can be followed. The keys of its rows have
// three parts joined by slashes: table, part and the key within the part.
type FeedTable interface {
	Table
	// Write is Commit that also returns the table's version afterwards: the
	// version of the rows written, unless others have written since.
	Write(ctx context.Context, txn Txn) (RowVersion, error)
	// Scan reads all rows of a table's part; prefix is "table/part/".
	Scan(ctx context.Context, prefix string) (Snapshot, error)
	// Watch returns what has changed in the table since the version, waiting
	// until there is something or the time has passed.
	Watch(ctx context.Context, table string, after RowVersion, wait time.Duration) (Changes, error)
}
