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

// Cancel ends the job, or says that it is not known.
func (f *Front) Cancel(ctx context.Context, c Caller) Answer {
	began := time.Now()
	v, refused := f.admit(ctx, c)
	if refused != nil {
		return f.note("cancel", v, refused, began)
	}
	job := &jobs.Job{ID: v.id, Team: v.team, Queue: v.queue.Name}
	answer := f.hand(v, &submission{job: job, cancel: true, reply: make(chan Answer, 1)})
	return f.note("cancel", v, &answer, began)
}

// cancel marks the job's row.
func (l *lane) cancel(wanted *jobs.Job) Answer {
	ctx, cancel := context.WithTimeout(l.f.ctx, writeTimeout)
	defer cancel()
	key := l.f.Parts.Key(holder.JobsTable, wanted.ID)
	row, err := l.f.Table.Get(ctx, key)
	if eris.Is(err, storage.ErrNotFound) {
		return l.cancelEnded(wanted)
	}
	if err != nil {
		l.fire(evUnanswered)
		return *l.f.refuse(result.StoreUnavailable, err.Error())
	}
	var job jobs.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		l.f.Log.Error("job_unreadable", slog.String("key", key), slog.Any("error", err))
		return *l.f.refuse(result.UnknownRequest, "the job's row can't be read")
	}
	if job.Team != wanted.Team || job.Queue != wanted.Queue {
		return *l.f.refuse(result.UnknownRequest, "there is no such job")
	}
	if job.Cancelled {
		return Answer{Code: result.OK, State: jobs.Cancelled}
	}
	job.Cancelled = true
	return l.writeCancel(key, row.Version, &job)
}

func (l *lane) writeCancel(key string, version storage.RowVersion, job *jobs.Job) Answer {
	err := l.commit(storage.Txn{
		Checks: []storage.Check{{Key: key, Version: version}},
		Writes: []storage.Write{{Key: key, Value: storage.Encode(job)}},
	}, false)
	switch {
	case err == nil:
		return Answer{Code: result.OK, State: jobs.Cancelled}
	case eris.Is(err, storage.ErrConflict) || eris.Is(err, errSettledConflict):
		// The row was cancelled by an earlier try or another caller, or the
		// job has ended.
		return l.cancelEnded(job)
	default:
		return l.unwritten(err)
	}
}

// cancelEnded answers for a job that has no row to mark any more.
func (l *lane) cancelEnded(wanted *jobs.Job) Answer {
	status, answer := l.f.status(l.f.ctx, wanted.ID)
	if answer != nil {
		return *answer
	}
	if !status.Belongs(wanted.Team, wanted.Queue) {
		return *l.f.refuse(result.UnknownRequest, "there is no such job")
	}
	return Answer{Code: result.OK, State: status.State}
}
