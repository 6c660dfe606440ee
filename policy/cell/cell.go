// Package cell implements the scheduler of one shard. It holds the shard's
// jobs, teams and endpoints and decides with indexes that are updated
// incrementally. The scheduling policy is defined here and in the packages that
// this one imports; package naive combines the same policy with linear searches
// in place of the indexes.
package cell

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/placement"
	"github.com/hornbeamworks/hornbeam/policy/queue"
	"github.com/hornbeamworks/hornbeam/policy/work"
)

// Settings limits the work that the scheduler queues and sets how it retries.
type Settings = policy.Settings

// Indexes are the replaceable parts of the scheduler.
type Indexes struct {
	// Picker maintains the order of the queues.
	Picker work.Picker
	// Placer maintains the order of the endpoints.
	Placer work.Placer
	// Exhaustive makes each plan try every queue, including those for which
	// nothing has changed since they were last tried.
	Exhaustive bool
}

// Cell is a policy.Scheduler. It is owned by one duty and is not safe for
// concurrent use.
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
	// changedCapacity is the available capacity of each endpoint in
	// changedNodes.
	changedCapacity []model.Resources
	halts           []policy.Halt
	endings         []policy.Ending
	query           work.PlacementQuery
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
	// round counts the changes after which blocked queues may be tried again.
	round uint64
	// minQueuedSize is a lower bound, for each resource, on the sizes of the
	// queued tasks.
	minQueuedSize model.Resources
	// estimatesVersion is the version of the inputs of estimated sizes.
	estimatesVersion uint64
}

// queueName is the key of a queue.
type queueName struct {
	class model.ClassName
	team  model.TeamName
}

// rackName is the key of a rack in the fleet.
type rackName struct {
	domain model.DomainName
	rack   model.RackName
}

var _ policy.Scheduler = (*Cell)(nil)

// New returns a scheduler with a heap of queues and a tree of endpoints.
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
