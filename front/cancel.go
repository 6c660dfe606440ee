package front

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

// Cancel cancels the job and returns its state. The answer to an unknown job is
// result.UnknownRequest.
func (f *Front) Cancel(ctx context.Context, c Caller) Answer {
	began := time.Now()
	call, refused := f.admitQuery(ctx, c)
	if refused != nil {
		return f.recordAnswer("cancel", call, refused, began)
	}
	job := &jobs.Job{ID: call.id, Team: call.team, Queue: call.queue.Name}
	answer := f.submitAndWait(call, &submission{job: job, cancel: true, deadline: call.deadline, reply: make(chan Answer, 1)})
	return f.recordAnswer("cancel", call, &answer, began)
}

// Basis is what the acknowledgement of a cancel rests on.
type Basis string

// The bases of acknowledgements.
const (
	// CancelledNow means that the call has marked the job's row as cancelled.
	CancelledNow Basis = "cancelled_now"
	// CancelledBefore means that the job's row was marked before the call.
	CancelledBefore Basis = "cancelled_before"
	// Ended means that a final state of the job is recorded.
	Ended Basis = "ended"
	// BarredNow means that the call has kept the job from being accepted, BarredBefore that
	// an earlier one has.
	BarredNow    Basis = "barred_now"
	BarredBefore Basis = "barred_before"
	// OtherOwner means that the job belongs to another queue, or has ended and belongs to
	// another team.
	OtherOwner Basis = "other_owner"
	// ImpossibleID means that no job can have the ID.
	ImpossibleID Basis = "impossible_id"
)

// cancelledAnswer returns the acknowledgement of a job whose row is marked as cancelled.
func cancelledAnswer(basis Basis, version storage.RowVersion) Answer {
	return Answer{Code: result.OK, State: jobs.Cancelled, Basis: basis, Version: version}
}

// noJobAnswer returns the answer to a caller who has no job with the ID.
func (f *Front) noJobAnswer(basis Basis, version storage.RowVersion) Answer {
	answer := f.refuse(result.UnknownRequest, "there is no such job")
	answer.Basis, answer.Version = basis, version
	return *answer
}

// cancelAttempts bounds the attempts to cancel a job whose rows change. A job's row is created,
// marked and deleted once each, so that the third attempt finds it marked or deleted.
const cancelAttempts = 3

// cancel tries to cancel the job until its rows show the answer. No attempt begins once the
// caller has stopped waiting, since the writer's other callers wait for it.
func (w *submissionWriter) cancel(s *submission) Answer {
	for range cancelAttempts {
		if answer, decided := w.tryCancel(s.job); decided {
			return answer
		}
		if time.Now().After(s.deadline) {
			break
		}
	}
	return *w.f.refuse(result.OutcomeUnknown, "the job's rows change")
}

// tryCancel marks the job's row as cancelled, or bars a job that has not been accepted. It
// returns false if the job's rows have changed in the meantime.
func (w *submissionWriter) tryCancel(wanted *jobs.Job) (answer Answer, decided bool) {
	ctx, cancel := context.WithTimeout(w.f.ctx, writeTimeout)
	defer cancel()
	key := w.f.Parts.Key(holder.JobsTable, wanted.ID)
	row, err := w.f.Table.Get(ctx, key)
	if eris.Is(err, storage.ErrNotFound) {
		return w.cancelAbsent(wanted)
	}
	if err != nil {
		w.fire(evNoReply)
		return *w.f.refuse(result.StoreUnavailable, err.Error()), true
	}
	var job jobs.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		w.f.Log.Error("job_unreadable", slog.String("key", key), slog.Any("error", err))
		return *w.f.refuse(result.StoreUnavailable, "the job's row can't be read"), true
	}
	if job.Team != wanted.Team || !w.f.reaches(wanted.Queue, job.Queue) {
		return w.otherOwnerAnswer(wanted, job.Queue, row.Version), true
	}
	if job.Cancelled {
		return cancelledAnswer(CancelledBefore, row.Version), true
	}
	job.Cancelled, job.CancelledAt = true, w.f.Wall.Now().UnixMilli()
	return w.writeCancel(key, row.Version, &job)
}

