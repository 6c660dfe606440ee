package shardjournal

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/storage"
)

// Settings are the intervals and limits of a journal.
type Settings struct {
	// RowInterval is the minimum interval between rows.
	RowInterval time.Duration
	// RowEntries is the maximum number of entries in a row.
	RowEntries int
	// SnapshotRows is the number of rows between snapshots.
	SnapshotRows int
	// Retention is how long an answer is kept.
	Retention time.Duration
	// Timeout bounds each call to the table.
	Timeout time.Duration
	// Retry is the interval between retries while the table does not respond.
	Retry time.Duration
	// DownAfter is how long the outcome of a row may be unknown before the store
	// is reported as down.
	DownAfter time.Duration
}

// Listener is notified of the progress of the journal.
type Listener interface {
	// Replayed is called with the replayed image, which the listener owns.
	Replayed(epoch model.Epoch, image *Image)
	// Durable is called when all entries up to and including number are durable.
	Durable(epoch model.Epoch, number uint64)
	// StoreStateChanged is called when the table stops or resumes accepting entries.
	StoreStateChanged(epoch model.Epoch, up bool)
	// Fenced is called when a later epoch has been taken.
	Fenced(epoch model.Epoch)
}

// Message is a message to the Writer's duty.
type Message interface{ deliver(w *Writer) }

// Open starts an epoch: the journal is replayed and then written under it.
type Open struct {
	// Epoch is the epoch that this process has taken.
	Epoch model.Epoch
}

// Append adds an entry to the journal. The entries of an epoch are numbered from 1
// in the order in which they are appended.
type Append struct {
	// Epoch is the epoch that the entry belongs to.
	Epoch model.Epoch
	Entry Entry
}

// SetRowInterval changes the minimum interval between rows.
type SetRowInterval time.Duration

// Close ends the epoch. Entries that have not been written are dropped.
type Close struct{}

// Writer is the handler of the journal's duty. Its calls to the table block only
// that duty.
type Writer struct {
	id        model.ShardID
	self      model.InstanceID
	settings  Settings
	table     storage.Table
	objects   storage.ObjectStore
	clock     clock.Clock
	listener  Listener
	snapshots *Snapshotter
	chart     *writerChart
	state     chart.State
	// next is the event raised by the last action; pending is set while there is
	// one.
	next    chart.Event
	pending bool

	epoch        model.Epoch
	image        *Image
	lastSequence Sequence
	queue        []Entry
	rowEntries   []Entry
	rowBytes     []byte
	durable      uint64
	lastSentAt   time.Time
	// rowFirstSentAt is when the current row was first sent.
	rowFirstSentAt    time.Time
	storeDown         bool
	rowsSinceSnapshot int
	replayErr         error
}

// NewWriter returns a Writer whose journal is closed. When snapshots is nil, no
// snapshots are made.
func NewWriter(id model.ShardID, self model.InstanceID, settings Settings, table storage.Table, objects storage.ObjectStore, source clock.Clock, listener Listener, snapshots *Snapshotter) *Writer {
	w := &Writer{
		id:        id,
		self:      self,
		settings:  settings,
		table:     table,
		objects:   objects,
		clock:     source,
		listener:  listener,
		snapshots: snapshots,
		chart:     newWriterChart(),
	}
	w.chart.machine.Start(&w.state, w)
	return w
}

// Handle applies the messages, writes at most one row and returns the time until
// the next tick.
func (w *Writer) Handle(batch []Message) time.Duration {
	for _, m := range batch {
		m.deliver(w)
	}
	w.fire(w.chart.tick)
	return w.wait()
}

// wait returns the time until the next tick with work to do.
func (w *Writer) wait() time.Duration {
	if w.chart.retrying.Has(w.state) {
		return w.settings.Retry
	}
	if len(w.queue) == 0 {
		return duty.Never
	}
	return max(w.lastSentAt.Add(w.settings.RowInterval).Sub(w.clock.Now()), 0)
}

func (m Open) deliver(w *Writer) {
	w.epoch = m.Epoch
	w.fire(w.chart.open)
}

func (m Append) deliver(w *Writer) {
	if m.Epoch == w.epoch && w.chart.writable.Has(w.state) {
		w.queue = append(w.queue, m.Entry)
	}
}

func (m SetRowInterval) deliver(w *Writer) { w.settings.RowInterval = time.Duration(m) }

func (Close) deliver(w *Writer) { w.fire(w.chart.close) }

// fire sends the event to the chart, followed by the events that its actions
// raise.
func (w *Writer) fire(event chart.Event) {
	w.chart.machine.Fire(&w.state, event, w)
	for w.pending {
		w.pending = false
		w.chart.machine.Fire(&w.state, w.next, w)
	}
}

