package holder

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/estimate"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// recordPeriod is the least time between two writes: changes within it are
	// written together.
	recordPeriod = 20 * time.Millisecond
	// maxRecordEntries bounds the entries of a write; the table accepts 100.
	maxRecordEntries = 90
	// maxEntriesPerJob is the largest number of entries for one job.
	maxEntriesPerJob = 4
	// recordTimeout bounds one attempt of a write.
	recordTimeout = 900 * time.Millisecond
	// recordRetryPause is the pause after a failed attempt.
	recordRetryPause = 100 * time.Millisecond
)

// recorder collects state that has to be durable and writes it, one write at a
// time. Except for its writer, only the deciding duty uses it.
type recorder struct {
	writer      *writer
	writing     bool
	lastWriteAt time.Time
	changed     map[jobs.ID]bool
	// order is the order in which the jobs with changes were found, from lastOrder down.
	order     map[jobs.ID]uint64
	lastOrder uint64
	// removed contains the jobs that have ended and have no live runs. The cleaner
	// deletes their rows; then they are in jobRowsDeleted, and their progress rows
	// are deleted.
	removed        map[jobs.ID]bool
	jobRowsDeleted map[jobs.ID]bool
	// removedJobs keeps the feed from adding removed jobs again.
	removedJobs removedJobs
	// removedInWrite contains the removed jobs of the write in flight.
	removedInWrite []jobs.ID
	finalStatus    map[jobs.ID]jobs.Status
	// awaited contains the jobs with a final status that no holder has recorded and that
	// their callers have not caused by a cancel.
	awaited map[jobs.ID]bool
	// finalProgress is the progress to record of removed jobs.
	finalProgress   map[jobs.ID]jobs.Progress
	runningRecorded map[jobs.ID]bool
	// parts contains the recorded parts of the jobs whose progress is recorded in parts.
	// unwrittenFrom is the first part that did not fit into the current write.
	parts         map[jobs.ID]progressParts
	unwrittenFrom map[jobs.ID]int
	// held contains the jobs with a row that the table would refuse, reduced those with a
	// row that has less than their progress, since it would be too large. withheld contains
	// the runs that are left out of such rows: their starts are not sent.
	held, reduced map[jobs.ID]bool
	withheld      map[jobs.ID]map[jobs.RunID]bool
	// unreadable contains the ends of the jobs whose rows can't be read, endsRows the jobs
	// with a row of such ends that are in their progress by now.
	unreadable map[jobs.ID]*jobs.Progress
	endsRows   map[jobs.ID]bool
	queues     *Queues
	// estimates is what has been learned about run times; nil if it has not changed.
	estimates *estimate.Snapshot
	// rosterChanged contains the parts of the roster that have to be written.
	rosterChanged map[int]bool
	// oldRosterFound is set while the row of an older build has to be deleted.
	oldRosterFound bool
	// starts contains the starts whose runs are not yet recorded, startsInWrite
	// those whose runs the write in flight records, recordedStarts those that can be sent
	// as soon as the planner's view is recent.
	starts, startsInWrite, recordedStarts []planner.Start
	// endsInWrite contains, by endpoint, the ends that the write in flight covers.
	endsInWrite map[model.EndpointID]recordedEnds
}

// recordedEnds is the number of the last recorded end of one incarnation of an
// endpoint.
type recordedEnds struct {
	startTime, number int64
}

// writer is the duty that writes to the table.
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
		writer:          w,
		changed:         map[jobs.ID]bool{},
		order:           map[jobs.ID]uint64{},
		removed:         map[jobs.ID]bool{},
		jobRowsDeleted:  map[jobs.ID]bool{},
		finalStatus:     map[jobs.ID]jobs.Status{},
		awaited:         map[jobs.ID]bool{},
		finalProgress:   map[jobs.ID]jobs.Progress{},
		removedJobs:     newRemovedJobs(),
		rosterChanged:   map[int]bool{},
		runningRecorded: map[jobs.ID]bool{},
		parts:           map[jobs.ID]progressParts{},
		unwrittenFrom:   map[jobs.ID]int{},
		held:            map[jobs.ID]bool{},
		reduced:         map[jobs.ID]bool{},
		withheld:        map[jobs.ID]map[jobs.RunID]bool{},
		unreadable:      map[jobs.ID]*jobs.Progress{},
		endsRows:        map[jobs.ID]bool{},
		endsInWrite:     map[model.EndpointID]recordedEnds{},
	}
}