// writeCancel returns false if the row has been changed or removed. An attempt without a reply
// may have done so.
func (w *submissionWriter) writeCancel(key string, version storage.RowVersion, job *jobs.Job) (answer Answer, decided bool) {
	written, err := w.commit(storage.Txn{
		Checks: []storage.Check{{Key: key, Version: version}},
		Writes: []storage.Write{{Key: key, Value: storage.Encode(job)}},
	}, false)
	switch {
	case err == nil:
		return cancelledAnswer(CancelledNow, written), true
	case eris.Is(err, storage.ErrConflict) || eris.Is(err, errAmbiguousConflict):
		return Answer{}, false
	default:
		return w.failureAnswer(err), true
	}
}

// otherOwnerAnswer returns the answer to the cancel of another owner's job that may run. A call
// for another queue is not about that job, and its own will not be accepted with the ID. A call
// of another team is, and an acknowledgement would say that the job has ended.
func (w *submissionWriter) otherOwnerAnswer(wanted *jobs.Job, queue jobs.QueueName, version storage.RowVersion) Answer {
	if w.f.reaches(wanted.Queue, queue) {
		return *w.f.refuse(result.KeyReused, "the id belongs to the job of another team")
	}
	return w.f.noJobAnswer(OtherOwner, version)
}

// endedAnswer returns the answer for a job without a row that has a status. It returns false
// if the status is not final: the job has been accepted since its row was read.
func (w *submissionWriter) endedAnswer(wanted *jobs.Job, found statusResult) (answer Answer, decided bool) {
	mine := w.f.belongsTo(found.status, wanted.Team, wanted.Queue)
	switch {
	case !mine && found.status.State.Final():
		return w.f.noJobAnswer(OtherOwner, found.version), true
	case !mine:
		return w.otherOwnerAnswer(wanted, found.status.Queue, found.version), true
	case found.status.Barred:
		return w.f.noJobAnswer(BarredBefore, found.version), true
	case !found.status.State.Final():
		return Answer{}, false
	default:
		return Answer{Code: result.OK, State: found.status.State, Basis: Ended, Version: found.version}, true
	}
}

// cancelAbsent cancels a job that has no row: it has ended, or has not been accepted.
func (w *submissionWriter) cancelAbsent(wanted *jobs.Job) (answer Answer, decided bool) {
	found := w.f.loadStatus(w.f.ctx, wanted.ID)
	switch {
	case found.answer == nil:
		return w.endedAnswer(wanted, found)
	case found.answer.Code != result.UnknownRequest:
		return *found.answer, true
	case wanted.ID.Problem() != "":
		return w.f.noJobAnswer(ImpossibleID, 0), true
	}
	return w.bar(wanted)
}

// barOf returns the ID of the rows that keep the job from being accepted from its owner.
func barOf(job *jobs.Job) jobs.ID { return holder.BarID(job.ID, job.Team, job.Queue) }

// bar keeps a job that has not been accepted from being accepted from its owner: its submission
// may still be on its way to a front or to the table. It returns false if the job has been
// accepted, or if an attempt without a reply has barred it.
func (w *submissionWriter) bar(wanted *jobs.Job) (answer Answer, decided bool) {
	accepted, id := w.f.Parts.Key(holder.AcceptedTable, wanted.ID), barOf(wanted)
	key := w.f.Parts.Key(holder.AcceptedTable, id)
	ctx, cancel := context.WithTimeout(w.f.ctx, readTimeout)
	defer cancel()
	row, err := w.f.Table.Get(ctx, key)
	switch {
	case err == nil:
		return w.f.noJobAnswer(BarredBefore, row.Version), true
	case !eris.Is(err, storage.ErrNotFound):
		return *w.f.refuse(result.StoreUnavailable, err.Error()), true
	}
	barred := storage.Encode(jobs.Status{
		State: jobs.Cancelled, Barred: true, Team: string(wanted.Team), Queue: wanted.Queue, Ended: w.f.Wall.Now().UnixMilli(),
	})
	written, err := w.commit(storage.Txn{
		Checks: []storage.Check{{Key: accepted}, {Key: key}},
		// The pruner finds bars by their outcomes.
		Writes: []storage.Write{{Key: key, Value: barred}, {Key: holder.OutcomeKey(id), Value: barred}},
	}, false)
	switch {
	case err == nil:
		return w.f.noJobAnswer(BarredNow, written), true
	case eris.Is(err, storage.ErrConflict) || eris.Is(err, errAmbiguousConflict):
		return Answer{}, false
	default:
		return w.failureAnswer(err), true
	}
}
