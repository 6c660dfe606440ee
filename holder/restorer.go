package holder

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// scanTimeout bounds the scan of one part: 10 MB over a network link of 10
	// Mbit/s.
	scanTimeout = 8 * time.Second
	// maxParallelScans is the number of parts that are scanned in parallel.
	maxParallelScans = 8
	// restorePause is the pause after a failed attempt to read the cell.
	restorePause = 150 * time.Millisecond
)

// restorer is the duty that reads the cell's durable state. It retries until one
// attempt succeeds, then stops.
type restorer struct {
	*duty.Duty[struct{}]
	table storage.FeedTable
	parts Parts
	epoch uint64
	ctx   context.Context
	h     *Holder
	done  bool
}

func (r *restorer) handle([]struct{}) time.Duration {
	if r.done || r.ctx.Err() != nil {
		r.Stop()
		return duty.Never
	}
	found, err := r.read()
	if err != nil {
		r.h.Log.Warn("cell_not_read", slog.Uint64("epoch", r.epoch), slog.Any("error", err))
		return restorePause
	}
	r.done = true
	r.h.post(found)
	return 0
}

func (r *restorer) read() (*restoredCell, error) {
	found := &restoredCell{
		epoch: r.epoch, jobs: map[jobs.ID]*jobs.Job{},
		progress: map[jobs.ID]*jobs.Progress{}, unreadable: map[jobs.ID]bool{},
	}
	if err := r.readCellRows(found); err != nil {
		return nil, err
	}
	if err := r.readJobs(found); err != nil {
		return nil, err
	}
	return found, r.readProgress(found)
}

// readCellRows reads the roster, what has been learned about run times, and the version of
// the record row.
func (r *restorer) readCellRows(found *restoredCell) error {
	rows, err := r.scan(cellPrefix)
	if err != nil {
		return err
	}
	var last recordPosition
	for _, row := range rows.Rows {
		switch {
		case row.Key == recordKey:
			found.recordVersion = row.Version
			if err := decodeRow(row, &last); err != nil {
				r.h.Log.Error("record_unreadable", slog.Any("error", err))
			}
		case row.Key == estimatesKey:
			found.estimates = r.readEstimates(row)
		case row.Key == oldRosterKey || strings.HasPrefix(row.Key, rosterPrefix):
			var part roster
			if err := json.Unmarshal(row.Value, &part); err != nil {
				// Endpoints that are registered or have recorded runs are known without it.
				r.h.Log.Error("roster_unreadable", slog.String("key", row.Key), slog.Any("error", err))
				continue
			}
			found.roster.Endpoints = append(found.roster.Endpoints, part.Endpoints...)
			found.oldRoster = found.oldRoster || row.Key == oldRosterKey
		}
	}
	if !last.Incarnations && len(found.roster.Endpoints) > 0 {
		found.oldRecord = true
		for i := range found.roster.Endpoints {
			found.roster.Endpoints[i].Born, found.roster.Endpoints[i].LongestLease = 0, false
		}
	}
	return nil
}

// scan reads the rows of one part.
func (r *restorer) scan(prefix string) (storage.Snapshot, error) {
	ctx, cancel := context.WithTimeout(r.ctx, scanTimeout)
	defer cancel()
	return r.table.Scan(ctx, prefix)
}

func (r *restorer) readJobs(found *restoredCell) error {
	found.jobsReadAt = r.h.Clock.Now()
	prefixes := r.parts.Prefixes(JobsTable)
	parts := make([]storage.Snapshot, len(prefixes))
	err := duty.Each(len(prefixes), maxParallelScans, func(i int) error {
		var err error
		parts[i], err = r.scan(prefixes[i])
		return err
	})
	if err != nil {
		return err
	}
	for _, rows := range parts {
		if found.feedFrom == 0 || rows.Version < found.feedFrom {
			found.feedFrom = rows.Version
		}
		for _, row := range rows.Rows {
			if row.Key == election.EpochKey {
				continue
			}
			job, err := decodeJob(row)
			if err != nil {
				r.h.Log.Error("job_unreadable", slog.String("key", row.Key), slog.Any("error", err))
				found.unreadable[jobIDOf(row.Key)] = true
				continue
			}
			found.jobs[job.ID] = job
		}
	}
	return nil
}

// holdBack leaves a job to a holder that can read its progress: without it, tasks that are
// done would run again. A cancelled job needs none.
func (r *restorer) holdBack(found *restoredCell, id jobs.ID, key string, err error) {
	r.h.Log.Error("progress_unreadable", slog.String("id", string(id)), slog.String("key", key), slog.Any("error", err))
	if job := found.jobs[id]; job != nil && !job.Cancelled {
		delete(found.jobs, id)
		found.unreadable[id] = true
	}
}

// readProgress reads the progress of the jobs that have been read.
func (r *restorer) readProgress(found *restoredCell) error {
	rows, err := r.scan(progressPrefix)
	if err != nil {
		return err
	}
	found.parts, found.ends = map[jobs.ID]progressParts{}, map[jobs.ID]*jobs.Progress{}
	parts := map[jobs.ID]map[int]*jobs.Progress{}
	for _, row := range rows.Rows {
		var progress jobs.Progress
		err := json.Unmarshal(row.Value, &progress)
		if id, isEnds := endsOf(row.Key); isEnds {
			if err != nil {
				r.holdBack(found, id, row.Key, err)
			} else {
				found.ends[id] = &progress
			}
			continue
		}
		id, part, isPart := progressPartOf(row.Key)
		if err != nil {
			r.holdBack(found, id, row.Key, err)
			progress = jobs.Progress{}
		}
		if !isPart {
			found.progress[id] = &progress
			continue
		}
		if parts[id] == nil {
			parts[id], found.parts[id] = map[int]*jobs.Progress{}, progressParts{}
		}
		parts[id][part], found.parts[id][part] = &progress, xxhash.Sum64(row.Value)
	}
	for id, of := range parts {
		whole := found.progress[id]
		if whole == nil {
			whole = &jobs.Progress{}
			found.progress[id] = whole
		}
		if job := found.jobs[id]; job != nil {
			*whole = job.JoinProgress(*whole, of)
		}
	}
	found.addEnds()
	return nil
}