// remove schedules the deletion of the job's rows.
func (r *recorder) remove(id jobs.ID) {
	r.removed[id] = true
	delete(r.changed, id)
	delete(r.held, id)
	delete(r.reduced, id)
	delete(r.withheld, id)
	r.removedJobs.add(id)
}

func (r *recorder) addOutcome(h *Holder, o planner.Outcome) {
	status := jobs.Status{State: o.State, Team: string(o.Team), Queue: o.Queue, Ended: h.Wall.Now().UnixMilli()}
	if o.State != jobs.Completed {
		status.Reason = o.Reason
	}
	r.finalStatus[o.Job] = status
	if !o.Inherited && o.State != jobs.Cancelled {
		r.awaited[o.Job] = true
	}
	r.finalProgress[o.Job] = jobs.Progress{Started: true, Outcome: o.State, Reason: o.Reason}
}

// flush starts a write if there is something to write and no write is in flight.
func (r *recorder) flush(h *Holder) {
	if r.writing || h.now.Sub(r.lastWriteAt) < recordPeriod || !h.mayAct() {
		return
	}
	writes := r.collect(h)
	if len(writes) == 0 && !r.hasUnrecordedEnds(h) {
		return
	}
	r.addEndsToWrite(h)
	if len(writes) == 0 {
		// The ends belong to no job and need no record.
		r.markEndsRecorded(h)
		return
	}
	if r.writer.Offer(writes) {
		r.writing, r.lastWriteAt = true, h.now
	}
}

func (r *recorder) hasUnrecordedEnds(h *Holder) bool {
	for _, s := range h.cell.sessions {
		if s.lastListedEnd != s.lastRecordedEnd {
			return true
		}
	}
	return false
}

// addEndsToWrite collects the ends that are durable once the write is done. An endpoint
// forgets its ends up to a number, which is therefore below that of its first end of a job
// with changes that are not in the write.
func (r *recorder) addEndsToWrite(h *Holder) {
	for id, s := range h.cell.sessions {
		number := s.lastListedEnd
		if i := slices.IndexFunc(s.unrecordedEnds, r.unwritten); i >= 0 {
			number = s.unrecordedEnds[i].number - 1
		}
		if number > s.lastRecordedEnd {
			r.endsInWrite[id] = recordedEnds{startTime: s.startTime, number: number}
		}
	}
}

// unwritten reports whether the job of the end has changes that are not in the write.
func (r *recorder) unwritten(e listedEnd) bool {
	_, decided := r.finalStatus[e.job]
	return r.changed[e.job] || r.removed[e.job] || decided
}

func (r *recorder) markEndsRecorded(h *Holder) {
	for id, ends := range r.endsInWrite {
		if s := h.cell.sessions[id]; s != nil && s.startTime == ends.startTime {
			s.endsRecorded(ends.number)
		}
	}
	clear(r.endsInWrite)
}

// collect returns the pending changes that fit into one write.
func (r *recorder) collect(h *Holder) []storage.Write {
	b := &recordBatch{}
	clear(r.unwrittenFrom)
	b.add(r.rosterWrites(h)...)
	if r.queues != nil {
		b.add(putRow(QueuesKey, r.queues))
		r.queues = nil
	}
	b.add(r.estimatesWrites(h)...)
	for _, id := range r.jobsToWrite() {
		if !b.hasRoom() {
			break
		}
		r.addJob(h, b, id)
	}
	r.splitStarts(h)
	return b.writes
}

// splitStarts moves the starts whose runs are recorded into the current write. They are
// sent once it is done.
func (r *recorder) splitStarts(h *Holder) {
	var remaining []planner.Start
	for _, s := range r.starts {
		if r.isWritten(h, s) {
			r.startsInWrite = append(r.startsInWrite, s)
		} else {
			remaining = append(remaining, s)
		}
	}
	r.starts = remaining
}

