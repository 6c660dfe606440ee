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
	// shardRing is the capacity of the shard duty's ring. Callers are refused
	// as busy when it is full; the other duties are pushed back.
	shardRing = 4096
	// journalRing is the capacity of the journal duty's ring. A full ring
	// refuses: the shard duty keeps the entries and tries again.
	journalRing = 4096
	// controlRing is the capacity of the rings that carry one kind of rare
	// command. A full ring refuses, since the command is queued already.
	controlRing = 4
)

// Outside is all that a scheduler reaches.
type Outside struct {
	// Table is the platform's table.
	Table storage.Table
	// Objects is the platform's object store.
	Objects storage.ObjectStore
	// Instances is the platform's instance list.
	Instances storage.InstanceList
	// Endpoints reaches the endpoints.
	Endpoints endpoint.Endpoint
	// Clock is the process's clock.
	Clock clock.Clock
	// Log takes the events.
	Log *logging.Logger
	// Config returns the configuration in force, nil before there is one.
	Config func() *model.Config
	// Start runs the duties of one epoch: a Group's Start.
	Start func(...duty.Runner)
	// Announce hears what the shard has come to, every second while it is
	// served.
	Announce func(Holding) bool
	// Peers calls other schedulers.
	Peers Peers
	// Holder returns the address of a shard's holder, when it is known.
	Holder func(model.ShardID) (address string, ok bool)
	// NewScheduler makes the decisions of one epoch.
	NewScheduler func() policy.Scheduler
}

// Daemon is the set of duties of one shard in one process.
type Daemon struct {
	id     model.ShardID
	shard  *duty.Duty[Message]
	others []duty.Runner
}

// NewDaemon puts the duties together. instance and address name this process
// to others.
func NewDaemon(id model.ShardID, instance model.InstanceID, address string, settings Settings, out Outside) *Daemon {
	d := &Daemon{id: id}
	ports := Ports{}
	d.addLease(&ports, instance, address, settings, out)
	d.addJournal(&ports, instance, settings, out)
	d.addSyncs(&ports, settings, out)
	d.addInstances(settings, out)
	d.addParts(&ports, out)
	d.addDelegate(&ports, out)
	handler := NewShard(id, instance, settings, out.Clock, out.Log, out.NewScheduler, ports)
	d.shard = duty.New(d.name("shard"), shardRing, handler)
	return d
}

// Duties returns the duties to be started; the shard duty is the first, so
// that it is the last to be stopped.
func (d *Daemon) Duties() []duty.Runner { return append([]duty.Runner{d.shard}, d.others...) }

// Offer hands a message to the shard duty or reports false when its ring is
// full.
func (d *Daemon) Offer(m Message) bool { return d.shard.Offer(m) }

// Configure hands over a configuration in force; applied is called once the
// shard acts by it. False means that the ring is full.
func (d *Daemon) Configure(config *model.Config, applied func(model.ConfigVersion)) bool {
	return d.Offer(configured{config, applied})
}

// Drain hands the shard back and returns when callers have been sent to the
// successor, or when ctx ends.
func (d *Daemon) Drain(ctx context.Context) {
	gone := make(chan struct{})
	if d.shard.Put(ctx, drain{gone}) != nil {
		return
	}
	select {
	case <-gone:
	case <-ctx.Done():
	}
}

// post pushes its caller back while the shard duty's ring is full. After the
// end of the shard duty messages are dropped.
func (d *Daemon) post(m Message) { _ = d.shard.Put(context.Background(), m) }

func (d *Daemon) name(duty string) string { return duty + "-" + d.id.String() }

func (d *Daemon) addLease(ports *Ports, instance model.InstanceID, address string, settings Settings, out Outside) {
	lease := shard.NewLease(d.id, instance, address, settings.Lease, out.Table, out.Clock, leaseEvents{d.post})
	leases := duty.New(d.name("lease"), controlRing, &leaseDuty{lease: lease})
	ports.Resign = func() bool { return leases.Offer(resign{}) }
	d.others = append(d.others, leases)
}

func (d *Daemon) addJournal(ports *Ports, instance model.InstanceID, settings Settings, out Outside) {
	snapshots := shardjournal.NewSnapshotter(d.name("snap"), d.id, settings.Journal.Timeout, out.Table, out.Objects)
	writer := shardjournal.NewWriter(d.id, instance, settings.Journal, out.Table, out.Objects, out.Clock, journalEvents{d.post}, snapshots)
	journalDuty := duty.New(d.name("journal"), journalRing, writer)
	ports.Journal = journalDuty.Offer
	d.others = append(d.others, journalDuty, snapshots.Duty())
}

func (d *Daemon) addSyncs(ports *Ports, settings Settings, out Outside) {
	for range max(settings.SyncWorkers, 1) {
		worker := duty.New(d.name("sync"), workerJobs, &syncWorker{
			endpoints: out.Endpoints, clock: out.Clock, timeout: settings.SyncTimeout, post: d.post,
		})
		ports.Sync = append(ports.Sync, worker.Offer)
		d.others = append(d.others, worker)
	}
}

func (d *Daemon) addParts(ports *Ports, out Outside) {
	parts := duty.New[partsMessage](d.name("parts"), partsRing, &partsDuty{
		id: d.id, table: out.Table, clock: out.Clock, config: out.Config,
		start: out.Start, announce: out.Announce, setPart: func(m parted) bool { return d.Offer(m) },
	})
	ports.Parts = parts.Offer
	d.others = append(d.others, partsRunner{parts})
}

func (d *Daemon) addDelegate(ports *Ports, out Outside) {
	delegates := duty.New(d.name("delegate"), delegateRing, &delegateDuty{
		peers: out.Peers, holder: out.Holder, post: d.post, redirects: map[model.ShardID]string{},
	})
	ports.Delegate = delegates.Offer
	d.others = append(d.others, delegates)
}

func (d *Daemon) addInstances(settings Settings, out Outside) {
	polls := duty.New(d.name("instances"), controlRing, &instancesDuty{
		id: d.id, list: out.Instances, clock: out.Clock, period: settings.ListPeriod,
		timeout: settings.Lease.Timeout, config: out.Config, post: d.post,
	})
	d.others = append(d.others, polls)
}
