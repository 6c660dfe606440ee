package main

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/endpoint/httpendpoint"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/httpserve/limit"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/process"
	"github.com/hornbeamworks/hornbeam/sched"
	"github.com/hornbeamworks/hornbeam/storage/httpstorage"
)

const (
	// idleConnsPerWorker is the number of idle connections per sync worker that
	// are kept to each endpoint host.
	idleConnsPerWorker = 4
	// stopGrace is added to the time for the hand-over before the drain times
	// out.
	stopGrace = 2 * time.Second
)

// program contains the components of the process.
type program struct {
	settings     *programSettings
	process      *process.Process
	log          *logging.Logger
	instance     model.InstanceID
	configStore  *config.Store
	dependencies sched.Dependencies
	members      *membership.Membership
	announcer    *sched.Announcer
	daemons      map[model.ShardID]*sched.Daemon
	limiter      *httpserve.Limiter
}

// serve builds the process and runs it until it stops.
func serve(s *programSettings, log *logging.Logger) error {
	peers := peerrpc.NewClient()
	defer peers.Close()
	p := newProgram(s, log, peers)
	p.addDaemons()
	if err := p.listen(); err != nil {
		return err
	}
	p.start()
	return p.process.Run()
}

func newProgram(s *programSettings, log *logging.Logger, peers *peerrpc.Client) *program {
	system := clock.System{}
	bounds := s.scheduler()
	platformClient := &http.Client{}
	endpointClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnsPerWorker * bounds.SyncWorkers}}
	table := httpstorage.NewTable(s.Platform.Table, platformClient)
	configStore := config.NewStore(config.NewView(), table, system)
	p := &program{
		settings:    s,
		process:     process.New(log, system, bounds.DrainTimeout+bounds.RedirectWait+stopGrace),
		log:         log,
		instance:    model.InstanceID(uuid.NewString()),
		configStore: configStore,
		daemons:     map[model.ShardID]*sched.Daemon{},
	}
	p.limiter = httpserve.NewLimiter(s.Requests, s.Runtime.Memory, log)
	p.process.Limit(p.limiter)
	p.dependencies = sched.Dependencies{
		Table:        table,
		Objects:      httpstorage.NewObjectStore(s.Platform.Objects, platformClient),
		Instances:    httpstorage.NewInstanceList(s.Platform.Instances, platformClient),
		Endpoints:    httpendpoint.New(endpointClient),
		Clock:        system,
		Log:          log,
		Config:       configStore.View().Current,
		Start:        p.process.Group().Start,
		NewScheduler: func() policy.Scheduler { return cell.New(policy.Settings{}) },
	}
	p.members = membership.New(membership.Options{
		Self: membership.Member{
			Instance: p.instance, Role: membership.Scheduler,
			Domain: model.DomainName(s.Sched.Domain), Address: s.Sched.Listen,
		},
		Seeds:  s.Sched.Peers,
		Store:  configStore,
		Clock:  system,
		Caller: peers,
		Log:    log,
	})
	p.announcer = sched.NewAnnouncer(p.members.SetShards)
	p.dependencies.Announce = p.announcer.Announce
	p.dependencies.Peers = peers
	p.dependencies.Holder = p.holder
	return p
}

// addDaemons creates the duties of every shard of the failure domain and
// subscribes them to the configuration.
func (p *program) addDaemons() {
	s := p.settings
	for number := range s.Sched.Shards {
		id := model.ShardID{Domain: model.DomainName(s.Sched.Domain), Number: number}
		shard := sched.NewDaemon(id, p.instance, s.Sched.Listen, s.scheduler(), p.dependencies)
		p.daemons[id] = shard
		var subscription *config.Subscription
		subscription = p.configStore.View().Subscribe(func(c *model.Config) bool {
			return shard.Configure(c, func(version model.ConfigVersion) {
				subscription.SetApplied(version)
				p.process.Configured()
			})
		})
		p.process.OnDrain(shard.Drain)
	}
}

// listen starts the servers for peers and for the admin pages.
func (p *program) listen() error {
	if err := p.process.ServeAdmin(p.settings.Sched.Admin); err != nil {
		return err
	}
	listener, err := p.limiter.Listen(limit.Peers, p.settings.Sched.Listen)
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	server, err := p.services()
	if err != nil {
		return err
	}
	group := p.process.Group()
	group.Serve(func(ctx context.Context) error { return server.Serve(ctx, listener, group.Serve) })
	return nil
}

// services returns a server with the services that peers may call.
func (p *program) services() (*peerrpc.Server, error) {
	shards := map[model.ShardID]func(sched.Message) bool{}
	for id, d := range p.daemons {
		shards[id] = d.Offer
	}
	server := peerrpc.NewServer()
	server.Limit(p.limiter)
	service := sched.NewService(p.process.Group().Context(), p.dependencies.Clock, shards)
	if err := server.Register(peer.ServiceName, service); err != nil {
		return nil, err
	}
	return server, server.Register(membership.ServiceName, p.members.Service())
}

func (p *program) start() {
	for _, d := range p.daemons {
		p.process.Start(d.Duties()...)
	}
	p.process.Start(p.announcer.Duty())
	p.process.Start(p.members.Duties()...)
	p.process.Start(p.configStore.Duties()...)
	p.process.OnDrain(func(context.Context) { p.members.Leave() })
	p.log.Info("sched_started",
		slog.String("instance", string(p.instance)), slog.String("address", p.settings.Sched.Listen))
}

// holder returns the address of the shard's holder according to the membership.
func (p *program) holder(id model.ShardID) (address string, ok bool) {
	status, _, ok := p.members.Directory().Holder(id)
	return status.Member.Address, ok
}
