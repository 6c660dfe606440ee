package holder

import (
	"context"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// cleanPeriod is the least time between two deletions; rows of jobs that end
	// within it are deleted together.
	cleanPeriod = 2 * time.Second
	// slowCleanTime is how long a deletion may take before the next one is
	// delayed by slowCleanPeriod: a slow table has more urgent writes.
	slowCleanTime   = 150 * time.Millisecond
	slowCleanPeriod = 10 * time.Second
	// cleanBacklogPeriod is the time between two deletions while the backlog is
	// large enough for another full one.
	cleanBacklogPeriod = 200 * time.Millisecond
	// cleanTimeout bounds one deletion.
	cleanTimeout = 2 * time.Second
	// cleanRingSize is the number of batches that may wait. A batch that finds the
	// ring full is sent with the next one.
	cleanRingSize = 64
)

// cleaner is the duty that deletes the rows of ended jobs. Nothing depends on when
// it does so, since their outcomes are durable.
type cleaner struct {
	*duty.Duty[[]jobs.ID]
	h           *Holder
	ctx         context.Context
	epoch       uint64
	nextCleanAt time.Time
	waiting     []jobs.ID
	// unsent contains the jobs that did not fit into the ring. Only the deciding
	// duty uses it.
	unsent []jobs.ID
}

func newCleaner(h *Holder) *cleaner {
	c := &cleaner{h: h, ctx: h.cell.ctx, epoch: h.cell.epoch}
	c.Duty = duty.NewCalling("cleaner", cleanRingSize, duty.HandlerFunc[[]jobs.ID](c.handle))
	h.cell.start(h, c)
	return c
}

// add queues jobs whose outcomes are durable.
func (c *cleaner) add(ended []jobs.ID) {
	c.unsent = append(c.unsent, ended...)
	if len(c.unsent) > 0 && c.Offer(c.unsent) {
		c.unsent = nil
	}
}

func (c *cleaner) handle(batch [][]jobs.ID) time.Duration {
	for _, ended := range batch {
		c.waiting = append(c.waiting, ended...)
	}
	if len(c.waiting) == 0 || c.ctx.Err() != nil {
		return duty.Never
	}
	if wait := c.nextCleanAt.Sub(c.h.Clock.Now()); wait > 0 {
		return wait
	}
	c.clean()
	return max(c.nextCleanAt.Sub(c.h.Clock.Now()), 0)
}

// clean deletes the rows of as many jobs as fit into one write.
func (c *cleaner) clean() {
	ctx, cancel := context.WithTimeout(c.ctx, cleanTimeout)
	defer cancel()
	ended := c.waiting[:min(len(c.waiting), maxRecordEntries)]
	var txn storage.Txn
	for _, id := range ended {
		txn.Writes = append(txn.Writes, deleteRow(c.h.Parts.Key(JobsTable, id)))
	}
	startedAt := c.h.Clock.Now()
	version, err := c.h.Table.Write(ctx, txn)
	now := c.h.Clock.Now()
	c.nextCleanAt = now.Add(cleanPeriod)
	if err != nil || now.Sub(startedAt) > slowCleanTime {
		c.nextCleanAt = now.Add(slowCleanPeriod)
	}
	if err != nil {
		c.h.Log.Warn("rows_not_deleted", slog.Int("jobs", len(ended)), slog.Any("error", err))
		return
	}
	c.h.post(cleanedMessage{epoch: c.epoch, version: version, jobs: append([]jobs.ID(nil), ended...)})
	c.waiting = c.waiting[len(ended):]
	if len(c.waiting) >= maxRecordEntries && now.Sub(startedAt) <= slowCleanTime {
		c.nextCleanAt = now.Add(cleanBacklogPeriod)
	}
}

// cleanedMessage reports that the rows of the jobs are deleted, as of the table's version.
type cleanedMessage struct {
	epoch   uint64
	version storage.RowVersion
	jobs    []jobs.ID
}

func (m cleanedMessage) apply(h *Holder) {
	if h.cell == nil || h.cell.epoch != m.epoch {
		return
	}
	r := h.cell.recorder
	r.removedJobs.rowsDeleted(m.version, m.jobs)
	for _, id := range m.jobs {
		r.jobRowsDeleted[id] = true
	}
}
