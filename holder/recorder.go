package holder

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// recordPeriod is the least time between two writes: what changes within
	// it is written together.
	recordPeriod = 20 * time.Millisecond
	// recordEntries bounds the entries of a write; the table takes 100.
	recordEntries = 90
	// entriesOfJob is the most entries that one job takes.
	entriesOfJob = 3
	// recordTimeout bounds one try of a write.
	recordTimeout = 900 * time.Millisecond
	// recordRetry is the pause after a try that failed.
	recordRetry = 100 * time.Millisecond
	// forgottenTime is how long a removed job's id is remembered, so that a
	// late row of the feed does not bring it back.
	forgottenTime = 30 * time.Second
	// goneBatch is how many more removed jobs are remembered before those of
	// long ago are looked for.
	goneBatch = 1024
)

// recorder collects what has to be recorded and writes it, one write at a time.
// It belongs to the deciding duty but for its writer.
type recorder struct {
	writer  *writer
	busy    bool
	lastAt  time.Time
	changed map[jobs.ID]bool
	// removed are the jobs of which nothing runs any more: their rows are
	// deleted by the cleaner, and then, as dropped, their progress.
	removed map[jobs.ID]bool
	dropped map[jobs.ID]bool
	// cleaning are the removed jobs in the write under way.
	cleaning []jobs.ID
	final    map[jobs.ID]jobs.Status
	// decided are the final states of jobs whose progress is still recorded.
	decided map[jobs.ID]jobs.State
	gone    map[jobs.ID]time.Time
	begun   map[jobs.ID]bool
	queues  map[jobs.QueueName]int
	// rosterChanged says that the roster has to be written.
	rosterChanged bool
	// starts wait for their runs to be recorded, recording are the starts whose
	// runs the write under way records.
	starts, recording []planner.Start
	// seen are the ends that the write under way covers, by endpoint.
	seen map[model.EndpointID]recordedEnds
}

// recordedEnds are the ends of one life of an endpoint.
type recordedEnds struct {
	born, number int64
}

// writer is the duty that makes the writes.
type writer struct {
	*duty.Duty[[]storage.Write]
	h        *Holder
	ctx      context.Context
	epoch    election.Elected
	version  storage.RowVersion
	sequence uint64
}

func newRecorder(h *Holder, version storage.RowVersion) *recorder {
	w := &writer{h: h, ctx: h.cell.ctx, epoch: h.elected, version: version}
	w.Duty = duty.NewCalling("recorder", 1, duty.HandlerFunc[[]storage.Write](w.handle))
	h.cell.start(h, w)
	return &recorder{
		writer:  w,
		changed: map[jobs.ID]bool{},
		removed: map[jobs.ID]bool{},
		dropped: map[jobs.ID]bool{},
		final:   map[jobs.ID]jobs.Status{},
		decided: map[jobs.ID]jobs.State{},
		gone:    map[jobs.ID]time.Time{},
		begun:   map[jobs.ID]bool{},
		seen:    map[model.EndpointID]recordedEnds{},
	}
}

// forgotten reports whether the job was removed a short while ago.
func (r *recorder) forgotten(id jobs.ID) bool {
	_, found := r.gone[id]
	return found
}

// remove notes that the job's rows are to be deleted. From here on its row in
// the feed does not bring it back.
func (r *recorder) remove(now time.Time, id jobs.ID) {
	r.removed[id] = true
	delete(r.changed, id)
	r.gone[id] = now
	r.pruneGone(now)
}

// outcome notes a job's final state.
func (r *recorder) outcome(h *Holder, o planner.Outcome) {
	r.decided[o.Job] = o.State
	r.final[o.Job] = jobs.Status{State: o.State, Team: string(o.Team), Queue: o.Queue, Ended: h.Wall.Now().UnixMilli()}
}

