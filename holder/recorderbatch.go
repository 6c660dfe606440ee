package holder

import (
	"encoding/base64"
	"log/slog"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	maxRowBytes = storage.MaxValueBytes
	// maxRecordBytes bounds the size of a write as it is sent; the table accepts 1 MB.
	maxRecordBytes = 900_000
	// entryOverhead bounds what an entry takes in addition to its key and value.
	entryOverhead = 100
	// maxJobBytes is the largest size of the entries for one job, without its parts.
	maxJobBytes = 100_000
)

// recordBatch collects the entries of one write, within the limits of the table.
type recordBatch struct {
	writes []storage.Write
	bytes  int
}

func sizeOf(w storage.Write) int {
	return base64.StdEncoding.EncodedLen(len(w.Value)) + len(w.Key) + entryOverhead
}

func (b *recordBatch) add(writes ...storage.Write) {
	for _, w := range writes {
		b.writes = append(b.writes, w)
		b.bytes += sizeOf(w)
	}
}

// hasRoom reports whether the entries of one job fit, without its parts.
func (b *recordBatch) hasRoom() bool {
	return len(b.writes) < maxRecordEntries-maxEntriesPerJob && b.bytes < maxRecordBytes-maxJobBytes
}

// addPart adds a write of a part, and leaves room for the other entries of its job.
func (b *recordBatch) addPart(w storage.Write) bool {
	if len(b.writes) >= maxRecordEntries-maxEntriesPerJob || b.bytes+sizeOf(w) > maxRecordBytes-maxJobBytes {
		return false
	}
	b.add(w)
	return true
}

// progressParts contains the hash of each recorded part of a job's progress. A job is
// recorded in parts from the time when its progress does not fit into a row, so that older
// builds, which read whole rows only, can take over all other jobs.
type progressParts map[int]uint64

// addJob adds the changes of one job. What does not fit is left for the next write.
func (r *recorder) addJob(h *Holder, b *recordBatch, id jobs.ID) {
	delete(r.withheld, id)
	if r.jobRowsDeleted[id] && !r.deleteParts(b, id) || !r.removed[id] && r.changed[id] && !r.addParts(h, b, id) {
		// Other jobs come first in the next write.
		delete(r.order, id)
		return
	}
	b.add(r.jobWrites(h, id)...)
}

// addParts adds the parts of the job's progress that have changed, in order, since a part
// depends on earlier ones. It returns false if some are left.
func (r *recorder) addParts(h *Holder, b *recordBatch, id jobs.ID) bool {
	job := h.cell.planner.Job(id)
	if job == nil || job.ProgressParts() == 0 {
		return true
	}
	progress, _ := h.cell.planner.Progress(id)
	recorded, inParts := r.parts[id]
	if !inParts {
		if len(storage.Encode(progress)) <= maxRowBytes {
			return true
		}
		recorded = progressParts{}
		r.parts[id] = recorded
	}
	parts := job.SplitProgress(progress)
	for n := range job.ProgressParts() {
		hash, found := recorded[n]
		if parts[n] == nil {
			if found && !b.addPart(deleteRow(progressPartKey(id, n))) {
				r.unwrittenFrom[id] = n
				return false
			}
			delete(recorded, n)
			continue
		}
		w := r.progressRow(h, id, progressPartKey(id, n), parts[n])
		sum := xxhash.Sum64(w.Value)
		if found && sum == hash {
			continue
		}
		if r.tooLarge(h, id, w) || !b.addPart(w) {
			r.unwrittenFrom[id] = n
			return false
		}
		recorded[n] = sum
	}
	return true
}

// deleteParts adds the deletion of the parts of the job's progress. It returns false if
// some are left.
func (r *recorder) deleteParts(b *recordBatch, id jobs.ID) bool {
	for n := range r.parts[id] {
		if !b.addPart(deleteRow(progressPartKey(id, n))) {
			return false
		}
		delete(r.parts[id], n)
	}
	delete(r.parts, id)
	return true
}

