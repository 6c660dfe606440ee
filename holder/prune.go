package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// outcomeRetention is how long the status of an ended job can be queried and
	// its ID can't be used again: five times what the platform requires.
	outcomeRetention = 10 * time.Minute
	// prunePeriod is the time between two scans for expired outcomes.
	prunePeriod = 2 * time.Minute
	// pruneTimeout bounds a scan, and each deletion.
	pruneTimeout = 20 * time.Second
	// pruneBatch is the number of jobs whose rows are deleted together.
	pruneBatch = 40
	// pruneBatchPause is the pause between two deletions, each of which blocks
	// writes to many parts.
	pruneBatchPause = 500 * time.Millisecond
)

// Pruner is the duty that deletes the remaining rows of jobs that ended more than
// outcomeRetention ago.
type Pruner struct {
	*duty.Duty[struct{}]
	ctx          context.Context
	table        storage.FeedTable
	parts        Parts
	wall         clock.Clock
	log          *logging.Logger
	expired      []jobs.ID
	startDelayed bool
}

// NewPruner returns a pruner that has not started. ctx bounds its calls.
func NewPruner(ctx context.Context, table storage.FeedTable, parts Parts, wall clock.Clock, log *logging.Logger) *Pruner {
	p := &Pruner{ctx: ctx, table: table, parts: parts, wall: wall, log: log}
	p.Duty = duty.NewCalling("pruner", 1, duty.HandlerFunc[struct{}](p.handle))
	return p
}

func (p *Pruner) handle([]struct{}) time.Duration {
	if p.ctx.Err() != nil {
		return duty.Never
	}
	if !p.startDelayed {
		// A new holder has more urgent calls to make.
		p.startDelayed = true
		return prunePeriod
	}
	if err := p.Step(); err != nil && p.ctx.Err() == nil {
		p.log.Warn("outcomes_not_pruned", slog.Int("found", len(p.expired)), slog.Any("error", err))
		return prunePeriod
	}
	if len(p.expired) > 0 {
		return pruneBatchPause
	}
	return prunePeriod
}

// Step deletes one batch of expired outcomes, or scans for them if none is left.
func (p *Pruner) Step() error {
	ctx, cancel := context.WithTimeout(p.ctx, pruneTimeout)
	defer cancel()
	if len(p.expired) == 0 {
		return p.find(ctx)
	}
	batch := p.expired[:min(len(p.expired), pruneBatch)]
	var txn storage.Txn
	for _, id := range batch {
		txn.Writes = append(txn.Writes, deleteRow(OutcomeKey(id)), deleteRow(p.parts.Key(AcceptedTable, id)))
	}
	if err := p.table.Commit(ctx, txn); err != nil {
		return err
	}
	p.expired = p.expired[len(batch):]
	return nil
}

// find collects the jobs whose final outcomes are older than outcomeRetention.
func (p *Pruner) find(ctx context.Context) error {
	found, err := p.table.Scan(ctx, outcomePrefix)
	if err != nil {
		return err
	}
	before := p.wall.Now().Add(-outcomeRetention).UnixMilli()
	for _, row := range found.Rows {
		var status jobs.Status
		if err := json.Unmarshal(row.Value, &status); err != nil {
			return eris.Wrapf(err, "decoding the outcome at %s", row.Key)
		}
		if status.State.Final() && status.Ended < before {
			p.expired = append(p.expired, jobIDOf(row.Key))
		}
	}
	return nil
}