// jobWrites returns the writes for one job.
func (r *recorder) jobWrites(h *Holder, id jobs.ID) []storage.Write {
	var writes []storage.Write
	delete(r.order, id)
	if status, decided := r.finalStatus[id]; decided {
		writes = append(writes, putRow(OutcomeKey(id), status))
		delete(r.finalStatus, id)
		delete(r.awaited, id)
	}
	if r.jobRowsDeleted[id] {
		delete(r.jobRowsDeleted, id)
		delete(r.finalProgress, id)
		return append(append(writes, deleteRow(progressKey(id))), r.endsWrites(h, id)...)
	}
	if r.removed[id] {
		delete(r.removed, id)
		delete(r.changed, id)
		delete(r.runningRecorded, id)
		r.removedInWrite = append(r.removedInWrite, id)
		return append(writes, putRow(progressKey(id), r.finalProgress[id]))
	}
	progress, exists := h.cell.planner.Progress(id)
	if !exists {
		return append(writes, r.endsWrites(h, id)...)
	}
	job := h.cell.planner.Job(id)
	if _, inParts := r.parts[id]; inParts {
		progress.Steps = nil
	}
	row := r.progressRow(h, id, progressKey(id), &progress)
	if r.tooLarge(h, id, row) {
		return writes
	}
	delete(r.changed, id)
	delete(r.held, id)
	writes = append(append(writes, row), r.endsWrites(h, id)...)
	if progress.Started && progress.Outcome == "" && !r.runningRecorded[id] {
		r.runningRecorded[id] = true
		writes = append(writes, putRow(OutcomeKey(id), jobs.Status{State: jobs.Running, Team: string(job.Team), Queue: job.Queue}))
	}
	return writes
}

// rosterWrites returns the writes of the parts of the roster that have changed.
func (r *recorder) rosterWrites(h *Holder) []storage.Write {
	if len(r.rosterChanged) == 0 {
		return nil
	}
	rows := make(map[int]roster, len(r.rosterChanged))
	for id, e := range h.cell.roster {
		if part := rosterPart(id); r.rosterChanged[part] {
			rows[part] = roster{Endpoints: append(rows[part].Endpoints, e)}
		}
	}
	all := &recordBatch{}
	for _, part := range slices.Sorted(maps.Keys(r.rosterChanged)) {
		if !all.hasRoom() {
			break
		}
		endpoints := rows[part].Endpoints
		sort.Slice(endpoints, func(i, k int) bool { return endpoints[i].ID < endpoints[k].ID })
		all.add(putRow(rosterKey(part), roster{Endpoints: endpoints}))
		delete(r.rosterChanged, part)
	}
	if r.oldRosterFound && len(r.rosterChanged) == 0 {
		r.oldRosterFound = false
		all.add(deleteRow(oldRosterKey))
	}
	return all.writes
}

// markRosterChanged schedules the part of the roster with the endpoint to be written.
func (r *recorder) markRosterChanged(id model.EndpointID) { r.rosterChanged[rosterPart(id)] = true }

// replaceOldRoster schedules the row of an older build to be replaced by parts.
func (r *recorder) replaceOldRoster() {
	r.oldRosterFound = true
	r.rewriteRoster()
}

func (r *recorder) rewriteRoster() {
	for part := range rosterParts {
		r.rosterChanged[part] = true
	}
}

// urgentPerOther is the number of urgent jobs that are written for each other one while
// there are more than fit into a write, so that no job waits without end.
const urgentPerOther = 3

// jobsToWrite returns the jobs with changes to write. There are more than fit into a write
// under load, while the table is slow and after a take-over: then those go first whose tasks
// start once they are recorded, or whose callers wait for their final state, and among these
// and the others those that have waited longest.
func (r *recorder) jobsToWrite() []jobs.ID {
	all := map[jobs.ID]bool{}
	for _, set := range []map[jobs.ID]bool{r.changed, r.removed, r.jobRowsDeleted} {
		for id := range set {
			all[id] = true
		}
	}
	for id := range r.finalStatus {
		all[id] = true
	}
	ids := make([]jobs.ID, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool { return ids[i] < ids[k] })
	for _, id := range ids {
		if r.order[id] == 0 {
			r.lastOrder++
			r.order[id] = r.lastOrder
		}
	}
	sort.Slice(ids, func(i, k int) bool { return r.order[ids[i]] < r.order[ids[k]] })
	if len(ids) <= maxRecordEntries/maxEntriesPerJob {
		return ids
	}
	return r.urgentFirst(ids)
}

