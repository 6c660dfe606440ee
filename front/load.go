package front

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/admission"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// loadReadPeriod is the least time between two reads of the cell's load. It is read
	// only while jobs are submitted.
	loadReadPeriod = time.Second
	// loadMaxAge is the age beyond which figures do not decide: three times the period
	// in which the holder publishes them.
	loadMaxAge = 2100 * time.Millisecond
)

// refusals counts the refused jobs by queue, team and cause.
var refusals = expvar.NewMap("jobs_refused")

// loadReader is the duty that reads the figures of the cell's load.
type loadReader struct {
	*duty.Duty[struct{}]
	f        *Front
	decision *admission.Decision
	readAt   time.Time
	// problem is the error of the last read; empty for none.
	problem string

	// mu guards the figures below, which callers' threads use.
	mu          sync.Mutex
	load        *admission.Load
	publishedAt storage.TableTime
	// added is the work that this front has accepted since the figures were read, by queue
	// in core-milliseconds.
	added map[jobs.QueueName]int64
}

func newLoadReader(f *Front) *loadReader {
	r := &loadReader{f: f, decision: admission.New(), added: map[jobs.QueueName]int64{}}
	r.Duty = duty.NewCalling("load", 1, duty.HandlerFunc[struct{}](r.handle))
	return r
}

// handle reads the figures, at most once in loadReadPeriod.
func (r *loadReader) handle([]struct{}) time.Duration {
	if now := r.f.Clock.Now(); now.Sub(r.readAt) >= loadReadPeriod || r.readAt.IsZero() {
		r.readAt = now
		r.update(r.read())
	}
	return duty.Never
}

func (r *loadReader) read() (holder.Queues, error) {
	var row holder.Queues
	ctx, cancel := context.WithTimeout(r.f.ctx, readTimeout)
	defer cancel()
	raw, err := r.f.Table.Get(ctx, holder.QueuesKey)
	if eris.Is(err, storage.ErrNotFound) {
		return row, nil
	}
	if err != nil {
		return row, err
	}
	return row, eris.Wrap(json.Unmarshal(raw.Value, &row), "decoding the cell's load")
}

// update puts the figures of the row in force, unless they are outdated or unusable.
func (r *loadReader) update(row holder.Queues, err error) {
	age, known := r.f.ageOf(row.PublishedAt)
	if err != nil || !known || age > loadMaxAge {
		row.Load = nil
	}
	changed, invalid := r.decision.Update(row.Load)
	if err == nil {
		err = invalid
	}
	r.logProblem(err)
	if changed {
		r.f.Log.Info("admission_state", slog.String("state", r.decision.State()), slog.Duration("age", age))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.load, r.publishedAt = r.decision.Load(), row.PublishedAt
	clear(r.added)
}

// logProblem logs the error of a read if it differs from that of the last one.
func (r *loadReader) logProblem(err error) {
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if problem != "" && problem != r.problem {
		r.f.Log.Warn("load_not_read", slog.String("error", problem))
	}
	r.problem = problem
}

// current returns the figures and their age; nil if they are not known or too old. It
// requests newer ones.
func (r *loadReader) current() (load *admission.Load, added map[jobs.QueueName]int64, age time.Duration) {
	// A full ring means that a read has been requested already.
	_ = r.Offer(struct{}{})
	r.mu.Lock()
	defer r.mu.Unlock()
	age, known := r.f.ageOf(r.publishedAt)
	if r.load == nil || !known || age > loadMaxAge+loadReadPeriod {
		return nil, nil, age
	}
	added = make(map[jobs.QueueName]int64, len(r.added))
	for queue, work := range r.added {
		added[queue] = work
	}
	return r.load, added, age
}

// add records the work of an accepted job.
func (r *loadReader) add(job *jobs.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.added[job.Queue] += admission.Work(job)
}

// decideLoad returns the answer to a job that is refused for its size or for the load; nil
// if the job may be accepted. A job that has been accepted before is not refused.
func (f *Front) decideLoad(call admittedCall, job *jobs.Job) *Answer {
	load, added, age := f.load.current()
	refusal := admission.Decide(f.View.Catalog(), load, job, added)
	if refusal == nil {
		return nil
	}
	found := f.readStatus(call)
	switch {
	case found.answer == nil:
		answer := f.knownAnswer(job, found.status)
		return &answer
	case found.answer.Code != result.UnknownRequest:
		// It is not known whether an earlier try was accepted.
		return found.answer
	}
	f.recordRefusal(job, refusal, load, added, age)
	return &Answer{Code: refusal.Code(), Reason: reasonOf(refusal), RetryAfter: refusal.RetryAfter}
}

// recordRefusal counts the refusal, and logs it with the figures that led to it.
func (f *Front) recordRefusal(job *jobs.Job, refusal *admission.Refusal, load *admission.Load, added map[jobs.QueueName]int64, age time.Duration) {
	refusals.Add(string(job.Queue)+"/"+string(job.Team)+"/"+string(refusal.Cause), 1)
	attrs := []slog.Attr{
		slog.String("id", string(job.ID)), slog.String("queue", string(job.Queue)), slog.String("team", string(job.Team)),
		slog.String("cause", string(refusal.Cause)), slog.Duration("wait", refusal.Wait), slog.Duration("useful", refusal.Useful),
		slog.Duration("retry_after", refusal.RetryAfter), slog.Duration("load_age", age),
	}
	if load != nil {
		attrs = append(attrs, slog.Int64("capacity", load.Capacity), slog.Any("queues", load.Queues), slog.Any("added", added))
		if load.Shedding != nil {
			attrs = append(attrs, slog.Duration("expected_wait", refusal.Expected), slog.Int64("free", load.Free), slog.Any("shedding", load.Shedding))
		}
	}
	f.Log.Info("job_refused", attrs...)
}

// reasonOf returns the reason that a caller gets.
func reasonOf(r *admission.Refusal) string {
	switch r.Cause {
	case admission.ExceedsEndpoint:
		return "a task of the job is larger than every endpoint"
	case admission.ExceedsLimit:
		return "the job is larger than its team's limit"
	case admission.OverWeight:
		return "the team has used up its share, and others' work waits; the job could not start for " + r.Wait.String()
	default:
		return "the job could not start for " + r.Wait.String() + ", after which its result is of no use"
	}
}
