package sched

import (
	"context"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/shardjournal"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// shardRing is the capacity of the shard duty's ring. When it is full,
	// callers are rejected as busy, and the other duties block until there is
	// capacity.
	shardRing = 4096
	// journalRing is the capacity of the journal duty's ring. When it is full,
	// the shard duty keeps the entries and retries.
	journalRing = 4096
	// controlRing is the capacity of the rings that carry one kind of rare
	// command. A full ring rejects the message, since the same command is
	// already queued.
	controlRing = 4
)

// Dependencies holds the external dependencies of a scheduler.
type Dependencies struct {
	Table     storage.Table
	Objects   storage.ObjectStore
	Instances storage.InstanceList
	// Endpoints sends Syncs to the endpoints.
	Endpoints endpoint.Endpoint
	Clock     clock.Clock
	Log       *logging.Logger
	// Config returns the configuration in force, or nil before the first one
	// has been received.
	Config func() *model.Config
	// Start starts the duties of one epoch; it is the Start of a duty.Group.
	Start func(...duty.Runner)
	// Announce receives the state of the shard: every standingsPeriod while it
	// is served, and once when serving ends.
	Announce func(Holding) bool
	// Peers calls other schedulers.
	Peers Peers
	// Holder returns the address of a shard's holder; ok is false when no
	// holder is registered.
	Holder func(model.ShardID) (address string, ok bool)
	// NewScheduler returns the scheduling policy for one epoch.
	NewScheduler func() policy.Scheduler
}

// Daemon is the set of duties that one process runs for one shard.
type Daemon struct {
	id     model.ShardID
	shard  *duty.Duty[Message]
	others []duty.Runner
}

// NewDaemon creates the duties and connects their rings. instance and address
// identify this process to its peers.
func NewDaemon(id model.ShardID, instance model.InstanceID, address string, settings Settings, deps Dependencies) *Daemon {
	d := &Daemon{id: id}
	ports := Ports{}
	d.addLease(&ports, instance, address, settings, deps)
	d.addJournal(&ports, instance, settings, deps)
	d.addSyncs(&ports, settings, deps)
	d.addInstances(settings, deps)
	d.addParts(&ports, deps)
	d.addDelegate(&ports, deps)
	handler := NewShard(id, instance, settings, deps.Clock, deps.Log, deps.NewScheduler, ports)
	d.shard = duty.New(d.name("shard"), shardRing, handler)
	return d
}

// Duties returns the duties to be started. The shard duty comes first, so that
// it is stopped last.
func (d *Daemon) Duties() []duty.Runner { return append([]duty.Runner{d.shard}, d.others...) }

// Offer posts a message to the shard duty's ring and reports false when the
// ring is full.
func (d *Daemon) Offer(m Message) bool { return d.shard.Offer(m) }

// Configure posts a new configuration; applied is called once the shard uses
// it. Configure reports false when the ring is full.
func (d *Daemon) Configure(config *model.Config, applied func(model.ConfigVersion)) bool {
	return d.Offer(configured{config, applied})
}

// Drain hands the shard over to a successor. It returns when the callers have
// been redirected, or when ctx ends.
func (d *Daemon) Drain(ctx context.Context) {
	done := make(chan struct{})
	if d.shard.Put(ctx, drain{done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// post blocks while the shard duty's ring is full. Messages that arrive after
// the shard duty has ended are dropped.
func (d *Daemon) post(m Message) { _ = d.shard.Put(context.Background(), m) }

func (d *Daemon) name(duty string) string { return duty + "-" + d.id.String() }

func (d *Daemon) addLease(ports *Ports, instance model.InstanceID, address string, settings Settings, deps Dependencies) {
	lease := shard.NewLease(d.id, instance, address, settings.Lease, deps.Table, deps.Clock, leaseEvents{d.post})
	leaseRunner := duty.New(d.name("lease"), controlRing, &leaseDuty{lease: lease})
	ports.Resign = func() bool { return leaseRunner.Offer(resign{}) }
	d.others = append(d.others, leaseRunner)
}

func (d *Daemon) addJournal(ports *Ports, instance model.InstanceID, settings Settings, deps Dependencies) {
	snapshots := shardjournal.NewSnapshotter(d.name("snap"), d.id, settings.Journal.Timeout, deps.Table, deps.Objects)
	writer := shardjournal.NewWriter(d.id, instance, settings.Journal, deps.Table, deps.Objects, deps.Clock, journalEvents{d.post}, snapshots)
	journalDuty := duty.New(d.name("journal"), journalRing, writer)
	ports.Journal = journalDuty.Offer
	d.others = append(d.others, journalDuty, snapshots.Duty())
}

func (d *Daemon) addSyncs(ports *Ports, settings Settings, deps Dependencies) {
	for range max(settings.SyncWorkers, 1) {
		worker := duty.New(d.name("sync"), maxWorkerSyncs, &syncWorker{
			endpoints: deps.Endpoints, clock: deps.Clock, timeout: settings.SyncTimeout, post: d.post,
		})
		ports.Sync = append(ports.Sync, worker.Offer)
		d.others = append(d.others, worker)
	}
}

func (d *Daemon) addParts(ports *Ports, deps Dependencies) {
	parts := duty.New[partsMessage](d.name("parts"), partsRing, &partsDuty{
		id: d.id, table: deps.Table, clock: deps.Clock, config: deps.Config,
		start: deps.Start, announce: deps.Announce, setPart: func(m partAssigned) bool { return d.Offer(m) },
	})
	ports.Parts = parts.Offer
	d.others = append(d.others, partsRunner{parts})
}

func (d *Daemon) addDelegate(ports *Ports, deps Dependencies) {
	delegates := duty.New(d.name("delegate"), delegateRing, &delegateDuty{
		peers: deps.Peers, holder: deps.Holder, post: d.post, redirects: map[model.ShardID]string{},
	})
	ports.Delegate = delegates.Offer
	d.others = append(d.others, delegates)
}

func (d *Daemon) addInstances(settings Settings, deps Dependencies) {
	poller := duty.New(d.name("instances"), controlRing, &instancesDuty{
		id: d.id, list: deps.Instances, clock: deps.Clock, period: settings.ListPeriod,
		timeout: settings.Lease.Timeout, config: deps.Config, post: d.post,
	})
	d.others = append(d.others, poller)
}
