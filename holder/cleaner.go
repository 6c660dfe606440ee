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
	// cleanPeriod is the least time between two deletions; what ends within it
	// is deleted together.
	cleanPeriod = 2 * time.Second
	// cleanSlow is how long a deletion may take before the next one waits for
	// cleanSlowPeriod: a slow table has more urgent writes.
	cleanSlow       = 150 * time.Millisecond
	cleanSlowPeriod = 10 * time.Second
	// cleanBacklogPeriod is the time between two deletions while more waits
	// than one of them takes.
	cleanBacklogPeriod = 200 * time.Millisecond
	// cleanTimeout bounds one deletion.
	cleanTimeout = 2 * time.Second
	// cleanRing is the number of batches that may wait; a batch that finds no
	// room is taken by the next.
	cleanRing = 64
)

// cleaner is the duty that deletes the rows of jobs that have ended. Nothing
// depends on when it does: their outcome is on record.
type cleaner struct {
	*duty.Duty[[]jobs.ID]
	h       *Holder
	ctx     context.Context
	epoch   uint64
	nextAt  time.Time
	waiting []jobs.ID
	// left are the jobs that found no room in the ring; they belong to the
	// deciding duty.
	left []jobs.ID
}

func newCleaner(h *Holder) *cleaner {
	c := &cleaner{h: h, ctx: h.cell.ctx, epoch: h.cell.epoch}
	c.Duty = duty.NewCalling("cleaner", cleanRing, duty.HandlerFunc[[]jobs.ID](c.handle))
	h.cell.start(h, c)
	return c
}

// add hands over jobs whose outcome is on record.
func (c *cleaner) add(ended []jobs.ID) {
	c.left = append(c.left, ended...)
	if len(c.left) > 0 && c.Offer(c.left) {
		c.left = nil
	}
}

func (c *cleaner) handle(batch [][]jobs.ID) time.Duration {
	for _, ended := range batch {
		c.waiting = append(c.waiting, ended...)
	}
	if len(c.waiting) == 0 || c.ctx.Err() != nil {
		return duty.Never
	}
	if wait := c.nextAt.Sub(c.h.Clock.Now()); wait > 0 {
		return wait
	}
	c.clean()
	return max(c.nextAt.Sub(c.h.Clock.Now()), 0)
}

// clean deletes what fits into one write.
func (c *cleaner) clean() {
	ctx, cancel := context.WithTimeout(c.ctx, cleanTimeout)
	defer cancel()
	ended := c.waiting[:min(len(c.waiting), recordEntries)]
	var txn storage.Txn
	for _, id := range ended {
		txn.Writes = append(txn.Writes, drop(c.h.Parts.Key(JobsTable, id)))
	}
	began := c.h.Clock.Now()
	err := c.h.Table.Commit(ctx, txn)
	now := c.h.Clock.Now()
	c.nextAt = now.Add(cleanPeriod)
	if err != nil || now.Sub(began) > cleanSlow {
		c.nextAt = now.Add(cleanSlowPeriod)
	}
	if err != nil {
		c.h.Log.Warn("rows_not_deleted", slog.Int("jobs", len(ended)), slog.Any("error", err))
		return
	}
	c.h.tell(cleanedMessage{epoch: c.epoch, jobs: append([]jobs.ID(nil), ended...)})
	c.waiting = c.waiting[len(ended):]
	if len(c.waiting) >= recordEntries && now.Sub(began) <= cleanSlow {
		c.nextAt = now.Add(cleanBacklogPeriod)
	}
}

// cleanedMessage says that the rows of the jobs are deleted.
type cleanedMessage struct {
	epoch uint64
	jobs  []jobs.ID
}

func (m cleanedMessage) apply(h *Holder) {
	if h.cell == nil || h.cell.epoch != m.epoch {
		return
	}
	for _, id := range m.jobs {
		h.cell.recorder.dropped[id] = true
	}
}
