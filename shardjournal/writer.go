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

// Settings are the pace and the bounds of a journal.
type Settings struct {
	// Pace is the least time between two rows.
	Pace time.Duration
	// RowEntries is the most entries in a row.
	RowEntries int
	// SnapshotRows is the number of rows after which a snapshot is made.
	SnapshotRows int
	// Retention is how long an answer is kept.
	Retention time.Duration
	// Timeout bounds each call of the table.
	Timeout time.Duration
	// Retry is the time between two tries while the table does not answer.
	Retry time.Duration
	// DownAfter is how long a row may stay unsettled before the store counts
	// as down.
	DownAfter time.Duration
}

// Listener hears what becomes of the journal.
type Listener interface {
	// Replayed hands over all that the journal remembers.
	Replayed(epoch model.Epoch, image *Image)
	// Durable says that all entries up to and with number are on record.
	Durable(epoch model.Epoch, number uint64)
	// Store says whether the table takes entries.
	Store(epoch model.Epoch, up bool)
	// Fenced says that a later epoch has been taken.
	Fenced(epoch model.Epoch)
}

// Message is a message to a Writer.
type Message interface{ deliver(w *Writer) }

// Open starts an epoch: the journal is read and then written under it.
type Open struct {
	// Epoch is the epoch, which this process has taken.
	Epoch model.Epoch
}

// Append puts one more entry on record. The entries of an epoch are numbered
// from 1 in their order.
type Append struct {
	// Epoch is the epoch that the entry belongs to.
	Epoch model.Epoch
	// Entry is the entry.
	Entry Entry
}

// Pace changes the least time between two rows.
type Pace time.Duration

// Close ends the epoch; entries not yet written are dropped.
type Close struct{}

// Writer is the handler of the journal's duty. Its calls of the table block
// that duty alone.
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
	next      chart.Event
	pending   bool

	epoch    model.Epoch
	image    *Image
	last     Sequence
	queue    []Entry
	row      []Entry
	rowBytes []byte
	durable  uint64
	sentAt   time.Time
	// since is when the current row was first sent.
	since     time.Time
	down      bool
	snapRows  int
	replayErr error
}

// NewWriter returns a closed journal. snapshots may be nil: then no snapshots
// are made.
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

// Handle takes messages, writes at most one row and says when the next is due.
func (w *Writer) Handle(batch []Message) time.Duration {
	for _, m := range batch {
		m.deliver(w)
	}
	w.fire(w.chart.tick)
	return w.wait()
}

// wait returns the time to the next tick that has something to do.
func (w *Writer) wait() time.Duration {
	if w.chart.retrying.Has(w.state) {
		return w.settings.Retry
	}
	if len(w.queue) == 0 {
		return duty.Never
	}
	return max(w.sentAt.Add(w.settings.Pace).Sub(w.clock.Now()), 0)
}

func (m Open) deliver(w *Writer) {
	w.epoch = m.Epoch
	w.fire(w.chart.open)
}

func (m Append) deliver(w *Writer) {
	if m.Epoch == w.epoch && w.chart.taking.Has(w.state) {
		w.queue = append(w.queue, m.Entry)
	}
}

func (m Pace) deliver(w *Writer) { w.settings.Pace = time.Duration(m) }

func (Close) deliver(w *Writer) { w.fire(w.chart.close) }

// fire hands the event to the chart, then what its actions brought about.
func (w *Writer) fire(event chart.Event) {
	w.chart.machine.Fire(&w.state, event, w)
	for w.pending {
		w.pending = false
		w.chart.machine.Fire(&w.state, w.next, w)
	}
}

func (w *Writer) then(event chart.Event) {
	w.next = event
	w.pending = true
}

func (w *Writer) forget() {
	w.queue = nil
	w.row = nil
	w.rowBytes = nil
	w.durable = 0
	w.image = nil
	w.down = false
}

func (w *Writer) readJournal() {
	w.forget()
	ctx, cancel := context.WithTimeout(context.Background(), replayTimeouts*w.settings.Timeout)
	defer cancel()
	image, last, err := Replay(ctx, w.table, w.objects, w.id)
	w.replayErr = err
	if err != nil {
		return
	}
	w.image, w.last = image, last
	w.then(w.chart.replayed)
}

// replayTimeouts is how many calls of the table a replay may last.
const replayTimeouts = 10

// announceReplayed hands over a copy, since the writer goes on applying
// entries to its own image.
func (w *Writer) announceReplayed() {
	w.image.Prune(w.clock.Now().Add(-w.settings.Retention))
	w.listener.Replayed(w.epoch, w.image.copy())
}

func (w *Writer) rowDue() bool {
	return len(w.queue) > 0 && w.clock.Now().Sub(w.sentAt) >= w.settings.Pace
}

// compose forms the next row of the oldest entries.
func (w *Writer) compose() {
	n := min(len(w.queue), w.settings.RowEntries)
	w.row = w.queue[:n:n]
	w.queue = w.queue[n:]
	// Entries hold numbers, strings and times, which always encode.
	w.rowBytes, _ = json.Marshal(Row{Writer: w.self, Epoch: w.epoch, Entries: w.row})
	w.since = w.clock.Now()
}

func (w *Writer) commit() {
	w.sentAt = w.clock.Now()
	key := RowKey(w.id, w.last+1)
	ctx, cancel := context.WithTimeout(context.Background(), w.settings.Timeout)
	defer cancel()
	err := w.table.Commit(ctx, storage.Txn{
		Checks: []storage.Check{
			{Key: key},
			{Key: shard.EpochKey(w.id), Version: storage.RowVersion(w.epoch)},
		},
		Writes: []storage.Write{{Key: key, Value: w.rowBytes}},
	})
	written.Add(1)
	switch {
	case err == nil:
		w.then(w.chart.committed)
	case errors.Is(err, storage.ErrConflict):
		w.then(w.chart.conflict)
	default:
		w.then(w.chart.unsure)
	}
}

// readBack settles the fate of the row that was sent last.
func (w *Writer) readBack() {
	w.noteDown()
	ctx, cancel := context.WithTimeout(context.Background(), w.settings.Timeout)
	defer cancel()
	row, err := w.table.Get(ctx, RowKey(w.id, w.last+1))
	if err == nil && string(row.Value) == string(w.rowBytes) {
		w.then(w.chart.committed)
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
		w.then(w.chart.fenced)
		return
	}
	w.then(w.chart.missing)
}

func (w *Writer) noteDown() {
	if !w.down && w.clock.Now().Sub(w.since) >= w.settings.DownAfter {
		w.down = true
		w.listener.Store(w.epoch, false)
	}
}

func (w *Writer) announceDurable() {
	w.last++
	for _, e := range w.row {
		w.image.Apply(e)
	}
	w.durable += uint64(len(w.row))
	entries.Add(int64(len(w.row)))
	w.row, w.rowBytes = nil, nil
	if w.down {
		w.down = false
		w.listener.Store(w.epoch, true)
	}
	w.listener.Durable(w.epoch, w.durable)
	w.snapshotIfDue()
}

func (w *Writer) snapshotIfDue() {
	w.snapRows++
	if w.snapshots == nil || w.snapRows < w.settings.SnapshotRows {
		return
	}
	w.image.Prune(w.clock.Now().Add(-w.settings.Retention))
	if w.snapshots.offer(w.epoch, w.last, w.image) {
		w.snapRows = 0
	}
}
