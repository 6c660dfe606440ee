package admission

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// Load is the load of the cell at one time.
type Load struct {
	// Capacity is the processor capacity of the registered endpoints that stay, in
	// thousandths of a processor.
	Capacity int64 `json:"capacity"`
	// Largest is, of each resource, the largest capacity of an endpoint of each service
	// that the holder has seen.
	Largest map[catalog.ServiceName]model.Resources `json:"largest,omitempty"`
	// Queues are the queues with waiting work.
	Queues map[jobs.QueueName]QueueLoad `json:"queues,omitempty"`
	// OverWeight are the teams that have used up their weight, in order: further jobs
	// of theirs count as surplus.
	OverWeight []model.TeamName `json:"over_weight,omitempty"`
	// Shedding are the figures of all queues from which surplus work is refused; nil if
	// the holder does not shed load by cost, or has not observed the queues for long enough.
	Shedding map[jobs.QueueName]QueueFigures `json:"shedding,omitempty"`
	// Free is the processor capacity that is neither used nor reserved, in thousandths of
	// a processor. It is published with Shedding.
	Free int64 `json:"free,omitempty"`
}

// QueueLoad is the waiting work of a queue in core-milliseconds.
type QueueLoad struct {
	// InTime is the work of the steps that can meet their objectives, Late that of those
	// whose results are still of use, Surplus that of what teams sent beyond their weight.
	InTime  int64 `json:"in_time,omitempty"`
	Late    int64 `json:"late,omitempty"`
	Surplus int64 `json:"surplus,omitempty"`
}

// valid reports whether the figures can be those of a cell. A new holder counts no
// capacity until it has read the registry.
func (l *Load) valid() bool {
	if l.Capacity <= 0 || l.Capacity > model.MaxAmount {
		return false
	}
	for _, q := range l.Queues {
		for _, work := range []int64{q.InTime, q.Late, q.Surplus} {
			if work < 0 || work > maxWork {
				return false
			}
		}
	}
	if l.Free < 0 || l.Free > model.MaxAmount {
		return false
	}
	for _, figures := range l.Shedding {
		if !figures.valid() {
			return false
		}
	}
	for _, largest := range l.Largest {
		if !largest.InRange() {
			return false
		}
	}
	return true
}

// maxWork is the largest work of a queue that is taken for a figure of a cell, in
// core-milliseconds: a million processors for a day.
const maxWork = 1_000_000 * 24 * 3600 * 1000

// maxWait bounds an expected wait.
const maxWait = time.Hour

// wait returns the least time until a job of the queue can start: the work that the planner
// serves before it, as if the whole capacity served it. Later arrivals and gaps of the
// placement only add to it, so that a job that would be of use is not refused. Late work
// of its own queue is served after it.
func (l *Load) wait(c *catalog.Catalog, queue *catalog.Queue, surplus bool) time.Duration {
	ahead := int64(0)
	for name, load := range l.Queues {
		other := c.Queues[name]
		if other == nil || other.Service != queue.Service {
			continue
		}
		if surplus || other.Priority <= queue.Priority {
			ahead += load.InTime
		}
		if surplus || other.Priority < queue.Priority {
			ahead += load.Late
		}
		if surplus && other.Priority <= queue.Priority {
			ahead += load.Surplus
		}
	}
	if ahead == 0 {
		return 0
	}
	return time.Duration(min(float64(ahead)/float64(max(l.Capacity, 1)), maxWait.Seconds()) * float64(time.Second))
}

// surplus reports whether a job of the team counts as sent beyond its weight.
func (l *Load) surplus(team model.TeamName) bool {
	_, found := slices.BinarySearch(l.OverWeight, team)
	return found
}