// flush starts a write if there is something to write and none is under way.
func (r *recorder) flush(h *Holder) {
	if r.busy || h.now.Sub(r.lastAt) < recordPeriod || !h.mayAct() {
		return
	}
	writes := r.collect(h)
	if len(writes) == 0 && !r.endsWaiting(h) {
		return
	}
	if len(r.changed) == 0 && len(r.final) == 0 {
		r.coverEnds(h)
	}
	if len(writes) == 0 {
		// The ends concern no job: there is nothing to record of them.
		r.forgetEnds(h)
		return
	}
	if r.writer.Offer(writes) {
		r.busy, r.lastAt = true, h.now
	}
}

func (r *recorder) endsWaiting(h *Holder) bool {
	for _, l := range h.cell.links {
		if l.seen != l.forget {
			return true
		}
	}
	return false
}

// coverEnds notes the ends that are recorded once the write is done.
func (r *recorder) coverEnds(h *Holder) {
	for id, l := range h.cell.links {
		if l.seen != l.forget {
			r.seen[id] = recordedEnds{born: l.born, number: l.seen}
		}
	}
}

func (r *recorder) forgetEnds(h *Holder) {
	for id, ends := range r.seen {
		if l := h.cell.links[id]; l != nil && l.born == ends.born {
			l.forget = ends.number
		}
	}
	clear(r.seen)
}

// collect takes what fits into one write.
func (r *recorder) collect(h *Holder) []storage.Write {
	var writes []storage.Write
	if r.rosterChanged {
		r.rosterChanged = false
		writes = append(writes, put(rosterKey, rosterRow(h.cell.roster)))
	}
	if r.queues != nil {
		writes = append(writes, put(QueuesKey, Queues{Waiting: r.queues}))
		r.queues = nil
	}
	for _, id := range r.waiting() {
		if len(writes) >= recordEntries-entriesOfJob {
			break
		}
		writes = append(writes, r.rowsOf(h, id)...)
	}
	r.takeStarts()
	return writes
}

// takeStarts parts the waiting starts: those whose jobs are in the write under
// way are sent once it is done.
func (r *recorder) takeStarts() {
	var left []planner.Start
	for _, s := range r.starts {
		if r.changed[s.Run.Task.Job] {
			left = append(left, s)
		} else {
			r.recording = append(r.recording, s)
		}
	}
	r.starts = left
}

// rowsOf returns the writes of one job.
func (r *recorder) rowsOf(h *Holder, id jobs.ID) []storage.Write {
	var writes []storage.Write
	if final, decided := r.final[id]; decided {
		writes = append(writes, put(OutcomeKey(id), final))
		delete(r.final, id)
	}
	if r.dropped[id] {
		delete(r.dropped, id)
		delete(r.decided, id)
		return append(writes, drop(progressKey(id)))
	}
	if r.removed[id] {
		delete(r.removed, id)
		delete(r.changed, id)
		delete(r.begun, id)
		r.cleaning = append(r.cleaning, id)
		return append(writes, put(progressKey(id), jobs.Progress{Begun: true, Outcome: r.decided[id]}))
	}
	delete(r.changed, id)
	progress, known := h.cell.planner.Progress(id)
	if !known {
		return writes
	}
	writes = append(writes, put(progressKey(id), progress))
	if job := h.cell.planner.Job(id); progress.Begun && progress.Outcome == "" && !r.begun[id] {
		r.begun[id] = true
		writes = append(writes, put(OutcomeKey(id), jobs.Status{State: jobs.Running, Team: string(job.Team), Queue: job.Queue}))
	}
	return writes
}

// pruneGone forgets jobs that were removed long ago, each time that their number
// is a multiple of goneBatch.
func (r *recorder) pruneGone(now time.Time) {
	if len(r.gone)%goneBatch != 0 {
		return
	}
	for id, at := range r.gone {
		if now.Sub(at) > forgottenTime {
			delete(r.gone, id)
		}
	}
}

