package front

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// writerRing is the number of submissions that may wait for one writer.
	writerRing = 256
	// maxBatchJobs bounds the jobs of one write. Each job has two conditions and two rows,
	// and the table accepts 100 entries in a write.
	maxBatchJobs = 25
	// maxBatchBytes bounds the estimated size of one write. The table accepts 1 MB.
	maxBatchBytes = 500 << 10
	// rowOverhead estimates what a job adds to a write beside its row.
	rowOverhead = 200
	// writeTimeout bounds one attempt of a write. A slow table takes a second.
	writeTimeout = 1200 * time.Millisecond
	// writeAttempts bounds the attempts of a write that gets no reply. The retry
	// shows whether the first attempt took effect.
	writeAttempts = 2
	// probePeriod is the period in which a writer probes an unavailable table.
	probePeriod = 200 * time.Millisecond
)

// submissionWriter is the duty that writes the submissions of some of the parts.
type submissionWriter struct {
	*duty.Duty[*submission]
	f     *Front
	state chart.State
	// unavailable is set while the table does not respond; callers' threads read it.
	unavailable atomic.Bool
	// failingSince is when the first write failed since one has taken effect, in nanoseconds
	// of the front's clock; 0 for none. The table may answer probes and refuse writes.
	failingSince atomic.Int64
	nextProbe    time.Time
}

var tableChart *chart.Machine[submissionWriter]

var evReply, evNoReply chart.Event

var tableUnavailable chart.State

func init() {
	tableChart = chart.MustBind(charts.MustLoad("front_table"),
		chart.Guards[submissionWriter]{},
		chart.Actions[submissionWriter]{"mark_unavailable": (*submissionWriter).markUnavailable, "mark_available": (*submissionWriter).markAvailable})
	evReply = tableChart.MustEvent("reply")
	evNoReply = tableChart.MustEvent("no_reply")
	tableUnavailable = tableChart.MustState("unavailable")
}

func newSubmissionWriter(f *Front, number int) *submissionWriter {
	w := &submissionWriter{f: f}
	tableChart.Start(&w.state, w)
	w.Duty = duty.NewCalling("lane"+strconv.Itoa(number), writerRing, duty.HandlerFunc[*submission](w.handle))
	return w
}

func (w *submissionWriter) markUnavailable() {
	w.unavailable.Store(true)
	w.f.Log.Warn("table_lost", slog.String("lane", w.Name()))
}

// outage returns how long writes have failed; 0 while they take effect.
func (w *submissionWriter) outage() time.Duration {
	since := w.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(w.f.Clock.Now().UnixNano() - since)
}

func (w *submissionWriter) markAvailable() {
	w.unavailable.Store(false)
	w.f.Log.Info("table_regained", slog.String("lane", w.Name()))
}

func (w *submissionWriter) handle(batch []*submission) time.Duration {
	for len(batch) > 0 {
		n := w.batchSize(batch)
		w.process(batch[:n])
		batch = batch[n:]
	}
	if w.state == tableUnavailable {
		w.probe()
		return probePeriod
	}
	return duty.Never
}

// batchSize returns how many submissions from the start of the batch fit into one
// write.
func (w *submissionWriter) batchSize(batch []*submission) int {
	size := 0
	for i, s := range batch {
		size += len(s.row) + rowOverhead
		if i > 0 && (i >= maxBatchJobs || size > maxBatchBytes) {
			return i
		}
	}
	return len(batch)
}

// process executes the submissions whose callers still wait for the answer.
func (w *submissionWriter) process(batch []*submission) {
	var accept []*submission
	for _, s := range batch {
		if !s.claimed.CompareAndSwap(false, true) {
			continue
		}
		switch {
		case w.state == tableUnavailable:
			s.reply <- *w.f.refuse(result.StoreUnavailable, "the table does not answer")
		case s.cancel:
			s.reply <- w.cancel(s)
		default:
			accept = append(accept, s)
		}
	}
	for _, part := range w.byPart(accept) {
		w.accept(part)
	}
}

// byPart groups submissions by the part of their rows. A write to several parts takes
// twice as long as one to a single part and waits for all of them. A further submission of an
// ID is written after the first one, so that the table decides which of them is accepted.
func (w *submissionWriter) byPart(batch []*submission) [][]*submission {
	var groups, further [][]*submission
	at := map[int]int{}
	found := map[jobs.ID]bool{}
	for _, s := range batch {
		if found[s.job.ID] {
			further = append(further, []*submission{s})
			continue
		}
		found[s.job.ID] = true
		part := w.f.Parts.Of(s.job.ID)
		i, known := at[part]
		if !known {
			i = len(groups)
			at[part] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], s)
	}
	return append(groups, further...)
}

// accept writes the jobs in one transaction. If the row of one of them exists, each
// job is written in a transaction of its own.
func (w *submissionWriter) accept(batch []*submission) {
	err := w.write(batch, false)
	if len(batch) > 1 && (eris.Is(err, storage.ErrConflict) || eris.Is(err, errAmbiguousConflict)) {
		// An attempt without a reply may have accepted all of them. It may have been
		// one of the table's own, which a relayed table does not report.
		for _, s := range batch {
			s.reply <- w.answer(s.job, w.write([]*submission{s}, true))
		}
		return
	}
	for _, s := range batch {
		s.reply <- w.answer(s.job, err)
	}
}

