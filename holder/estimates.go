package holder

import (
	"encoding/json"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/estimate"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/storage"
)

// estimatesPeriod is the least time between two writes of what has been learned about run
// times. A successor that lacks the samples of this time predicts nearly the same.
const estimatesPeriod = 2 * time.Second

// publishEstimates passes what has been learned about run times to the recorder, if it has
// changed.
func (h *Holder) publishEstimates() {
	c := h.cell
	version := c.planner.EstimatesVersion()
	if version == c.estimatesVersion || h.now.Sub(c.estimatesPublishedAt) < estimatesPeriod {
		return
	}
	c.estimatesVersion, c.estimatesPublishedAt = version, h.now
	snapshot := c.planner.Estimates()
	c.recorder.estimates = &snapshot
	counts.Add("estimates_published", 1)
}

// estimatesWrites returns the write of what has been learned about run times. A row that the
// table would refuse is not written, since the other entries of the write would be lost too.
func (r *recorder) estimatesWrites(h *Holder) []storage.Write {
	if r.estimates == nil {
		return nil
	}
	row := putRow(estimatesKey, r.estimates)
	r.estimates = nil
	if len(row.Value) > maxRowBytes {
		counts.Add("estimates_too_large", 1)
		h.Log.Error("estimates_too_large", slog.Int("bytes", len(row.Value)))
		return nil
	}
	return []storage.Write{row}
}

// readEstimates reads the row with what a former holder has learned. One that can't be read
// counts as empty.
func (r *restorer) readEstimates(row storage.Row) estimate.Snapshot {
	var found estimate.Snapshot
	if err := json.Unmarshal(row.Value, &found); err != nil {
		counts.Add("estimates_unreadable", 1)
		r.h.Log.Error("estimates_unreadable", slog.String("key", row.Key), slog.Any("error", err))
		return estimate.Snapshot{}
	}
	return found
}

// restoreEstimates continues from what a former holder has learned.
func (h *Holder) restoreEstimates(found estimate.Snapshot) {
	if !h.Policy.LearnedEstimates {
		return
	}
	rejected := h.cell.planner.RestoreEstimates(found)
	counts.Add("estimates_rejected", int64(rejected))
	h.Log.Info("estimates_restored", slog.Uint64("epoch", h.cell.epoch),
		slog.Int("entries", len(found.Entries)-rejected), slog.Int("rejected", rejected))
}

// logEstimate logs what has been learned about the run times of a queue.
func (h *Holder) logEstimate(queue jobs.QueueName) {
	learned, found := h.cell.planner.LearnedEstimate(queue)
	if !found {
		return
	}
	h.Log.Info("estimates", slog.Uint64("epoch", h.cell.epoch), slog.String("queue", string(queue)),
		slog.Float64("slope", learned.Slope), slog.Duration("typical", learned.Typical),
		slog.Float64("spread", learned.Spread), slog.Float64("samples", learned.Samples))
}
