package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/result"
)

const (
	// maxSpec is the size of the largest specification in bytes.
	maxSpec = 4000
	// maxTasks bounds the tasks of a job.
	maxTasks = 100000
)

// submission is a job to be written, or one to be cancelled.
type submission struct {
	job    *jobs.Job
	cancel bool
	reply  chan Answer
	// taken is set by whoever decides what the caller is told: the lane when
	// it begins to write, or the caller's thread when it gives up before.
	taken atomic.Bool
}

// Submit accepts the job, or says why not. The job's id and team are set here.
func (f *Front) Submit(ctx context.Context, c Caller, job *jobs.Job) Answer {
	began := time.Now()
	v, refused := f.admit(ctx, c)
	if refused != nil {
		return f.note("submit", v, refused, began)
	}
	if problem := check(v.id, job); problem != "" {
		return f.note("submit", v, f.refuse(result.Malformed, problem), began)
	}
	job.ID, job.Team, job.Queue = v.id, v.team, v.queue.Name
	job.Accepted = f.Wall.Now().UnixMilli()
	answer := f.hand(v, &submission{job: job, reply: make(chan Answer, 1)})
	return f.note("submit", v, &answer, began)
}

// hand gives the submission to its lane and waits for the answer.
func (f *Front) hand(v visit, s *submission) Answer {
	l := f.lanes[f.Parts.Of(v.id)%len(f.lanes)]
	if l.away.Load() {
		return *f.refuse(result.StoreUnavailable, "the table does not answer")
	}
	if !l.Offer(s) {
		return *f.refuse(result.Busy, "too many submissions wait")
	}
	timer := time.NewTimer(time.Until(v.limit))
	defer timer.Stop()
	select {
	case answer := <-s.reply:
		return answer
	case <-timer.C:
	}
	if s.taken.CompareAndSwap(false, true) {
		return *f.refuse(result.StoreUnavailable, "the table did not answer in time")
	}
	return *f.refuse(result.OutcomeUnknown, "the table did not answer in time")
}

// check returns what is wrong with a job; empty if nothing is.
func check(id jobs.ID, job *jobs.Job) string {
	switch {
	case id == "" || len(id) > 64:
		return "the job's id is missing or too long"
	case len(job.Spec) > maxSpec:
		return "the specification is too long"
	case len(job.Steps) == 0:
		return "the job has no steps"
	case job.Occurrences < 0 || job.Occurrences > 0 && job.Interval < 0:
		return "the schedule is not valid"
	}
	tasks := 0
	for i := range job.Steps {
		step := &job.Steps[i]
		tasks += step.Count
		if step.Count < 1 || tasks > maxTasks {
			return "the number of tasks is not valid"
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return "a step waits for one that is not before it"
			}
		}
	}
	return ""
}
