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

// cancel marks the job's row as cancelled.
func (w *submissionWriter) cancel(wanted *jobs.Job) Answer {
	ctx, cancel := context.WithTimeout(w.f.ctx, writeTimeout)
	defer cancel()
	key := w.f.Parts.Key(holder.JobsTable, wanted.ID)
	row, err := w.f.Table.Get(ctx, key)
	if eris.Is(err, storage.ErrNotFound) {
		return w.cancelEnded(wanted)
	}
	if err != nil {
		w.fire(evNoReply)
		return *w.f.refuse(result.StoreUnavailable, err.Error())
	}
	var job jobs.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		w.f.Log.Error("job_unreadable", slog.String("key", key), slog.Any("error", err))
		return *w.f.refuse(result.UnknownRequest, "the job's row can't be read")
	}
	if job.Team != wanted.Team || job.Queue != wanted.Queue {
		return *w.f.refuse(result.UnknownRequest, "there is no such job")
	}
	if job.Cancelled {
		return Answer{Code: result.OK, State: jobs.Cancelled}
	}
	job.Cancelled = true
	return w.writeCancel(key, row.Version, &job)
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
	if !status.BelongsTo(wanted.Team, wanted.Queue) {
		return *w.f.refuse(result.UnknownRequest, "there is no such job")
	}
	return Answer{Code: result.OK, State: status.State}
}
