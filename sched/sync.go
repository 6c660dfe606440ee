package sched

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// workerJobs is the most Syncs that one worker is given at a time. Its ring
	// holds as many, so that it never refuses.
	workerJobs = 2
	// maxStarts is the most starts in one Sync.
	maxStarts = 64
)

// syncJob is one Sync to be sent.
type syncJob struct {
	epoch   model.Epoch
	worker  int
	info    model.EndpointInfo
	request endpoint.SyncRequest
	// before is the time until which the holder is certain of its shard. A
	// probe, which neither starts nor renews anything, has none.
	before time.Time
}

// syncWorker is the handler of a sync duty: it sends one Sync at a time.
type syncWorker struct {
	endpoints endpoint.Endpoint
	clock     clock.Clock
	timeout   time.Duration
	post      func(Message)
}

// Handle sends the Syncs of the batch.
func (w *syncWorker) Handle(batch []syncJob) time.Duration {
	for _, job := range batch {
		w.post(w.send(job))
	}
	return duty.Never
}

// send looks at the clock right before it sends: a process that was paused
// finds out here that it may have lost the shard.
func (w *syncWorker) send(job syncJob) synced {
	result := synced{epoch: job.epoch, id: job.info.ID, worker: job.worker, request: job.request}
	ctx, stop := context.WithTimeout(context.Background(), w.timeout)
	defer stop()
	result.sentAt = w.clock.Now()
	if !job.before.IsZero() && !result.sentAt.Before(job.before) {
		result.withheld = true
		return result
	}
	result.reply, result.err = w.endpoints.Sync(ctx, job.info, job.request)
	result.endedAt = w.clock.Now()
	return result
}

// dispatch hands the Syncs that are due to the workers.
func (s *Shard) dispatch() {
	if !s.holding() || s.chart.replaying.Has(s.state) {
		return
	}
	for _, se := range s.sessions {
		if se.inflight || se.due.After(s.now) {
			continue
		}
		worker, free := s.workerFor(se)
		if !free {
			continue
		}
		job, ready := s.job(se)
		if !ready {
			se.due = s.now.Add(s.settings.SyncPeriod)
			continue
		}
		job.worker = worker
		s.busy[worker]++
		se.inflight = true
		s.ports.Sync[worker](job)
	}
}

// workerFor returns the least busy worker. The last worker serves the
// endpoints that fail, so that they hold up no other.
func (s *Shard) workerFor(se *session) (worker int, free bool) {
	last := len(s.busy) - 1
	if se.failures > 0 || last == 0 {
		return last, s.busy[last] < workerJobs
	}
	worker = 0
	for i := range last {
		if s.busy[i] < s.busy[worker] {
			worker = i
		}
	}
	return worker, s.busy[worker] < workerJobs
}

// job forms the next Sync of the session. One that adopts, or that only probes,
// renews and starts nothing, so that it does no harm when it is held up on its
// way. A holder that is not certain of its shard only probes.
func (s *Shard) job(se *session) (syncJob, bool) {
	until := s.proof.Until()
	certain := s.now.Before(until)
	adopt := s.sessionChart.unadopted.Has(se.state)
	if adopt && !certain {
		return syncJob{}, false
	}
	request := endpoint.SyncRequest{Shard: s.id, Epoch: s.epoch, Adopt: adopt, Acknowledged: se.acks}
	request.Report = !s.now.Before(se.reportAt)
	se.acks = nil
	job := syncJob{epoch: s.epoch, info: se.info, request: request}
	if adopt {
		job.before = until
		return job, true
	}
	if !certain || se.stale() || s.sessionChart.probed.Has(se.state) {
		return job, true
	}
	job.before = until
	job.request.Stamp, job.request.Fresh = se.last.Stamp, s.settings.Fresh
	job.request.Lease = s.settings.TaskLease
	job.request.Orders, se.orders = se.orders, nil
	if s.sessionChart.placeable.Has(se.state) {
		job.request.Starts = s.takeStarts(se)
	}
	return job, true
}

// takeStarts takes the session's starts. From here on they count as sent.
func (s *Shard) takeStarts(se *session) []endpoint.Start {
	n := min(len(se.starts), maxStarts)
	var starts []endpoint.Start
	for _, a := range se.starts[:n] {
		a.markSent()
		starts = append(starts, endpoint.Start{
			Attempt: a.start.Attempt, Size: a.start.Size, Request: *a.start.Request,
		})
	}
	se.starts = slices.Delete(se.starts, 0, n)
	startsSent.Add(int64(n))
	return starts
}

func endpointAttr(id model.EndpointID) slog.Attr { return slog.String("endpoint", string(id)) }
