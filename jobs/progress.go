package jobs

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
)

// Progress is the state of an unfinished job that has to survive its holder.
type Progress struct {
	// Started is set when a task has started.
	Started bool `json:"begun,omitempty"`
	// Outcome is the final state once it is decided; empty before.
	Outcome State `json:"outcome,omitempty"`
	// Reason is why Outcome was decided.
	Reason string `json:"why,omitempty"`
	// Steps is the progress of the steps that have any.
	Steps []StepProgress `json:"steps,omitempty"`
}

// DropCheckpoints removes the longest checkpoints, of at least the number of bytes together
// if there are as many. It returns how many it has removed.
func (p *Progress) DropCheckpoints(bytes int) int {
	type checkpoint struct{ step, task, bytes int }
	var all []checkpoint
	for i := range p.Steps {
		for task, saved := range p.Steps[i].Saved {
			all = append(all, checkpoint{i, task, len(saved)})
		}
	}
	slices.SortFunc(all, func(a, b checkpoint) int {
		return cmp.Or(cmp.Compare(b.bytes, a.bytes), cmp.Compare(a.step, b.step), cmp.Compare(a.task, b.task))
	})
	dropped := 0
	for _, c := range all {
		if bytes <= 0 {
			break
		}
		delete(p.Steps[c.step].Saved, c.task)
		bytes -= c.bytes
		dropped++
	}
	return dropped
}

// DropSilences removes the ends of the tasks that are not known to have crashed an endpoint.
func (p *Progress) DropSilences() {
	for i := range p.Steps {
		maps.DeleteFunc(p.Steps[i].Ends, func(_ int, ends []RunEnd) bool {
			return !slices.ContainsFunc(ends, func(e RunEnd) bool { return e.Loss == LostInCrash })
		})
	}
}

// Step returns the progress of the step, which is added if there is none.
func (p *Progress) Step(occurrence, step int) *StepProgress {
	for i := range p.Steps {
		if s := &p.Steps[i]; s.Occurrence == occurrence && s.Step == step {
			return s
		}
	}
	p.Steps = append(p.Steps, StepProgress{Occurrence: occurrence, Step: step})
	return &p.Steps[len(p.Steps)-1]
}

// AddEnds adds ends of runs that were recorded apart from the progress of the job.
func (p *Progress) AddEnds(j *Job, ends *Progress) {
	for i := range ends.Steps {
		e := &ends.Steps[i]
		if e.Step < 0 || e.Step >= len(j.Steps) {
			continue
		}
		s := p.Step(e.Occurrence, e.Step)
		if s.Complete {
			continue
		}
		p.Started = true
		for _, task := range e.Done {
			s.AddDone(task)
		}
		for task, numbers := range e.Failures {
			if j.Steps[e.Step].Gang {
				task = 0
			}
			for _, number := range numbers {
				s.AddFailure(task, number)
			}
		}
		for task, saved := range e.Saved {
			s.AddSaved(task, saved)
		}
	}
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	// Occurrence and Step identify the step, as in StepID.
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	// Complete is set when all tasks have succeeded; Done is then empty.
	Complete bool `json:"all,omitempty"`
	// Done are the indexes of the tasks that have succeeded.
	Done []int `json:"done,omitempty"`
	// Failures are the numbers of the failed runs by task index; of a lasting task only
	// the last one. A gang's failures are those of task 0.
	Failures map[int][]int `json:"failed,omitempty"`
	// Runs are the live runs. Each is recorded before its start is sent.
	Runs []RunRecord `json:"runs,omitempty"`
	// LastRun is the highest number of a run of any task, including those that have
	// ended, if it is beyond the range of the holder's epoch; 0 otherwise. The runs of the
	// next holder have higher numbers.
	LastRun int `json:"last,omitempty"`
	// Ends are the ends without success of the runs of tasks that may crash their
	// endpoints, by task index.
	Ends map[int][]RunEnd `json:"ends,omitempty"`
	// Saved are the last checkpoints by task index.
	Saved map[int]string `json:"saved,omitempty"`
	// Moved are the indexes of the tasks that were moved off slow endpoints and have not
	// succeeded.
	Moved []int `json:"moved,omitempty"`
}

// Executed reports whether a task of the step is known to have begun. Live runs do not
// show it, since they are recorded before their starts are sent.
func (s *StepProgress) Executed() bool {
	return s.Complete || len(s.Done) > 0 || len(s.Failures) > 0 || len(s.Saved) > 0 || len(s.Moved) > 0
}

// AddDone adds a task that has succeeded.
func (s *StepProgress) AddDone(task int) {
	if !slices.Contains(s.Done, task) {
		s.Done = append(s.Done, task)
	}
}

// AddFailure adds the number of a failed run.
func (s *StepProgress) AddFailure(task, number int) {
	if s.Failures == nil {
		s.Failures = map[int][]int{}
	}
	if !slices.Contains(s.Failures[task], number) {
		s.Failures[task] = append(s.Failures[task], number)
	}
}

// AddSaved replaces the checkpoint of a task.
func (s *StepProgress) AddSaved(task int, saved string) {
	if s.Saved == nil {
		s.Saved = map[int]string{}
	}
	s.Saved[task] = saved
}

// RunRecord is a live run.
type RunRecord struct {
	// Task is the index of the task in the step, Number the run's number.
	Task   int `json:"t"`
	Number int `json:"r"`
	// Endpoint is the endpoint of the run, Born the start time of its incarnation; 0 if that
	// is not known.
	Endpoint model.EndpointID `json:"e"`
	Born     int64            `json:"b,omitempty"`
	// Survived is set if the endpoint is known to have outlived the start of the run. It
	// is recorded for tasks with Ends only.
	Survived bool `json:"ok,omitempty"`
}

// RunEnd is the end of a run that had no success.
type RunEnd struct {
	Number int `json:"r"`
	// Failed is set if the run has failed, Survived if it has not and the endpoint is known
	// to have outlived its start.
	Failed   bool `json:"f,omitempty"`
	Survived bool `json:"ok,omitempty"`
	// Loss is set if the run was lost with its endpoint soon after its start. Prompt is then
	// set if the endpoint stopped responding at once, or if a former holder had started the
	// run. Endpoint is the endpoint and Born the start time of its incarnation, 0 if that is
	// not known.
	Loss     Loss             `json:"l,omitempty"`
	Prompt   bool             `json:"p,omitempty"`
	Endpoint model.EndpointID `json:"e,omitempty"`
	Born     int64            `json:"b,omitempty"`
}

// IsLoss reports whether the run was lost soon after its start.
func (e RunEnd) IsLoss() bool { return e.Loss != "" }

// Loss is what is known of the end of an endpoint with which a run was lost.
type Loss string

// The values of Loss. LostInSilence means that the endpoint may only have been
// unreachable, LostInCrash that its incarnation has ended.
const (
	LostInSilence Loss = "silence"
	LostInCrash   Loss = "crash"
)

// Status is the row from which status requests are served.
type Status struct {
	State State `json:"state"`
	// Reason is why the job has its final state; empty before, and for a completed job.
	Reason string `json:"why,omitempty"`
	// Team is the team that may read the status.
	Team  string    `json:"team,omitempty"`
	Queue QueueName `json:"queue"`
	// Ended is when a final state was recorded, in Unix milliseconds.
	Ended int64 `json:"ended,omitempty"`
	// Barred is set if the job was cancelled before it was accepted. It will not be
	// accepted from its owner. Older builds have such a status in the rows of the job
	// itself; there is no such job for callers who ask for its state.
	Barred bool `json:"barred,omitempty"`
}
