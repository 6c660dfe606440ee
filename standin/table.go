package standin

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/storage"
)

// TableOptions are the properties of a table; zero values mean no limit, no
// delay and the system clock.
type TableOptions struct {
	// Latency is added to every call.
	Latency time.Duration
	// WritesPerSecond is the highest rate of commits. Commits beyond it are
	// delayed.
	WritesPerSecond int
	// ReadsPerSecond is the same for reads.
	ReadsPerSecond int
	// RecordedPrefix is the prefix of the keys whose writes are recorded; empty
	// means none.
	RecordedPrefix string
	// Clock is used for the rate limits and the records.
	Clock clock.Clock
}

// TableFaults are the faults that a table simulates.
type TableFaults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:"outage,omitempty"`
	// LoseReplies is the number of following commits that take effect but
	// whose reply is lost; a negative number means all.
	LoseReplies int `json:"lose_replies,omitempty"`
	// DelayMS is added to the latency, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// TableStats are a table's counters and its size.
type TableStats struct {
	// Reads counts Get and List.
	Reads int64 `json:"reads"`
	// Writes counts commits that took effect.
	Writes int64 `json:"writes"`
	// Conflicts counts commits whose checks failed.
	Conflicts int64 `json:"conflicts"`
	// Refused counts calls rejected in an outage or because the queueing time
	// was too long.
	Refused int64 `json:"refused"`
	// LostReplies counts commits whose reply was lost.
	LostReplies int64 `json:"lost_replies"`
	// Rows is the number of rows.
	Rows int `json:"rows"`
	// Bytes is the total size of the values.
	Bytes int64 `json:"bytes"`
}

// Table is an in-memory, linearizable transactional table: one duty executes the
// calls one at a time.
type Table struct{ duty *duty.Duty[tableMessage] }

// NewTable returns an empty table. Its duty has to be started.
func NewTable(options TableOptions) *Table {
	if options.Clock == nil {
		options.Clock = clock.System{}
	}
	state := newTableState(options)
	handle := func(batch []tableMessage) time.Duration {
		for _, m := range batch {
			m.apply(state)
		}
		return duty.Never
	}
	return &Table{duty: duty.New("table", ringCapacity, duty.HandlerFunc[tableMessage](handle))}
}

// Duty returns the table's duty, for a Group.
func (t *Table) Duty() duty.Runner { return t.duty }

// Client returns a client of the table, subject to its faults and limits.
func (t *Table) Client() storage.Table { return tableClient{t} }

// SetFaults replaces the simulated faults.
func (t *Table) SetFaults(ctx context.Context, faults TableFaults) error {
	reply := make(chan struct{}, 1)
	_, ok := postAndWait[tableMessage](ctx, t.duty, faultsMessage{faults, reply}, reply)
	return replyError(ok)
}

func (t *Table) Stats(ctx context.Context) (TableStats, error) {
	reply := make(chan TableStats, 1)
	stats, ok := postAndWait[tableMessage](ctx, t.duty, statsMessage{reply}, reply)
	return stats, replyError(ok)
}

// Records returns the writes recorded so far, oldest first.
func (t *Table) Records(ctx context.Context) ([]Record, error) {
	reply := make(chan []Record, 1)
	records, ok := postAndWait[tableMessage](ctx, t.duty, tableRecordsMessage{reply}, reply)
	return records, replyError(ok)
}

// replyError returns ErrUnavailable when the stand-in did not reply.
func replyError(ok bool) error {
	if !ok {
		return eris.Wrap(storage.ErrUnavailable, "stand-in gave no answer")
	}
	return nil
}

// tableClient is the client of the table, faults included.
type tableClient struct{ table *Table }

// Get implements storage.Table.
func (c tableClient) Get(ctx context.Context, key string) (storage.Row, error) {
	reply := make(chan tableReply, 1)
	r, err := c.call(ctx, getMessage{key, reply}, reply)
	if err != nil {
		return storage.Row{}, err
	}
	return r.rows[0], nil
}

// List implements storage.Table.
func (c tableClient) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	reply := make(chan tableReply, 1)
	r, err := c.call(ctx, listMessage{prefix, after, limit, reply}, reply)
	return r.rows, err
}

// Commit implements storage.Table.
func (c tableClient) Commit(ctx context.Context, txn storage.Txn) error {
	reply := make(chan tableReply, 1)
	_, err := c.call(ctx, commitMessage{txn, reply}, reply)
	return err
}

func (c tableClient) call(ctx context.Context, m tableMessage, reply chan tableReply) (tableReply, error) {
	r, ok := postAndWait(ctx, c.table.duty, m, reply)
	if !ok || !sleep(ctx, r.delay) {
		return tableReply{}, replyError(false)
	}
	return r, r.err
}