func (w *Writer) raise(event chart.Event) {
	w.next = event
	w.pending = true
}

func (w *Writer) reset() {
	w.queue = nil
	w.rowEntries = nil
	w.rowBytes = nil
	w.durable = 0
	w.image = nil
	w.storeDown = false
}

func (w *Writer) readJournal() {
	w.reset()
	ctx, cancel := context.WithTimeout(context.Background(), replayTimeoutFactor*w.settings.Timeout)
	defer cancel()
	image, last, err := Replay(ctx, w.table, w.objects, w.id)
	w.replayErr = err
	if err != nil {
		return
	}
	w.image, w.lastSequence = image, last
	w.raise(w.chart.replayed)
}

// replayTimeoutFactor bounds the time for a replay, as a multiple of the timeout
// of one call.
const replayTimeoutFactor = 10

// notifyReplayed passes a copy to the listener, since the writer keeps applying
// entries to its own image.
func (w *Writer) notifyReplayed() {
	w.image.Prune(w.clock.Now().Add(-w.settings.Retention))
	w.listener.Replayed(w.epoch, w.image.copy())
}

func (w *Writer) rowDue() bool {
	return len(w.queue) > 0 && w.clock.Now().Sub(w.lastSentAt) >= w.settings.RowInterval
}

// composeRow forms the next row from the oldest queued entries.
func (w *Writer) composeRow() {
	n := min(len(w.queue), w.settings.RowEntries)
	w.rowEntries = w.queue[:n:n]
	w.queue = w.queue[n:]
	// Entries consist of numbers, strings and times, so encoding can't fail.
	w.rowBytes, _ = json.Marshal(Row{Writer: w.self, Epoch: w.epoch, Entries: w.rowEntries})
	w.rowFirstSentAt = w.clock.Now()
}

func (w *Writer) commitRow() {
	w.lastSentAt = w.clock.Now()
	key := RowKey(w.id, w.lastSequence+1)
	ctx, cancel := context.WithTimeout(context.Background(), w.settings.Timeout)
	defer cancel()
	err := w.table.Commit(ctx, storage.Txn{
		Checks: []storage.Check{
			{Key: key},
			{Key: shard.EpochKey(w.id), Version: storage.RowVersion(w.epoch)},
		},
		Writes: []storage.Write{{Key: key, Value: w.rowBytes}},
	})
	rowsSent.Add(1)
	switch {
	case err == nil:
		w.raise(w.chart.committed)
	case errors.Is(err, storage.ErrConflict):
		w.raise(w.chart.conflict)
	default:
		w.raise(w.chart.outcomeUnknown)
	}
}

// readBack determines whether the row that was sent last was written, and if not,
// whether the epoch is still this process's.
func (w *Writer) readBack() {
	w.reportStoreDown()
	ctx, cancel := context.WithTimeout(context.Background(), w.settings.Timeout)
	defer cancel()
	row, err := w.table.Get(ctx, RowKey(w.id, w.lastSequence+1))
	if err == nil && string(row.Value) == string(w.rowBytes) {
		w.raise(w.chart.committed)
		return
	}
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return
	}
	epoch, err := w.table.Get(ctx, shard.EpochKey(w.id))
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return
	}
	if epoch.Version != storage.RowVersion(w.epoch) {
		w.raise(w.chart.fenced)
		return
	}
	w.raise(w.chart.missing)
}

// reportStoreDown notifies the listener once when the current row's outcome has
// been unknown for DownAfter.
func (w *Writer) reportStoreDown() {
	if !w.storeDown && w.clock.Now().Sub(w.rowFirstSentAt) >= w.settings.DownAfter {
		w.storeDown = true
		w.listener.StoreStateChanged(w.epoch, false)
	}
}

// completeRow applies the written row's entries to the image and reports them
// durable.
func (w *Writer) completeRow() {
	w.lastSequence++
	for _, e := range w.rowEntries {
		w.image.Apply(e)
	}
	w.durable += uint64(len(w.rowEntries))
	entriesDurable.Add(int64(len(w.rowEntries)))
	w.rowEntries, w.rowBytes = nil, nil
	if w.storeDown {
		w.storeDown = false
		w.listener.StoreStateChanged(w.epoch, true)
	}
	w.listener.Durable(w.epoch, w.durable)
	w.snapshotIfDue()
}

func (w *Writer) snapshotIfDue() {
	w.rowsSinceSnapshot++
	if w.snapshots == nil || w.rowsSinceSnapshot < w.settings.SnapshotRows {
		return
	}
	w.image.Prune(w.clock.Now().Add(-w.settings.Retention))
	if w.snapshots.offer(w.epoch, w.lastSequence, w.image) {
		w.rowsSinceSnapshot = 0
	}
}
