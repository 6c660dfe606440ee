package holder

import (
	"strings"

	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/storage"
)

// endsSuffix ends the key of the row with the ends of runs of a job whose own row can't be
// read. It has the form of the job's progress, which can't be split into parts without the
// job, and is added to it by the holder that can read the job.
const endsSuffix = progressPartSeparator + "ends"

func endsKey(id jobs.ID) string { return progressKey(id) + endsSuffix }

// endsOf returns the job in the key of a row with ends; false for other rows.
func endsOf(key string) (jobs.ID, bool) {
	id, found := strings.CutSuffix(string(jobIDOf(key)), endsSuffix)
	return jobs.ID(id), found
}

// addEnds adds the ends that were recorded while jobs could not be read. Those of jobs that
// still can't be are kept apart.
func (r *restoredCell) addEnds() {
	for id, ends := range r.ends {
		if r.unreadable[id] {
			continue
		}
		if r.progress[id] == nil {
			r.progress[id] = &jobs.Progress{}
		}
		if job := r.jobs[id]; job != nil {
			r.progress[id].AddEnds(job, ends)
		}
	}
}

// restoreEnds continues the rows with ends of a former holder.
func (r *recorder) restoreEnds(found *restoredCell) {
	for id := range found.unreadable {
		r.unreadable[id] = found.ends[id]
		if r.unreadable[id] == nil {
			r.unreadable[id] = &jobs.Progress{}
		}
	}
	for id := range found.ends {
		if !found.unreadable[id] {
			r.endsRows[id], r.changed[id] = true, true
		}
	}
}

// keepEnd schedules the end to be recorded if the row of its job can't be read.
func (r *recorder) keepEnd(end fleet.End) {
	task := end.Run.Task
	kept := r.unreadable[task.Job]
	if kept == nil {
		return
	}
	r.changed[task.Job] = true
	s := kept.Step(task.Occurrence, task.Step)
	switch end.Outcome {
	case fleet.Succeeded:
		s.AddDone(task.Index)
	case fleet.RunFailed:
		s.AddFailure(task.Index, end.Run.Number)
	}
	if end.Saved != "" {
		s.AddSaved(task.Index, end.Saved)
	}
}

// endsWrites returns the writes of the row with the job's ends: the ends of a job that can't
// be read, and the deletion of the row once they are in the progress of the job.
func (r *recorder) endsWrites(h *Holder, id jobs.ID) []storage.Write {
	if ends := r.unreadable[id]; ends != nil {
		row := r.progressRow(h, id, endsKey(id), ends)
		if r.tooLarge(h, id, row) {
			return nil
		}
		delete(r.changed, id)
		return []storage.Write{row}
	}
	delete(r.changed, id)
	if r.endsRows[id] {
		delete(r.endsRows, id)
		return []storage.Write{deleteRow(endsKey(id))}
	}
	return nil
}
