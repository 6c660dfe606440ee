package planner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// crashLimit is the number of endpoints that have to crash soon after they started a
	// task before its starts are limited.
	crashLimit = 3
	// startsAfterCrashes is how often the task is started after that. Its job fails if none
	// of these runs succeeds: until then the crashes may have had another cause.
	startsAfterCrashes = 2
	// cautiousCrashes is the number of crashes from which a task is started on the emptiest
	// endpoint, so that the next crash ends the fewest other runs, and apart from the tasks
	// of other jobs, so that tasks that were lost together are not lost together again.
	cautiousCrashes = 2
	// separationTime is how long after the end of its last run a task may wait to be started
	// apart from others. It is enough for several runs, one after the other, to survive their
	// starts, and short enough for the task to run again in time.
	separationTime = 1500 * time.Millisecond
	// workingPercent is the progress of a lasting task that works.
	workingPercent = 100
	// maxRunEnds bounds the recorded ends of a task's runs, so that their row stays small.
	maxRunEnds = 8
)

// recordEnd records that a run ended without success. The ends of a task's runs are kept
// from the first one on that was lost soon after its start.
func (p *Planner) recordEnd(r *run, event runEvent) {
	if r.sentAt.IsZero() || r.refused {
		return // The task has not been started.
	}
	t := r.task
	t.endedAt = p.now
	end := jobs.RunEnd{Number: r.id.Number, Survived: r.survived && !r.failed, Failed: r.failed}
	if r.lostWithEndpoint(event) && !r.survived {
		end.Endpoint, end.Born, end.Loss, end.Prompt = r.endpoint.ID, r.born, jobs.LostInSilence, r.lostPromptly()
		if r.incarnationEnded(event) {
			end.Loss = jobs.LostInCrash
		}
	}
	if !end.IsLoss() && len(t.ends) == 0 {
		return
	}
	t.setEnds(append(t.ends, end))
	t.step.job.markChanged()
}

// incarnationEnded reports whether the event, which ended the run, shows that the
// incarnation of the endpoint that had started it has ended. A lease that has run out does
// not: the endpoint may only be unreachable.
func (r *run) incarnationEnded(event runEvent) bool {
	return event != evLapse || r.endpoint.replaced
}

// lostPromptly reports whether the endpoint stopped responding soon after the start of the
// run was sent. It does for a run that a former holder has started, since what that holder
// has observed is not known.
func (r *run) lostPromptly() bool {
	return r.inherited || !r.silentAt.IsZero() && r.silentAt.Sub(r.sentAt) < survivalTime
}

// setEnds replaces the recorded ends of the task's runs.
func (t *task) setEnds(ends []jobs.RunEnd) {
	slices.SortFunc(ends, func(a, b jobs.RunEnd) int { return cmp.Compare(a.Number, b.Number) })
	if !slices.ContainsFunc(ends, jobs.RunEnd.IsLoss) {
		ends = nil
	}
	for len(ends) > maxRunEnds {
		oldest := slices.IndexFunc(ends, func(end jobs.RunEnd) bool { return end.Loss != jobs.LostInCrash })
		ends = slices.Delete(ends, max(oldest, 0), max(oldest, 0)+1)
	}
	p := t.step.job.p
	for _, end := range t.ends {
		delete(p.lossesAt[end.Endpoint], t)
		if len(p.lossesAt[end.Endpoint]) == 0 {
			delete(p.lossesAt, end.Endpoint)
		}
	}
	t.ends = ends
	for _, end := range ends {
		if !end.IsLoss() {
			continue
		}
		if p.lossesAt[end.Endpoint] == nil {
			p.lossesAt[end.Endpoint] = map[*task]bool{}
		}
		p.lossesAt[end.Endpoint][t] = true
	}
}

// clearEnds forgets the crashes of a task that has succeeded, or that works if it lasts.
func (t *task) clearEnds() {
	if len(t.ends) > 0 {
		t.setEnds(nil)
		t.step.job.markChanged()
	}
}

// crashHistory is what the ends of a task's runs show.
type crashHistory struct {
	// crashes is how many endpoints are known to have crashed soon after they started the
	// task, startsAfter how often it was started after the first crashLimit of them.
	crashes, startsAfter int
	// prompt is how many crashes were observed at once after the starts. inRow is how many
	// runs were lost in crashes or failed since one has survived its start; after crashLimit
	// crashes, also those lost in a silence, which may be shown to be a crash too late.
	prompt, inRow int
}

func (t *task) crashHistory() crashHistory {
	var c crashHistory
	for _, end := range t.ends {
		crash := end.Loss == jobs.LostInCrash
		if c.crashes >= crashLimit {
			c.startsAfter++
		}
		if crash {
			c.crashes++
		}
		if crash && end.Prompt {
			c.prompt++
		}
		switch {
		case crash || end.Failed || end.IsLoss() && c.crashes >= crashLimit:
			c.inRow++
		case end.Survived:
			c.inRow = 0
		}
	}
	return c
}

// crashes returns how many endpoints are known to have crashed soon after they started the
// task.
func (t *task) crashes() int {
	if len(t.ends) == 0 {
		return 0
	}
	return t.crashHistory().crashes
}

