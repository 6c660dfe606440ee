package front

import (
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/jobs"
)

const (
	// maxWaitingQueries bounds the state queries that wait on one instance. Further ones are
	// answered at once.
	maxWaitingQueries = 256
	// statusWaitMargin is the part of a caller's time that a waiting query leaves: one read of
	// the table and the way back.
	statusWaitMargin = 500 * time.Millisecond
)

// statusWaits counts the queries that wait for a change of a job's state. It answers the load
// of callers that ask at the moment at which their jobs end: the end is recorded some 30 ms
// later, and a caller that was told "running" returns only after its own pause.
type statusWaits struct{ waiting atomic.Int64 }

// begin reports whether one more query may wait; end has to be called after it.
func (w *statusWaits) begin() bool {
	if w.waiting.Add(1) <= maxWaitingQueries {
		return true
	}
	w.waiting.Add(-1)
	return false
}

func (w *statusWaits) end() { w.waiting.Add(-1) }

// awaitChange waits up to StatusWait for the running job's state to change and returns its
// state after that. The row is read twice, after a third of the time and at its end. If it
// can't be read, the state that is known stands.
func (f *Front) awaitChange(call admittedCall, status jobs.Status) jobs.Status {
	if f.StatusWait <= 0 || status.State != jobs.Running || time.Until(call.deadline) < f.StatusWait+statusWaitMargin {
		return status
	}
	if !f.statusWaits.begin() {
		calls.Add("state_wait_refused", 1)
		return status
	}
	defer f.statusWaits.end()
	// If the table does not respond, the known state has to reach the caller in time.
	call.deadline = call.deadline.Add(-statusWaitMargin)
	calls.Add("state_waits", 1)
	for _, pause := range []time.Duration{f.StatusWait / 3, f.StatusWait - f.StatusWait/3} {
		if !duty.Sleep(f.ctx, pause) {
			return status
		}
		if found := f.readStatus(call); found.answer == nil {
			status = found.status
		}
		if status.State != jobs.Running {
			calls.Add("state_waits_changed", 1)
			break
		}
	}
	return status
}
