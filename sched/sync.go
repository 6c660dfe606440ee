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
	// maxWorkerSyncs is the maximum number of Syncs queued at one worker. It is
	// also the capacity of the worker's ring, which therefore is never full
	// when a Sync is sent to it.
	maxWorkerSyncs = 2
	// maxStarts is the maximum number of starts in one Sync.
	maxStarts = 64
)

// syncJob is one Sync to be sent.
type syncJob struct {
	epoch   model.Epoch
	worker  int
	info    model.EndpointInfo
	request endpoint.SyncRequest
	// provenUntil is the time until which the holder can prove that it holds
	// the shard. It is zero for a probe, which neither starts nor renews
	// anything.
	provenUntil time.Time
}

// syncWorker is the handler of a sync duty: it sends one Sync at a time.
type syncWorker struct {
	endpoints endpoint.Endpoint
	clock     clock.Clock
	timeout   time.Duration
	post      func(Message)
}

// Handle sends the Syncs of the batch sequentially.
func (w *syncWorker) Handle(batch []syncJob) time.Duration {
	for _, job := range batch {
		w.post(w.send(job))
	}
	return duty.Never
}

// send checks the clock immediately before the call, so that a process that was
// paused notices that it may have lost the shard and sends nothing.
func (w *syncWorker) send(job syncJob) syncDone {
	result := syncDone{epoch: job.epoch, id: job.info.ID, worker: job.worker, request: job.request}
	ctx, stop := context.WithTimeout(context.Background(), w.timeout)
	defer stop()
	result.sentAt = w.clock.Now()
	if !job.provenUntil.IsZero() && !result.sentAt.Before(job.provenUntil) {
		result.withheld = true
		return result
	}
	result.reply, result.err = w.endpoints.Sync(ctx, job.info, job.request)
	result.endedAt = w.clock.Now()
	return result
}

// dispatch sends the Syncs that are due to the workers.
func (s *Shard) dispatch() {
	if !s.holding() || s.chart.replaying.Has(s.state) {
		return
	}
	for _, se := range s.sessions {
		if se.inflight || se.nextSyncAt.After(s.now) {
			continue
		}
		worker, free := s.workerFor(se)
		if !free {
			continue
		}
		job, ready := s.nextSync(se)
		if !ready {
			se.nextSyncAt = s.now.Add(s.settings.SyncPeriod)
			continue
		}
		job.worker = worker
		s.workerSyncs[worker]++
		se.inflight = true
		s.ports.Sync[worker](job)
	}
}

// workerFor returns the worker with the fewest Syncs, and whether it has free
// capacity. The last worker serves the endpoints whose Syncs fail, so that
// their time-outs don't delay other endpoints.
func (s *Shard) workerFor(se *session) (worker int, free bool) {
	last := len(s.workerSyncs) - 1
	if se.failures > 0 || last == 0 {
		return last, s.workerSyncs[last] < maxWorkerSyncs
	}
	worker = 0
	for i := range last {
		if s.workerSyncs[i] < s.workerSyncs[worker] {
			worker = i
		}
	}
	return worker, s.workerSyncs[worker] < maxWorkerSyncs
}

// nextSync creates the next Sync of the session. A Sync that adopts or probes
// renews and starts nothing, so that a delayed one has no effect on work. A
// holder that can't prove that it holds the shard only probes.
func (s *Shard) nextSync(se *session) (syncJob, bool) {
	until := s.proof.Until()
	proven := s.now.Before(until)
	adopt := s.sessionChart.unadopted.Has(se.state)
	if adopt && !proven {
		return syncJob{}, false
	}
	request := endpoint.SyncRequest{Shard: s.id, Epoch: s.epoch, Adopt: adopt, Acknowledged: se.acks}
	request.Report = !s.now.Before(se.reportAt)
	se.acks = nil
	job := syncJob{epoch: s.epoch, info: se.info, request: request}
	if adopt {
		job.provenUntil = until
		return job, true
	}
	if !proven || se.stale() || s.sessionChart.probed.Has(se.state) {
		return job, true
	}
	job.provenUntil = until
	job.request.Stamp, job.request.Fresh = se.last.Stamp, s.settings.Fresh
	job.request.Lease = s.settings.TaskLease
	job.request.Orders, se.commands = se.commands, nil
	if s.sessionChart.placeable.Has(se.state) {
		job.request.Starts = s.dequeueStarts(se, job.request.Stamp+int64(job.request.Fresh))
	}
	return job, true
}

// dequeueStarts removes up to maxStarts starts from the session's queue and
// marks them as sent, in a Sync that takes effect until the given time on the
// endpoint's clock.
func (s *Shard) dequeueStarts(se *session, effectiveUntil int64) []endpoint.Start {
	n := min(len(se.starts), maxStarts)
	var starts []endpoint.Start
	for _, a := range se.starts[:n] {
		a.markSent()
		a.effectiveUntil = effectiveUntil
		starts = append(starts, endpoint.Start{
			Attempt: a.start.Attempt, Size: a.start.Size, Request: *a.start.Request,
		})
	}
	se.starts = slices.Delete(se.starts, 0, n)
	startsSent.Add(int64(n))
	return starts
}

func endpointAttr(id model.EndpointID) slog.Attr { return slog.String("endpoint", string(id)) }