// cautious reports whether the task is started apart from others.
func (t *task) cautious() bool { return t.crashes() >= cautiousCrashes }

// cautiousStart returns the largest number of crashes of a cautious task of another job whose
// run on the endpoint has not survived its start yet; 0 if there is none.
func (p *Planner) cautiousStart(e *endpoint, j *job) int {
	most := 0
	for r := range p.cautiousRuns {
		if r.endpoint == e && r.task.step.job != j {
			most = max(most, r.task.crashes())
		}
	}
	return most
}

// apart returns the candidates on which the task is not started beside a cautious task of
// another job, if one of the two has reached crashLimit: both would be lost if either
// crashed the endpoint, and the limit would fail both jobs. All candidates are returned once
// the task has waited for separationTime.
func (p *Planner) apart(t *task, candidates []*endpoint) []*endpoint {
	crashes := t.crashes()
	if crashes < cautiousCrashes || p.now.Sub(t.endedAt) >= separationTime {
		return candidates
	}
	shared := func(e *endpoint) bool {
		most := p.cautiousStart(e, t.step.job)
		return most > 0 && max(most, crashes) >= crashLimit
	}
	if !slices.ContainsFunc(candidates, shared) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), shared)
}

// crashLimitReached reports whether the task has used up its starts after crashLimit
// crashes. Crashes that were not observed at once may have had other causes, unless all
// runs in a row ended in such a way.
func (t *task) crashLimitReached() bool {
	if len(t.ends) < crashLimit+startsAfterCrashes || t.step.state == stepComplete {
		return false
	}
	c := t.crashHistory()
	return c.startsAfter >= startsAfterCrashes &&
		(c.prompt >= crashLimit || c.inRow >= crashLimit+startsAfterCrashes)
}

// failCrashingJob fails the job of a task that has reached the limit.
func (t *task) failCrashingJob() {
	var crashes, others []string
	for _, end := range t.ends {
		if end.Loss == jobs.LostInCrash {
			crashes = append(crashes, strconv.Itoa(end.Number)+" on "+string(end.Endpoint))
		} else {
			others = append(others, strconv.Itoa(end.Number))
		}
	}
	reason := "task " + t.id.String() + " crashed its endpoints, in runs " + strings.Join(crashes, ", ")
	if len(others) > 0 {
		reason += "; without success: " + strings.Join(others, ", ")
	}
	t.step.job.finish(jobs.Failed, reason)
}

// reviewLosses compares the losses at an endpoint with the start time of an incarnation
// that has been observed. The runs of an earlier one were lost in a crash. One that responds
// itself was only unreachable.
func (p *Planner) reviewLosses(id model.EndpointID, startedAt int64, responded bool) {
	p.updateLosses(id, func(end *jobs.RunEnd) {
		switch {
		case end.Born > 0 && end.Born < startedAt:
			end.Loss = jobs.LostInCrash
		case responded && end.Born <= startedAt:
			end.Loss, end.Survived = "", true
		}
	})
}

// confirmCrashes records that the losses at an endpoint that has been replaced were crashes.
func (p *Planner) confirmCrashes(id model.EndpointID) {
	p.updateLosses(id, func(end *jobs.RunEnd) { end.Loss = jobs.LostInCrash })
}

// awaitsEvidence reports whether a task was lost at the endpoint in a silence that may have
// been a crash, which another endpoint at its address would show.
func (p *Planner) awaitsEvidence(id model.EndpointID) bool {
	for t := range p.lossesAt[id] {
		if slices.ContainsFunc(t.ends, func(end jobs.RunEnd) bool { return end.Endpoint == id && end.Loss == jobs.LostInSilence }) {
			return true
		}
	}
	return false
}

// refuteLoss records that the endpoint has listed the end of a run that counted as lost.
func (t *task) refuteLoss(id model.EndpointID, number int, failed bool) {
	i := slices.IndexFunc(t.ends, func(end jobs.RunEnd) bool { return end.Number == number && end.Endpoint == id })
	if i < 0 {
		return
	}
	ends := slices.Clone(t.ends)
	ends[i].Loss, ends[i].Failed, ends[i].Survived = "", failed, !failed
	t.setEnds(ends)
	t.step.job.markChanged()
}

// updateLosses applies update to the losses of all tasks at the endpoint.
func (p *Planner) updateLosses(id model.EndpointID, update func(*jobs.RunEnd)) {
	if len(p.lossesAt[id]) == 0 {
		return
	}
	for _, t := range slices.SortedFunc(maps.Keys(p.lossesAt[id]), compareTasks) {
		t.updateLosses(id, update)
	}
}

// updateLosses applies update to the task's losses at the endpoint.
func (t *task) updateLosses(id model.EndpointID, update func(*jobs.RunEnd)) {
	changed, crashes := false, t.crashes()
	ends := slices.Clone(t.ends)
	for i := range ends {
		if !ends[i].IsLoss() || ends[i].Endpoint != id {
			continue
		}
		before := ends[i].Loss
		update(&ends[i])
		changed = changed || ends[i].Loss != before
	}
	if !changed {
		return
	}
	t.setEnds(ends)
	t.step.job.markChanged()
	if t.crashes() > crashes {
		t.fire(evTaskCrash)
	}
}
