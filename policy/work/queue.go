package work

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/estimate"
	"github.com/hornbeamworks/hornbeam/policy/quota"
)

// Tiers is the number of tiers that classes are assigned to by their maximum
// wait.
const Tiers = 5

// The maximum waits of all tiers except the last.
const (
	tier0MaxWait = 10 * time.Second
	tier1MaxWait = 2 * time.Minute
	tier2MaxWait = 20 * time.Minute
	tier3MaxWait = 2 * time.Hour
)

// Tier returns the tier for a maximum wait. Tier 0 is served first.
func Tier(maxWait time.Duration) int {
	switch {
	case maxWait <= tier0MaxWait:
		return 0
	case maxWait <= tier1MaxWait:
		return 1
	case maxWait <= tier2MaxWait:
		return 2
	case maxWait <= tier3MaxWait:
		return 3
	}
	return Tiers - 1
}

// LearnedResources is the number of leading resources whose sizes are estimated
// from usage: processors and memory. The other resources are counts that a task
// can't exceed.
const LearnedResources = int(model.Memory) + 1

// Team is a team with its limit and usage.
type Team struct {
	Name model.TeamName
	// Configured is set when the configuration contains the team.
	Configured bool
	// Limit is the team's limit in the whole fleet.
	Limit model.Resources
	// Part is the part of the limit that this scheduler may use.
	Part model.Resources
	// Queued is the declared size of the team's queued tasks.
	Queued model.Resources
	// Running is the committed size of the team's live attempts.
	Running model.Resources
	// RunningByTier is Running split by the tier of the queue.
	RunningByTier [Tiers]model.Resources
	// Account holds the team's share and its past usage.
	Account quota.Account
	// Queues are the team's queues, one for each class.
	Queues []*Queue
}

// Remaining returns the size that the team may still start: the smaller of Part
// and Limit, less what runs. It may be negative.
func (t *Team) Remaining() model.Resources {
	remaining := t.Part
	for i := range remaining {
		remaining[i] = min(remaining[i], t.Limit[i]) - t.Running[i]
	}
	return remaining
}

// Queue holds the jobs of one class and team that have tasks to start, oldest
// first.
type Queue struct {
	Class model.ClassName
	Team  *Team
	// Tier is the tier of the class.
	Tier int
	// First and Last are the oldest and the newest job; nil when the queue is
	// empty.
	First, Last *Job
	// Len is the number of jobs in the queue.
	Len int
	// Tasks is the number of queued tasks, including those of jobs that are not
	// ready.
	Tasks int
	// Blocked is set when the last attempt to start a job of the queue failed.
	Blocked bool
	// TriedRound is the round of that attempt.
	TriedRound uint64
	// MinTriedSize is a lower bound, for each resource, on the sizes of the
	// jobs tried in that attempt.
	MinTriedSize model.Resources
	// OverLimit is set when the team's limit prevented the start of a tried
	// job.
	OverLimit bool
	// SizeRatios are the ratios of used to declared size.
	SizeRatios [LearnedResources]estimate.Ratio
	// RunTimeRatios are the ratios of actual to declared run time.
	RunTimeRatios estimate.Ratio
	// SizeFactors are the multipliers applied to declared sizes. They exceed 1
	// when tasks use more than declared; they fall below 1 only after many
	// samples.
	SizeFactors [LearnedResources]float64
	// RunTimeFactor is the multiplier applied to declared run times; it may be
	// below 1.
	RunTimeFactor float64
	// Samples counts the successful attempts that the estimates include.
	Samples int
	// OpenJobs is the number of jobs that have not been removed, queued or not.
	OpenJobs int
	// FailureRate is the estimated failure rate of the attempts.
	FailureRate estimate.Rate
	// Key is the queue's current sort key.
	Key Key
	// Index is the queue's index in the heap, -1 when it is not in the heap.
	Index int
	// StartRate estimates how often jobs of the queue start.
	StartRate estimate.Frequency
}

// Key orders the queues; the smallest key is served first.
type Key struct {
	// Tier is the tier of the class, or the last tier when the team uses its
	// whole share in the class's tier and the tiers before it.
	Tier int
	// Ratio is the team's usage divided by its share.
	Ratio float64
	// Accepted is when the oldest job was accepted.
	Accepted time.Time
}

