// Package cell is the assembled scheduler of one shard: it keeps jobs, teams
// and endpoints, and decides with indexes that are updated as things happen.
// The definition of the policy stands here and in the packages beside it;
// package naive assembles the same with plain loops in place of the indexes.
package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/placement"
	"github.com/hornbeamworks/hornbeam/policy/queue"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// Settings bound what the scheduler keeps.
type Settings = policy.Settings

// Indexes are the replaceable parts of the scheduler.
type Indexes struct {
	// Picker keeps the order of the queues.
	Picker work.Picker
	// Placer keeps the order of the endpoints.
	Placer work.Placer
	// Exhaustive makes each plan try every queue, also those that nothing has
	// changed for since they were last tried.
	Exhaustive bool
}

// Cell is a policy.Scheduler. It belongs to one duty.
type Cell struct {
	settings policy.Settings
	config   *model.Config
	picker   work.Picker
	placer   work.Placer

	exhaustive    bool
	now           time.Time
	jobs          map[model.RequestID]*work.Job
	jobPool       []*work.Job
	teams         map[model.TeamName]*work.Team
	teamOrder     []*work.Team
	queues        map[queueName]*work.Queue
	queueOrder    []*work.Queue
	nodes         map[model.EndpointID]*work.Node
	nodeOrder     []*work.Node
	racks         map[rackName]*work.Rack
	fleet         placement.Fleet
	shardFleet    placement.Fleet
	totalCapacity model.Resources
	timers        work.Timers
	changedNodes  []*work.Node
	// changedCapacity are the changedCapacity of the changed endpoints.
	changedCapacity []model.Resources
	halts           []policy.Halt
	endings         []policy.Ending
	query           work.Want
	chosen          []*work.Node
	unhealthy       []*work.Node
	refreshedAt     time.Time
	reservedNodes   []*work.Node
	reservedAt      time.Time
	nextPreemption  time.Time
	slots           []slot
	running         []*work.Task
	slotCursor      int
	preemptCursor   int
	victims         []*work.Task
	bestVictims     []*work.Task
	stats           Stats
	// round counts the changes that make it worth trying blocked queues again.
	round uint64
	// minQueuedSize is at most the size of any queued task.
	minQueuedSize model.Resources
	// estimatesVersion is the version of what learned sizes depend on.
	estimatesVersion uint64
}

// queueName names the queue of a class and team.
type queueName struct {
	class model.ClassName
	team  model.TeamName
}

// rackName names a rack in the fleet.
type rackName struct {
	domain model.DomainName
	rack   model.RackName
}

var _ policy.Scheduler = (*Cell)(nil)

// New returns a scheduler with the fast indexes.
func New(settings Settings) *Cell {
	return Assemble(settings, Indexes{Picker: queue.NewHeap(), Placer: placement.NewTree()})
}

// Assemble returns a scheduler with the given indexes.
func Assemble(settings Settings, indexes Indexes) *Cell {
	return &Cell{
		settings:         settings.WithDefaults(),
		config:           &model.Config{},
		picker:           indexes.Picker,
		placer:           indexes.Placer,
		exhaustive:       indexes.Exhaustive,
		jobs:             map[model.RequestID]*work.Job{},
		teams:            map[model.TeamName]*work.Team{},
		queues:           map[queueName]*work.Queue{},
		nodes:            map[model.EndpointID]*work.Node{},
		racks:            map[rackName]*work.Rack{},
		estimatesVersion: 1,
		minQueuedSize:    unboundedSize,
	}
}
