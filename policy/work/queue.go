package work

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/estimate"
	"github.com/hornbeamworks/hornbeam/policy/quota"
)

// Tiers is the number of tiers that classes fall into by their longest wait.
const Tiers = 5

// The longest waits of the tiers but the last.
const (
	tier0MaxWait = 10 * time.Second
	tier1MaxWait = 2 * time.Minute
	tier2MaxWait = 20 * time.Minute
	tier3MaxWait = 2 * time.Hour
)

// Tier returns the tier of a longest wait; tier 0 is served first.
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

// LearnedResources is the number of resources whose sizes are learned: the first ones,
// processors and memory. The others are counts that tasks can't outgrow.
const LearnedResources = int(model.Memory) + 1

// Team is a team with what it uses.
type Team struct {
	// Name names the team.
	Name model.TeamName
	// Configured says that the configuration has the team.
	Configured bool
	// Limit is the team's limit in the fleet.
	Limit model.Resources
	// Part is the part of the limit that this scheduler may use.
	Part model.Resources
	// Queued is the declared size of the team's queued tasks.
	Queued model.Resources
	// Running is the size of the team's live attempts.
	Running model.Resources
	// RunningByTier is the same for each tier.
	RunningByTier [Tiers]model.Resources
	// Account holds the team's share and use.
	Account quota.Account
	// Queues are the queues of the team, one for each class.
	Queues []*Queue
}

// Remaining is what the team may still start.
func (t *Team) Remaining() model.Resources {
	room := t.Part
	for i := range room {
		room[i] = min(room[i], t.Limit[i]) - t.Running[i]
	}
	return room
}

// Queue holds the jobs of one class and team that have tasks to start, oldest
// first.
type Queue struct {
	// Class names the class.
	Class model.ClassName
	// Team is the team.
	Team *Team
	// Tier is the tier of the class.
	Tier int
	// First and Last are the oldest and the newest job.
	First, Last *Job
	// Len is the number of jobs.
	Len int
	// Tasks is the number of queued tasks.
	Tasks int
	// Blocked says that nothing in it could be started when it was last tried.
	Blocked bool
	// TriedRound is the round in which it was last tried.
	TriedRound uint64
	// MinTriedSize is at most the size of each job that was tried when it was blocked.
	MinTriedSize model.Resources
	// OverLimit says that the team's limit was the reason.
	OverLimit bool
	// SizeRatios learns how much larger than declared the tasks are.
	SizeRatios [LearnedResources]estimate.Ratio
	// RunTimeRatios learns how much longer than declared the tasks run.
	RunTimeRatios estimate.Ratio
	// SizeFactors say by how much declared sizes are multiplied, at least 1.
	SizeFactors [LearnedResources]float64
	// RunTimeFactor is the same for run times and may be below 1.
	RunTimeFactor float64
	// Samples counts the ends that the estimators have seen.
	Samples int
	// OpenJobs is the number of jobs that are not forgotten.
	OpenJobs int
	// FailureRate counts how the tasks end.
	FailureRate estimate.Rate
	// Key is the place in the order.
	Key Key
	// Index is the place in the order's heap, -1 outside it.
	Index int
	// StartRate estimates the rate of starts.
	StartRate estimate.Frequency
}

// Key orders queues; the least is served first.
type Key struct {
	// Tier is the tier; a team that uses its whole share in this tier and the
	// ones before it is served in the last one.
	Tier int
	// Ratio is the team's use by its share.
	Ratio float64
	// Accepted is the acceptance of the oldest job.
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

// NewKey returns the key of the queue as things stand.
func (q *Queue) NewKey(total model.Resources) Key {
	key := Key{Tier: q.Tier, Ratio: q.Team.Account.Ratio()}
	if q.First != nil {
		key.Accepted = q.First.Request.Accepted
	}
	var used model.Resources
	for tier := range q.Tier + 1 {
		used = used.Add(q.Team.RunningByTier[tier])
	}
	if used.DominantShare(total) >= q.Team.Account.Entitled() {
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

// SizeLowerBound is at most what a task of the declared size commits.
func (q *Queue) SizeLowerBound(declared model.Resources) model.Resources {
	for r, factor := range q.SizeFactors {
		declared[r] = int64(float64(declared[r]) * min(1, factor))
	}
	return declared
}

// Picker keeps the queues in their order.
type Picker interface {
	// Update takes the queue's state and key: whether it has jobs, whether it
	// is blocked and where it stands.
	Update(q *Queue)
	// Next returns the first queue that has jobs and is not blocked, or nil.
	Next() *Queue
}

// Placer keeps the endpoints in their order.
type Placer interface {
	// Rebuild takes all endpoints in their order and sets their leaves.
	Rebuild(nodes []*Node)
	// Update takes the room of an endpoint.
	Update(n *Node)
	// First returns the first endpoint with room for w.Size that w allows, or
	// nil.
	First(w *Want) *Node
}

// Insert puts the job in its place. New jobs go to the end and returning ones
// near the front, both in a few steps.
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

// lastBefore returns the last job that stands before j, seen from the front. A
// job that belongs at the end, as in a take-over, is seen at once.
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

// link puts j behind after, or at the front when after is nil.
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

// Remove takes the job out in constant time.
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
