package cell

import (
	"math"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// start starts the next task of the job, or all tasks of a gang, if the team's
// limit and the endpoints allow it. It reports whether it did.
func (c *Cell) start(j *work.Job, plan *policy.Plan) bool {
	t, count := j.Head(), j.Count()
	size := c.size(j)
	j.Limited = c.Limited(j)
	if j.Limited {
		j.Queue.OverLimit = true
		return false
	}
	c.query = work.PlacementQuery{Now: c.now, Task: t, Size: size, ExpectedEnd: c.now.Add(c.expectedDuration(j))}
	if !c.chooseNodes(j, count) {
		return false
	}
	accepted := j.Request.Accepted
	for _, n := range c.chosen {
		c.place(j.Head(), n, size, plan)
	}
	c.unreserveJob(j)
	c.updateUsage(j.Team)
	j.Queue.StartRate.Observe(c.now, accepted)
	j.Reconcile()
	return true
}

// Limited reports whether the team's limit prevents the job from starting.
func (c *Cell) Limited(j *work.Job) bool {
	needed := c.size(j).Scale(int64(j.Count()))
	return !needed.Fits(j.Team.Remaining())
}

// chooseNodes fills c.chosen with an endpoint for each of count tasks and
// reports whether it found them all.
func (c *Cell) chooseNodes(j *work.Job, count int) bool {
	c.chosen = c.chosen[:0]
	c.query.RackLevel = len(j.Tasks)
	if j.Service() {
		return c.chooseSpread(j)
	}
	for t := j.Head(); len(c.chosen) < count; t = t.NextQueued() {
		c.query.Task = t
		n := c.placer.First(&c.query)
		if n == nil {
			break
		}
		c.addTentative(n, c.query.Size)
		c.chosen = append(c.chosen, n)
	}
	for _, n := range c.chosen {
		c.addTentative(n, model.Resources{}.Sub(c.query.Size))
	}
	j.Missing = count - len(c.chosen)
	return j.Missing == 0
}

// addTentative counts a task on the endpoint for the rest of the search; a
// negative size removes it.
func (c *Cell) addTentative(n *work.Node, size model.Resources) {
	n.Tentative = n.Tentative.Add(size)
	c.placer.Update(n)
}

// chooseSpread selects the first endpoint in a rack with the fewest tasks of
// the service.
func (c *Cell) chooseSpread(j *work.Job) bool {
	most := countRacks(j)
	defer clearRacks(j)
	for level := 0; level <= most; level++ {
		c.query.RackLevel = level
		if n := c.placer.First(&c.query); n != nil {
			c.chosen = append(c.chosen, n)
			return true
		}
	}
	j.Missing = 1
	return false
}

// countRacks counts the live tasks of the job by rack and returns the highest
// count.
func countRacks(j *work.Job) int {
	most := 0
	for i := range j.Tasks {
		if n := j.Tasks[i].Node; n != nil {
			n.Rack.Count++
			most = max(most, n.Rack.Count)
		}
	}
	return most
}

func clearRacks(j *work.Job) {
	for i := range j.Tasks {
		if n := j.Tasks[i].Node; n != nil {
			n.Rack.Count = 0
		}
	}
}

// place starts the task on the endpoint.
func (c *Cell) place(t *work.Task, n *work.Node, size model.Resources, plan *policy.Plan) {
	t.Node, t.Size, t.Started = n, size, c.now
	t.ExpectedEnd = c.query.ExpectedEnd
	t.Number++
	t.Throttled, t.OversizeReports = false, 0
	t.Fire(work.Place)
	t.Assume()
	t.Job.SizeVersion = 0
	if n.Probing() {
		n.Probe = t
		c.placer.Update(n)
	}
	plan.Starts = append(plan.Starts, policy.Start{
		Attempt:  t.Attempt(),
		Endpoint: n.Info.ID,
		Size:     size,
		Request:  t.Job.Request,
	})
}

// size returns the size that the next attempt of the job commits.
func (c *Cell) size(j *work.Job) model.Resources {
	if j.SizeVersion != c.estimatesVersion {
		j.Size, j.SizeVersion = c.computeSize(j.Head()), c.estimatesVersion
	}
	return j.Size
}

// computeSize computes the size that the task's next attempt commits: the size
// estimated for its class and team, or the declared size while there are too
// few samples, and at least the peak usage of earlier attempts. An amount above
// the declared size is limited to what an endpoint and the team's limit can
// hold.
func (c *Cell) computeSize(t *work.Task) model.Resources {
	j := t.Job
	declared := j.Request.Spec.Size
	learned := declared
	for r := range work.LearnedResources {
		learned[r] = int64(math.Ceil(float64(declared[r]) * j.Queue.SizeFactors[r]))
	}
	learned = learned.Max(t.PeakUsage)
	if learned == declared {
		return declared
	}
	limit := c.capSize(j, learned.Max(declared))
	for r := range learned {
		learned[r] = min(learned[r], limit[r])
	}
	return learned
}

// capSize lowers a size above the declared one to what the endpoints and the
// team's limit can hold.
func (c *Cell) capSize(j *work.Job, size model.Resources) model.Resources {
	declared, count := j.Request.Spec.Size, j.Count()
	for r := range size {
		size[r] = max(declared[r], min(size[r], j.Team.Limit[r]/int64(count)))
	}
	size = c.shardFleet.Clamp(size, declared)
	if count > 1 && !c.shardFleet.Holds(size, count) {
		return declared
	}
	return size
}

// expectedDuration returns the expected run time of an attempt of the job.
func (c *Cell) expectedDuration(j *work.Job) time.Duration {
	if j.Service() {
		return serviceDuration
	}
	return time.Duration(float64(j.Request.Spec.Estimate) * j.Queue.RunTimeFactor)
}

// serviceDuration is the expected run time of a service, which has no end.
const serviceDuration = 365 * 24 * time.Hour