func rosterRow(entries map[model.EndpointID]rosterEntry) roster {
	var row roster
	for _, e := range entries {
		row.Endpoints = append(row.Endpoints, e)
	}
	sort.Slice(row.Endpoints, func(i, k int) bool { return row.Endpoints[i].ID < row.Endpoints[k].ID })
	return row
}

// waiting returns the jobs of which something has to be written, in order.
func (r *recorder) waiting() []jobs.ID {
	all := map[jobs.ID]bool{}
	for _, set := range []map[jobs.ID]bool{r.changed, r.removed, r.dropped} {
		for id := range set {
			all[id] = true
		}
	}
	for id := range r.final {
		all[id] = true
	}
	ids := make([]jobs.ID, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	return ids
}

// recordedMessage says that a write is done.
type recordedMessage struct{ epoch uint64 }

func (m recordedMessage) apply(h *Holder) {
	if c := h.cell; c != nil && c.epoch == m.epoch {
		c.recorder.busy = false
		c.recorder.forgetEnds(h)
		for _, s := range c.recorder.recording {
			h.orderStart(s)
		}
		c.recorder.recording = nil
		c.cleaner.add(c.recorder.cleaning)
		c.recorder.cleaning = nil
	}
}

// overtakenMessage says that another holder writes.
type overtakenMessage struct{ epoch uint64 }

func (m overtakenMessage) apply(h *Holder) {
	if h.cell != nil && h.cell.epoch == m.epoch {
		h.stepDown("another holder writes the cell's rows")
	}
}

// handle makes one write, again and again until it is done or another holder
// has come. Each write depends on the one before.
func (w *writer) handle(batch [][]storage.Write) time.Duration {
	for _, writes := range batch {
		w.sequence++
		for !w.try(writes) {
			if w.ctx.Err() != nil {
				return duty.Never
			}
			time.Sleep(recordRetry)
		}
	}
	return duty.Never
}

// try reports whether the write is over.
func (w *writer) try(writes []storage.Write) bool {
	ctx, cancel := context.WithTimeout(w.ctx, recordTimeout)
	defer cancel()
	mark := record{Epoch: w.epoch.Epoch, Sequence: w.sequence}
	txn := storage.Txn{
		Checks: []storage.Check{{Key: election.EpochKey, Version: w.epoch.Version}, {Key: recordKey, Version: w.version}},
		Writes: append([]storage.Write{put(recordKey, mark)}, writes...),
	}
	version, err := w.h.Table.Write(ctx, txn)
	switch {
	case err == nil:
		w.version = version
		w.h.tell(recordedMessage{w.epoch.Epoch})
		return true
	case eris.Is(err, storage.ErrConflict):
		return w.settle(ctx, mark)
	default:
		w.h.Log.Warn("write_failed", slog.Uint64("epoch", w.epoch.Epoch), slog.Uint64("sequence", w.sequence), slog.Any("error", err))
		return false
	}
}

// settle finds out why the write conflicts: a try without an answer took
// effect, the known version is not that of the row, or another holder writes.
func (w *writer) settle(ctx context.Context, mark record) bool {
	row, found, err := w.read(ctx)
	switch {
	case err != nil:
		w.h.Log.Warn("record_not_read", slog.Uint64("epoch", w.epoch.Epoch), slog.Any("error", err))
		return false
	case found == mark:
		w.version = row.Version
		w.h.tell(recordedMessage{w.epoch.Epoch})
		return true
	case found.Epoch > w.epoch.Epoch || row.Version == w.version:
		w.h.tell(overtakenMessage{w.epoch.Epoch})
		return true
	default:
		w.version = row.Version
		return false
	}
}

func (w *writer) read(ctx context.Context) (storage.Row, record, error) {
	var found record
	row, err := w.h.Table.Get(ctx, recordKey)
	if eris.Is(err, storage.ErrNotFound) {
		return row, found, nil
	}
	if err != nil {
		return row, found, err
	}
	return row, found, decode(row, &found)
}
