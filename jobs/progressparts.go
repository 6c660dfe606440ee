package jobs

import (
	"cmp"
	"slices"
)

// tasksPerPart is the number of tasks whose progress one row has. A task takes up to 440
// bytes: two runs on endpoints with the longest names, a checkpoint and failures. A row of
// the table has at most 48 KB.
const tasksPerPart = 100

// ProgressParts returns in how many parts the progress of the job is recorded; 0 if it is
// recorded as a whole.
func (j *Job) ProgressParts() int {
	tasks := j.occurrenceTasks() * j.OccurrenceCount()
	if tasks <= tasksPerPart {
		return 0
	}
	return (tasks + tasksPerPart - 1) / tasksPerPart
}

// PartOf returns the part that has the progress of a task.
func (j *Job) PartOf(id TaskID) int {
	return (j.firstTask(id.Occurrence, id.Step) + id.Index) / tasksPerPart
}

// occurrenceTasks returns the number of tasks of one occurrence.
func (j *Job) occurrenceTasks() int {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return tasks
}

// firstTask returns the number of tasks before those of the step, including those of
// earlier occurrences.
func (j *Job) firstTask(occurrence, step int) int {
	first := occurrence * j.occurrenceTasks()
	for i := range min(step, len(j.Steps)) {
		first += j.Steps[i].Count
	}
	return first
}

// SplitProgress returns the parts of the progress, without those that are empty. What
// concerns a step as a whole is in the part of its first task. Outcome, Reason and Started
// are in no part. A part depends on earlier parts only: steps wait for earlier ones.
func (j *Job) SplitProgress(progress Progress) map[int]*Progress {
	parts := map[int]*Progress{}
	for i := range progress.Steps {
		row := &progress.Steps[i]
		first := j.firstTask(row.Occurrence, row.Step)
		// at returns the step's progress in the part that has the task.
		at := func(task int) *StepProgress {
			n := (first + task) / tasksPerPart
			if parts[n] == nil {
				parts[n] = &Progress{}
			}
			steps := &parts[n].Steps
			if last := len(*steps) - 1; last < 0 || (*steps)[last].Occurrence != row.Occurrence || (*steps)[last].Step != row.Step {
				*steps = append(*steps, StepProgress{Occurrence: row.Occurrence, Step: row.Step})
			}
			return &(*steps)[len(*steps)-1]
		}
		if row.Complete || row.LastRun != 0 {
			s := at(0)
			s.Complete, s.LastRun = row.Complete, row.LastRun
		}
		row.copyTasks(at)
	}
	return parts
}

// copyTasks adds the progress of each task to what target returns for it; nil leaves the
// task out.
func (s *StepProgress) copyTasks(target func(task int) *StepProgress) {
	for _, task := range s.Done {
		if t := target(task); t != nil {
			t.Done = append(t.Done, task)
		}
	}
	for _, task := range s.Moved {
		if t := target(task); t != nil {
			t.Moved = append(t.Moved, task)
		}
	}
	for task, numbers := range s.Failures {
		if t := target(task); t != nil {
			if t.Failures == nil {
				t.Failures = map[int][]int{}
			}
			t.Failures[task] = numbers
		}
	}
	for _, run := range s.Runs {
		if t := target(run.Task); t != nil {
			t.Runs = append(t.Runs, run)
		}
	}
	for task, ends := range s.Ends {
		if t := target(task); t != nil {
			if t.Ends == nil {
				t.Ends = map[int][]RunEnd{}
			}
			t.Ends[task] = ends
		}
	}
	for task, saved := range s.Saved {
		if t := target(task); t != nil {
			if t.Saved == nil {
				t.Saved = map[int]string{}
			}
			t.Saved[task] = saved
		}
	}
}

// JoinProgress returns the progress of which whole is recorded as a whole, and the rest in
// parts. An older build may have recorded all of it as a whole: of a task that a recorded
// part has, only that part is used.
func (j *Job) JoinProgress(whole Progress, parts map[int]*Progress) Progress {
	if len(parts) == 0 {
		return whole
	}
	type stepKey struct{ occurrence, step int }
	joined := map[stepKey]*StepProgress{}
	add := func(row *StepProgress, use func(part int) bool) {
		key := stepKey{row.Occurrence, row.Step}
		if key.occurrence < 0 || key.occurrence >= j.OccurrenceCount() || key.step < 0 || key.step >= len(j.Steps) {
			return
		}
		s := joined[key]
		if s == nil {
			s = &StepProgress{Occurrence: row.Occurrence, Step: row.Step}
			joined[key] = s
		}
		s.Complete = s.Complete || row.Complete
		s.LastRun = max(s.LastRun, row.LastRun)
		first := j.firstTask(row.Occurrence, row.Step)
		row.copyTasks(func(task int) *StepProgress {
			if task < 0 || task >= j.Steps[row.Step].Count || !use((first+task)/tasksPerPart) {
				return nil
			}
			return s
		})
	}
	for i := range whole.Steps {
		add(&whole.Steps[i], func(part int) bool { return parts[part] == nil })
	}
	for n, part := range parts {
		for i := range part.Steps {
			add(&part.Steps[i], func(of int) bool { return of == n })
		}
	}
	whole.Steps = nil
	for _, s := range joined {
		if s.Complete {
			// The rows of the step's other tasks may be from before.
			*s = StepProgress{Occurrence: s.Occurrence, Step: s.Step, Complete: true, LastRun: s.LastRun}
		}
		slices.Sort(s.Done)
		slices.Sort(s.Moved)
		slices.SortFunc(s.Runs, func(a, b RunRecord) int {
			return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
		})
		whole.Steps = append(whole.Steps, *s)
	}
	slices.SortFunc(whole.Steps, func(a, b StepProgress) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	return whole
}