// urgentFirst returns the jobs with urgentPerOther urgent ones before each other one, in
// their order.
func (r *recorder) urgentFirst(ids []jobs.ID) []jobs.ID {
	starting := make(map[jobs.ID]bool, len(r.starts))
	for _, s := range r.starts {
		starting[s.Run.Task.Job] = true
	}
	var urgent, others []jobs.ID
	for _, id := range ids {
		if r.awaited[id] || starting[id] {
			urgent = append(urgent, id)
		} else {
			others = append(others, id)
		}
	}
	merged := make([]jobs.ID, 0, len(ids))
	for len(urgent) > 0 && len(others) > 0 {
		n := min(urgentPerOther, len(urgent))
		merged = append(append(merged, urgent[:n]...), others[0])
		urgent, others = urgent[n:], others[1:]
	}
	return append(append(merged, urgent...), others...)
}

// recordedMessage reports that a write is done.
type recordedMessage struct{ epoch uint64 }

func (m recordedMessage) apply(h *Holder) {
	if c := h.cell; c != nil && c.epoch == m.epoch {
		c.recorder.writing = false
		c.recorder.markEndsRecorded(h)
		c.recorder.recordedStarts = append(c.recorder.recordedStarts, c.recorder.startsInWrite...)
		c.recorder.startsInWrite = nil
		h.sendRecordedStarts()
		c.cleaner.add(c.recorder.removedInWrite)
		c.recorder.removedInWrite = nil
	}
}

// supersededMessage reports that another holder has written the rows.
type supersededMessage struct{ epoch uint64 }

func (m supersededMessage) apply(h *Holder) {
	if h.cell != nil && h.cell.epoch == m.epoch {
		h.stepDown("another holder writes the cell's rows")
	}
}

// handle retries one write until it is done or another holder has written. Each
// write is conditional on the previous one.
func (w *writer) handle(batch [][]storage.Write) time.Duration {
	for _, writes := range batch {
		w.sequence++
		for !w.attempt(writes) {
			if w.ctx.Err() != nil {
				return duty.Never
			}
			time.Sleep(recordRetryPause)
		}
	}
	return duty.Never
}

// attempt returns true if the write is done or must not be retried.
func (w *writer) attempt(writes []storage.Write) bool {
	ctx, cancel := context.WithTimeout(w.ctx, recordTimeout)
	defer cancel()
	position := recordPosition{Epoch: w.epoch.Epoch, Sequence: w.sequence, Incarnations: true}
	txn := storage.Txn{
		Checks: []storage.Check{{Key: election.EpochKey, Version: w.epoch.Version}, {Key: recordKey, Version: w.version}},
		Writes: append([]storage.Write{putRow(recordKey, position)}, writes...),
	}
	version, err := w.h.Table.Write(ctx, txn)
	switch {
	case err == nil:
		w.version = version
		w.h.post(recordedMessage{w.epoch.Epoch})
		return true
	case eris.Is(err, storage.ErrConflict):
		return w.resolveConflict(ctx, position)
	default:
		w.h.Log.Warn("write_failed", slog.Uint64("epoch", w.epoch.Epoch), slog.Uint64("sequence", w.sequence), slog.Any("error", err))
		return false
	}
}

// resolveConflict determines why a write conflicted: an earlier attempt that got
// no response took effect, the cached version is stale, or another holder writes.
// It returns false if the write has to be retried.
func (w *writer) resolveConflict(ctx context.Context, position recordPosition) bool {
	row, found, err := w.read(ctx)
	switch {
	case err != nil:
		w.h.Log.Warn("record_not_read", slog.Uint64("epoch", w.epoch.Epoch), slog.Any("error", err))
		return false
	case found == position:
		w.version = row.Version
		w.h.post(recordedMessage{w.epoch.Epoch})
		return true
	case found.Epoch > w.epoch.Epoch || row.Version == w.version:
		w.h.post(supersededMessage{w.epoch.Epoch})
		return true
	default:
		w.version = row.Version
		return false
	}
}

func (w *writer) read(ctx context.Context) (storage.Row, recordPosition, error) {
	var found recordPosition
	row, err := w.h.Table.Get(ctx, recordKey)
	if eris.Is(err, storage.ErrNotFound) {
		return row, found, nil
	}
	if err != nil {
		return row, found, err
	}
	return row, found, decodeRow(row, &found)
}
