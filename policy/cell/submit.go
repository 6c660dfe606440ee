package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/work"
	"github.com/hornbeamworks/hornbeam/result"
)

// Submit queues an accepted request or returns a *result.Error when the request
// is rejected.
func (c *Cell) Submit(now time.Time, request *model.Request) error {
	if err := c.Check(now, request); err != nil {
		return err
	}
	class, _ := c.config.Class(request.Spec.Class)
	c.openJob(request, class).Reconcile()
	return nil
}

// openJob creates the request's job and sets the timer of its window.
func (c *Cell) openJob(request *model.Request, class model.Class) *work.Job {
	j := c.newJob()
	j.Reset(c, request, class, c.queue(class, c.team(request.Team)))
	j.Queue.OpenJobs++
	c.jobs[request.ID] = j
	c.timers.Set(&j.Timer, request.Deadline)
	return j
}

func (c *Cell) newJob() *work.Job {
	if last := len(c.jobPool) - 1; last >= 0 {
		j := c.jobPool[last]
		c.jobPool = c.jobPool[:last]
		return j
	}
	return &work.Job{}
}

// Check returns the error that Submit would return.
func (c *Cell) Check(now time.Time, request *model.Request) error {
	c.now = now
	if c.config.Version == 0 {
		return result.Errorf(result.NoConfig, "there is no configuration yet")
	}
	class, known := c.config.Class(request.Spec.Class)
	if !known {
		return result.Errorf(result.UnknownClass, "there is no class %q", request.Spec.Class)
	}
	team := c.teams[request.Team]
	if team == nil || !team.Configured {
		return result.Errorf(result.UnknownTeam, "there is no team %q", request.Team)
	}
	if err := c.checkSpec(request); err != nil {
		return err
	}
	if err := c.checkPossible(request.Spec, team); err != nil {
		return err
	}
	if !request.Deadline.After(now) {
		return result.Errorf(result.WindowPassed, "the window has ended already")
	}
	return c.checkQueue(request.Spec, class, team)
}

func (c *Cell) checkSpec(request *model.Request) error {
	if request.Spec.Tasks < 1 {
		return result.Errorf(result.Malformed, "the job has no tasks")
	}
	for _, amount := range request.Spec.Size {
		if amount < 0 {
			return result.Errorf(result.Malformed, "the size is negative")
		}
	}
	if request.Spec.Size.IsZero() {
		return result.Errorf(result.Malformed, "the size is zero")
	}
	if c.jobs[request.ID] != nil {
		return result.Errorf(result.KeyReused, "the request is known already")
	}
	return nil
}

// checkPossible rejects requests that no endpoint or limit could ever hold.
func (c *Cell) checkPossible(spec model.Spec, team *work.Team) error {
	count := 1
	if spec.Kind == model.Gang {
		count = spec.Tasks
	}
	if !spec.Size.Scale(int64(count)).Fits(team.Limit) {
		return result.Errorf(result.ImpossibleSize, "the job is larger than the team's limit")
	}
	if !c.fleet.Empty() && !c.fleet.Holds(spec.Size, count) {
		return result.Errorf(result.ImpossibleSize, "no failure domain of the fleet could hold the job")
	}
	if c.fleet.Empty() && !c.shardFleet.Empty() && !c.shardFleet.Holds(spec.Size, count) {
		return result.Errorf(result.ShortOfCapacity, "the endpoints known so far can't hold the job")
	}
	return nil
}

// checkQueue rejects requests for which the queue is full or that would wait
// longer than their class allows.
func (c *Cell) checkQueue(spec model.Spec, class model.Class, team *work.Team) error {
	q := c.queue(class, team)
	if q.Tasks > 0 && q.Tasks+spec.Tasks > c.settings.QueueLimit {
		return result.Errorf(result.QueueFull, "%d tasks of the class and team are queued", q.Tasks)
	}
	if class.Shortage != model.Refuse || q.First == nil {
		return nil
	}
	if wait, known := q.StartRate.Wait(c.now, q.First.Request.Accepted, q.Tasks+1); known && wait > class.MaxWait {
		return result.Errorf(result.ShortOfCapacity, "the work would wait longer than its class allows")
	}
	return nil
}

// Adopt takes over a request from the previous holder. A class that is no
// longer configured is replaced by one that has no maximum wait and is not
// repeatable.
func (c *Cell) Adopt(now time.Time, adoption policy.Adoption) {
	c.now = now
	request := adoption.Request
	if c.jobs[request.ID] != nil {
		return
	}
	class, known := c.config.Class(request.Spec.Class)
	if !known {
		class = model.Class{Name: request.Spec.Class, Shortage: model.Wait}
	}
	j := c.openJob(request, class)
	for _, attempt := range adoption.Started {
		c.adoptNumber(j, attempt)
	}
	for _, attempt := range adoption.Lost {
		c.adoptNumber(j, attempt)
	}
	for _, index := range adoption.Done {
		if t := taskOf(j, index); t != nil {
			j.Ran = true
			t.Fire(work.Restore)
		}
	}
	for _, start := range adoption.Running {
		c.adoptRunning(j, start)
	}
	c.markUnknown(j)
	j.Reconcile()
}

func (c *Cell) adoptNumber(j *work.Job, attempt model.AttemptID) {
	if t := taskOf(j, attempt.Task.Index); t != nil {
		t.Number = max(t.Number, attempt.Number)
		j.Ambiguous = true
	}
}

// adoptRunning records a running attempt. If its endpoint is not registered,
// only the attempt's number is kept.
func (c *Cell) adoptRunning(j *work.Job, start policy.Start) {
	t := taskOf(j, start.Attempt.Task.Index)
	if t == nil {
		return
	}
	c.adoptNumber(j, start.Attempt)
	n := c.nodes[start.Endpoint]
	if n == nil || start.Attempt.Number < t.Number {
		return
	}
	j.Ran = true
	t.Node, t.Size, t.Started = n, start.Size, c.now
	t.ExpectedEnd = c.now.Add(c.expectedDuration(j))
	t.Fire(work.Adopt)
}

// markUnknown ends the queued tasks of a job that may not be repeated and whose
// earlier attempts have an unknown outcome.
func (c *Cell) markUnknown(j *work.Job) {
	if j.Repeatable() {
		return
	}
	for i := range j.Tasks {
		if t := &j.Tasks[i]; t.Number > 0 {
			t.Fire(work.MarkUnknown)
		}
	}
}

// Cancel ends the request. An unknown id is ignored.
func (c *Cell) Cancel(now time.Time, id model.RequestID) {
	c.now = now
	if j := c.jobs[id]; j != nil {
		j.Cancel()
	}
}

// taskOf returns the task with the given index, or nil.
func taskOf(j *work.Job, index int) *work.Task {
	if index < 0 || index >= len(j.Tasks) {
		return nil
	}
	return &j.Tasks[index]
}