// progressRow returns a row of the job's progress. What it can do without is left out as far
// as it would be too large: the losses that are not known to be crashes, the longest
// checkpoints, without which tasks begin anew after a take-over, and then the runs whose starts
// have not been sent. The rest fits, since an end that is listed takes less than the record of
// its run.
func (r *recorder) progressRow(h *Holder, id jobs.ID, key string, progress *jobs.Progress) storage.Write {
	w := putRow(key, progress)
	if len(w.Value) <= maxRowBytes {
		return w
	}
	bytes := len(w.Value)
	progress.DropSilences()
	w = putRow(key, progress)
	checkpoints := progress.DropCheckpoints(len(w.Value) - maxRowBytes)
	w = putRow(key, progress)
	if len(w.Value) > maxRowBytes {
		r.withholdStarts(id, progress)
		w = putRow(key, progress)
	}
	if !r.reduced[id] {
		r.reduced[id] = true
		h.Log.Warn("progress_reduced", slog.String("id", string(id)), slog.String("key", key), slog.Int("bytes", bytes),
			slog.Int("checkpoints", checkpoints), slog.Int("starts", len(r.withheld[id])))
	}
	return w
}

// withholdStarts removes the runs from the progress whose starts have not been sent.
func (r *recorder) withholdStarts(id jobs.ID, progress *jobs.Progress) {
	unsent := map[jobs.RunID]bool{}
	for _, s := range r.starts {
		unsent[s.Run] = true
	}
	if r.withheld[id] == nil {
		r.withheld[id] = map[jobs.RunID]bool{}
	}
	for i := range progress.Steps {
		s := &progress.Steps[i]
		s.Runs = slices.DeleteFunc(s.Runs, func(record jobs.RunRecord) bool {
			step := jobs.StepID{Job: id, Occurrence: s.Occurrence, Step: s.Step}
			run := jobs.RunID{Task: jobs.TaskID{StepID: step, Index: record.Task}, Number: record.Number}
			if unsent[run] {
				r.withheld[id][run] = true
			}
			return unsent[run]
		})
	}
}

// isWithheld reports whether the run of the start is left out of its row; of a gang, any of
// its runs.
func (r *recorder) isWithheld(h *Holder, s planner.Start) bool {
	withheld := r.withheld[s.Run.Task.Job]
	if len(withheld) == 0 {
		return false
	}
	job := h.cell.planner.Job(s.Run.Task.Job)
	if job == nil || !job.Steps[s.Run.Task.Step].Gang {
		return withheld[s.Run]
	}
	for run := range withheld {
		if run.Task.StepID == s.Run.Task.StepID && run.Number == s.Run.Number {
			return true
		}
	}
	return false
}

// tooLarge reports whether the table would refuse the row, and with it the whole write.
// The job is then held back: its changes are not recorded, none of the starts that depend on
// them is sent, and its ends are not acknowledged.
func (r *recorder) tooLarge(h *Holder, id jobs.ID, w storage.Write) bool {
	if len(w.Value) <= maxRowBytes {
		return false
	}
	if !r.held[id] {
		r.held[id] = true
		h.Log.Error("progress_too_large", slog.String("id", string(id)), slog.String("key", w.Key), slog.Int("bytes", len(w.Value)))
	}
	return true
}

// isWritten reports whether the write in flight, or an earlier one, records the run of the
// start; of a gang, all its runs.
func (r *recorder) isWritten(h *Holder, s planner.Start) bool {
	task := s.Run.Task
	if r.isWithheld(h, s) {
		return false
	}
	if !r.changed[task.Job] {
		return true
	}
	first, partly := r.unwrittenFrom[task.Job]
	job := h.cell.planner.Job(task.Job)
	if !partly || job == nil {
		return false
	}
	if step := &job.Steps[task.Step]; step.Gang {
		task.Index = step.Count - 1
	}
	return job.PartOf(task) < first
}
