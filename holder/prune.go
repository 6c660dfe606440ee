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
	// outcomeKept is how long the state of an ended job can be asked for, and
	// its id is known: five times what the platform asks for.
	outcomeKept = 10 * time.Minute
	// prunePeriod is how often old outcomes are looked for.
	prunePeriod = 2 * time.Minute
	// pruneTimeout bounds a search, and each deletion.
	pruneTimeout = 20 * time.Second
	// pruneBatch is the number of jobs whose rows are deleted together.
	pruneBatch = 40
	// prunePause parts two deletions, which hold up writes to many parts.
	prunePause = 500 * time.Millisecond
)

// Pruner is the duty that deletes what is kept of jobs that ended long ago.
type Pruner struct {
	*duty.Duty[struct{}]
	ctx   context.Context
	table storage.FeedTable
	parts Parts
	wall  clock.Clock
	log   *logging.Logger
	old   []jobs.ID
	begun bool
}

// NewPruner returns a pruner that has not started; its calls end with ctx.
func NewPruner(ctx context.Context, table storage.FeedTable, parts Parts, wall clock.Clock, log *logging.Logger) *Pruner {
	p := &Pruner{ctx: ctx, table: table, parts: parts, wall: wall, log: log}
	p.Duty = duty.NewCalling("pruner", 1, duty.HandlerFunc[struct{}](p.handle))
	return p
}

func (p *Pruner) handle([]struct{}) time.Duration {
	if p.ctx.Err() != nil {
		return duty.Never
	}
	if !p.begun {
		// A new holder has more urgent calls to make.
		p.begun = true
		return prunePeriod
	}
	if err := p.Step(); err != nil && p.ctx.Err() == nil {
		p.log.Warn("outcomes_not_pruned", slog.Int("found", len(p.old)), slog.Any("error", err))
		return prunePeriod
	}
	if len(p.old) > 0 {
		return prunePause
	}
	return prunePeriod
}

// Step deletes some old outcomes, and looks for more when none is left.
func (p *Pruner) Step() error {
	ctx, cancel := context.WithTimeout(p.ctx, pruneTimeout)
	defer cancel()
	if len(p.old) == 0 {
		return p.find(ctx)
	}
	batch := p.old[:min(len(p.old), pruneBatch)]
	var txn storage.Txn
	for _, id := range batch {
		txn.Writes = append(txn.Writes, drop(OutcomeKey(id)), drop(p.parts.Key(AcceptedTable, id)))
	}
	if err := p.table.Commit(ctx, txn); err != nil {
		return err
	}
	p.old = p.old[len(batch):]
	return nil
}

// find looks for final outcomes of jobs that ended long ago.
func (p *Pruner) find(ctx context.Context) error {
	found, err := p.table.Scan(ctx, outcomePrefix)
	if err != nil {
		return err
	}
	before := p.wall.Now().Add(-outcomeKept).UnixMilli()
	for _, row := range found.Rows {
		var status jobs.Status
		if err := json.Unmarshal(row.Value, &status); err != nil {
			return eris.Wrapf(err, "decoding the outcome at %s", row.Key)
		}
		if status.State.Final() && status.Ended < before {
			p.old = append(p.old, idOf(row.Key))
		}
	}
	return nil
}