// write creates the rows of the jobs on condition that none exists and none is barred.
// ambiguous is set when an earlier write of them may have taken effect.
func (w *submissionWriter) write(list []*submission, ambiguous bool) error {
	var txn storage.Txn
	for _, s := range list {
		job := s.job
		accepted := w.f.Parts.Key(holder.AcceptedTable, job.ID)
		txn.Checks = append(txn.Checks, storage.Check{Key: accepted}, storage.Check{Key: w.f.Parts.Key(holder.AcceptedTable, barOf(job))})
		txn.Writes = append(txn.Writes,
			storage.Write{Key: w.f.Parts.Key(holder.JobsTable, job.ID), Value: s.row},
			storage.Write{Key: accepted, Value: storage.Encode(jobs.Status{State: jobs.Queued, Team: string(job.Team), Queue: job.Queue})})
	}
	_, err := w.commit(txn, ambiguous)
	return err
}

// errAmbiguousConflict is a conflict after an attempt without a reply. The write may
// conflict with the rows of that attempt.
var errAmbiguousConflict = eris.New("conflict after an attempt without a reply")

// commit retries the write until it gets a reply, up to writeAttempts, and returns the
// table's version after it. ErrUnavailable means that it got no reply and that the write,
// or an earlier ambiguous one, may take effect.
func (w *submissionWriter) commit(txn storage.Txn, ambiguous bool) (version storage.RowVersion, err error) {
	for range writeAttempts {
		ctx, cancel := context.WithTimeout(w.f.ctx, writeTimeout)
		version, err = w.f.Table.Write(ctx, txn)
		cancel()
		if !eris.Is(err, storage.ErrUnavailable) {
			break
		}
		ambiguous = true
	}
	if err == nil || eris.Is(err, storage.ErrConflict) {
		w.failingSince.Store(0)
	} else {
		w.failingSince.CompareAndSwap(0, w.f.Clock.Now().UnixNano())
	}
	switch {
	case err == nil:
		w.fire(evReply)
	case eris.Is(err, storage.ErrConflict):
		w.fire(evReply)
		if ambiguous {
			return 0, errAmbiguousConflict
		}
	case eris.Is(err, storage.ErrRefused):
		w.fire(evNoReply)
		if ambiguous {
			return 0, eris.Wrapf(storage.ErrUnavailable, "an earlier try got no answer; then: %v", err)
		}
	default:
		w.fire(evNoReply)
	}
	return version, err
}

func (w *submissionWriter) fire(event chart.Event) { tableChart.Fire(&w.state, event, w) }

// answer returns the answer to a submission whose write ended with err.
func (w *submissionWriter) answer(job *jobs.Job, err error) Answer {
	switch {
	case err == nil:
		return Answer{Code: result.OK, State: jobs.Queued}
	case eris.Is(err, storage.ErrConflict) || eris.Is(err, errAmbiguousConflict):
		return w.duplicateAnswer(job)
	default:
		return w.failureAnswer(err)
	}
}

// failureAnswer returns the answer for a failed write: either it has certainly not
// taken effect, or its outcome is unknown.
func (w *submissionWriter) failureAnswer(err error) Answer {
	if eris.Is(err, storage.ErrRefused) {
		return *w.f.refuse(result.StoreUnavailable, err.Error())
	}
	return *w.f.refuse(result.OutcomeUnknown, err.Error())
}

// duplicateAnswer returns the answer to a submission with an existing or a barred id.
func (w *submissionWriter) duplicateAnswer(job *jobs.Job) Answer {
	found := w.f.loadStatus(w.f.ctx, job.ID)
	if found.answer != nil && found.answer.Code == result.UnknownRequest {
		found = w.f.loadStatus(w.f.ctx, barOf(job))
	}
	if found.answer != nil {
		// A row with this id exists, but its owner can't be determined.
		return *w.f.refuse(result.OutcomeUnknown, "the job's row could not be read")
	}
	return w.f.knownAnswer(job, found.status)
}

// knownAnswer returns the answer to a submission of a job whose id has been accepted with
// the status.
func (f *Front) knownAnswer(job *jobs.Job, status jobs.Status) Answer {
	if !f.belongsTo(status, job.Team, job.Queue) {
		return *f.refuse(result.KeyReused, "the id belongs to another job")
	}
	if status.Barred {
		return *f.refuse(result.Cancelled, "the job was cancelled before it was accepted")
	}
	return Answer{Code: result.OK, State: status.State}
}

// probe tests whether an unavailable table responds again.
func (w *submissionWriter) probe() {
	now := w.f.Clock.Now()
	if now.Before(w.nextProbe) {
		return
	}
	w.nextProbe = now.Add(probePeriod)
	ctx, cancel := context.WithTimeout(w.f.ctx, writeTimeout)
	defer cancel()
	_, err := w.f.Table.Get(ctx, holder.QueuesKey)
	if err == nil || eris.Is(err, storage.ErrNotFound) {
		w.fire(evReply)
	}
}
