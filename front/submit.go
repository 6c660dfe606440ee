package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/admission"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

// maxJobRow is the largest row of a new job; a cancel adds to it. The table refuses a write
// with a larger value, and with it all jobs of the same write.
const maxJobRow = storage.MaxValueBytes - 100

// submission is a message to a submission writer: a job to write, or one to cancel.
type submission struct {
	job *jobs.Job
	// row is the encoded job; nil for a cancel.
	row    []byte
	cancel bool
	// deadline is when the caller of a cancel stops waiting.
	deadline time.Time
	reply    chan Answer
	// claimed is set by the thread that determines the answer: the writer's when it
	// begins to write, or the caller's when its time has run out before.
	claimed atomic.Bool
}

// Submit writes the job to the table; the answer says whether it is accepted. Submit
// sets the job's ID, Team, Queue and Accepted.
func (f *Front) Submit(ctx context.Context, c Caller, job *jobs.Job) Answer {
	began := time.Now()
	call, refused := f.admit(ctx, c)
	if refused != nil {
		return f.recordAnswer("submit", call, refused, began)
	}
	job.ID, job.Team, job.Queue = call.id, call.team, call.queue.Name
	if problem := job.Problem(); problem != "" {
		return f.recordAnswer("submit", call, f.refuse(result.Malformed, problem), began)
	}
	job.Accepted = f.Wall.Now().UnixMilli()
	if answer := f.decideLoad(call, job); answer != nil {
		return f.recordAnswer("submit", call, answer, began)
	}
	row := storage.Encode(job)
	if len(row) > maxJobRow {
		return f.recordAnswer("submit", call, f.refuse(result.TooLarge, "the job is too large to be stored"), began)
	}
	answer := f.submitAndWait(call, &submission{job: job, row: row, reply: make(chan Answer, 1)})
	switch answer.Code {
	case result.OK:
		f.load.add(job)
	case result.StoreUnavailable:
		answer.RetryAfter = admission.RetryAfter(call.queue, job, call.id, f.writerOf(call.id).outage())
	}
	return f.recordAnswer("submit", call, &answer, began)
}

// writerOf returns the writer of the job's part.
func (f *Front) writerOf(id jobs.ID) *submissionWriter {
	return f.writers[f.Parts.Of(id)%len(f.writers)]
}

// submitAndWait puts the submission into the ring of its writer and waits for the
// answer until the deadline of the call.
func (f *Front) submitAndWait(call admittedCall, s *submission) Answer {
	w := f.writerOf(call.id)
	if w.unavailable.Load() {
		return *f.refuse(result.StoreUnavailable, "the table does not answer")
	}
	if !w.Offer(s) {
		return *f.refuse(result.Busy, "too many submissions wait")
	}
	timer := time.NewTimer(time.Until(call.deadline))
	defer timer.Stop()
	select {
	case answer := <-s.reply:
		return answer
	case <-timer.C:
	}
	if s.claimed.CompareAndSwap(false, true) {
		return *f.refuse(result.StoreUnavailable, "the table did not answer in time")
	}
	return *f.refuse(result.OutcomeUnknown, "the table did not answer in time")
}