// NewQueue returns an empty queue.
func NewQueue(class model.ClassName, team *Team, tier int) *Queue {
	q := &Queue{Class: class, Team: team, Tier: tier, RunTimeFactor: 1, Index: -1}
	for i := range q.SizeFactors {
		q.SizeFactors[i] = 1
	}
	return q
}

// NewKey computes the queue's key from the current usage; total is the capacity
// that the shares refer to.
func (q *Queue) NewKey(total model.Resources) Key {
	key := Key{Tier: q.Tier, Ratio: q.Team.Account.Ratio()}
	if q.First != nil {
		key.Accepted = q.First.Request.Accepted
	}
	var used model.Resources
	for tier := range q.Tier + 1 {
		used = used.Add(q.Team.RunningByTier[tier])
	}
	if used.DominantShare(total) >= q.Team.Account.Share() {
		key.Tier = Tiers - 1
	}
	return key
}

// Before reports whether q is served before other.
func (q *Queue) Before(other *Queue) bool {
	a, b := &q.Key, &other.Key
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if a.Ratio != b.Ratio {
		return a.Ratio < b.Ratio
	}
	if q.Tier != other.Tier {
		return q.Tier < other.Tier
	}
	if !a.Accepted.Equal(b.Accepted) {
		return a.Accepted.Before(b.Accepted)
	}
	if q.Team.Name != other.Team.Name {
		return q.Team.Name < other.Team.Name
	}
	return q.Class < other.Class
}

// SizeLowerBound returns a lower bound on the size that a task of the declared
// size commits.
func (q *Queue) SizeLowerBound(declared model.Resources) model.Resources {
	for r, factor := range q.SizeFactors {
		declared[r] = int64(float64(declared[r]) * min(1, factor))
	}
	return declared
}

// Picker maintains the order of the queues.
type Picker interface {
	// Update must be called after Key, Blocked or the number of jobs of the
	// queue has changed.
	Update(q *Queue)
	// Next returns the first queue that has jobs and is not blocked, or nil.
	Next() *Queue
}

// Placer maintains the order of the endpoints.
type Placer interface {
	// Rebuild replaces all endpoints, given in order, and sets their Leaf.
	Rebuild(nodes []*Node)
	// Update must be called after AvailableCapacity of the endpoint has changed.
	Update(n *Node)
	// First returns the first endpoint whose available capacity fits w.Size and
	// that w allows, or nil.
	First(w *PlacementQuery) *Node
}

// Insert adds the job at its position. The search starts at the end of the
// queue for a new job and at the front for a returning one, so that both
// usually take few steps.
func (q *Queue) Insert(j *Job, returning bool) {
	after := q.Last
	if returning {
		after = q.lastBefore(j)
	} else {
		for after != nil && j.Before(after) {
			after = after.Prev
		}
	}
	q.link(j, after)
	j.InQueue = true
	q.Len++
}

// lastBefore returns the last job that precedes j, searching from the front. A
// job that belongs at the end, as during a takeover, is found without a search.
func (q *Queue) lastBefore(j *Job) *Job {
	if q.Last == nil || q.Last.Before(j) {
		return q.Last
	}
	var found *Job
	for at := q.First; at != nil && at.Before(j); at = at.Next {
		found = at
	}
	return found
}

// link inserts j behind after, or at the front when after is nil.
func (q *Queue) link(j, after *Job) {
	j.Prev, j.Next = after, q.First
	if after != nil {
		j.Next = after.Next
		after.Next = j
	} else {
		q.First = j
	}
	if j.Next != nil {
		j.Next.Prev = j
	} else {
		q.Last = j
	}
}

// Remove removes the job in constant time.
func (q *Queue) Remove(j *Job) {
	if j.Prev != nil {
		j.Prev.Next = j.Next
	} else {
		q.First = j.Next
	}
	if j.Next != nil {
		j.Next.Prev = j.Prev
	} else {
		q.Last = j.Prev
	}
	j.Prev, j.Next, j.InQueue = nil, nil, false
	q.Len--
}
