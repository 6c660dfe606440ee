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
	call, refused := f.admit(ctx, c)
	if refused != nil {
		return f.recordAnswer("cancel", call, refused, began)
	}
	job := &jobs.Job{ID: call.id, Team: call.team, Queue: call.queue.Name}
	answer := f.submitAndWait(call, &submission{job: job, cancel: true, reply: make(chan Answer, 1)})
	return f.recordAnswer("cancel", call, &answer, began)
}

// cancelAttempts bounds the attempts to cancel a job that is being accepted.
const cancelAttempts = 2

func (w *submissionWriter) cancel(wanted *jobs.Job) Answer {
	for range cancelAttempts {
		if answer, decided := w.tryCancel(wanted); decided {
			return answer
		}
	}
	return *w.f.refuse(result.OutcomeUnknown, "the job is being accepted")
}

// tryCancel marks the job's row as cancelled, or bars a job that has not been accepted. It
// returns false if the job has been accepted in the meantime.
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
	if job.Team != wanted.Team || job.Queue != wanted.Queue {
		return *w.f.refuse(result.UnknownRequest, "there is no such job"), true
	}
	if job.Cancelled {
		return Answer{Code: result.OK, State: jobs.Cancelled}, true
	}
	job.Cancelled, job.CancelledAt = true, w.f.Wall.Now().UnixMilli()
	return w.writeCancel(key, row.Version, &job), true
}

func (w *submissionWriter) writeCancel(key string, version storage.RowVersion, job *jobs.Job) Answer {
	err := w.commit(storage.Txn{
		Checks: []storage.Check{{Key: key, Version: version}},
		Writes: []storage.Write{{Key: key, Value: storage.Encode(job)}},
	}, false)
	switch {
	case err == nil:
		return Answer{Code: result.OK, State: jobs.Cancelled}
	case eris.Is(err, storage.ErrConflict) || eris.Is(err, errAmbiguousConflict):
		// An earlier attempt or another caller has cancelled the job, or the job
		// has ended.
		return w.cancelEnded(job)
	default:
		return w.failureAnswer(err)
	}
}

// cancelEnded returns the answer for a job whose row has been removed or changed.
func (w *submissionWriter) cancelEnded(wanted *jobs.Job) Answer {
	status, answer := w.f.loadStatus(w.f.ctx, wanted.ID)
	if answer != nil {
		return *answer
	}
	return w.endedAnswer(wanted, status)
}

func (w *submissionWriter) endedAnswer(wanted *jobs.Job, status jobs.Status) Answer {
	if status.Barred || !status.BelongsTo(wanted.Team, wanted.Queue) {
		return *w.f.refuse(result.UnknownRequest, "there is no such job")
	}
	return Answer{Code: result.OK, State: status.State}
}

// cancelAbsent cancels a job that has no row: it has ended, or has not been accepted.
func (w *submissionWriter) cancelAbsent(wanted *jobs.Job) (answer Answer, decided bool) {
	status, unknown := w.f.loadStatus(w.f.ctx, wanted.ID)
	switch {
	case unknown == nil:
		return w.endedAnswer(wanted, status), true
	case unknown.Code != result.UnknownRequest || wanted.ID.Problem() != "":
		return *unknown, true
	}
	return w.bar(wanted)
}

// bar keeps a job that has not been accepted from being accepted: its submission may still be
// on its way to a front or to the table. It returns false if the job has been accepted, or if
// an attempt without a reply has barred it.
func (w *submissionWriter) bar(wanted *jobs.Job) (answer Answer, decided bool) {
	accepted := w.f.Parts.Key(holder.AcceptedTable, wanted.ID)
	barred := storage.Encode(jobs.Status{
		State: jobs.Cancelled, Barred: true, Team: string(wanted.Team), Queue: wanted.Queue, Ended: w.f.Wall.Now().UnixMilli(),
	})
	err := w.commit(storage.Txn{
		Checks: []storage.Check{{Key: accepted}},
		// The pruner finds jobs by their outcomes.
		Writes: []storage.Write{{Key: accepted, Value: barred}, {Key: holder.OutcomeKey(wanted.ID), Value: barred}},
	}, false)
	switch {
	case err == nil:
		return *w.f.refuse(result.UnknownRequest, "there is no such job, and it will not be accepted"), true
	case eris.Is(err, storage.ErrConflict) || eris.Is(err, errAmbiguousConflict):
		return Answer{}, false
	default:
		return w.failureAnswer(err), true
	}
}
