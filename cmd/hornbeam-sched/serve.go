package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/endpoint/httpendpoint"
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
	// endpointConnections is the number of idle connections kept to each
	// endpoint.
	endpointConnections = 4
	// stopGrace is allowed on top of the hand-over before the drain counts as
	// overdue.
	stopGrace = 2 * time.Second
)

// program is the process as it is put together.
type program struct {
	settings *programSettings
	process  *process.Process
	log      *logging.Logger
	instance model.InstanceID
	keeper   *config.Keeper
	outside  sched.Outside
	members  *membership.Membership
	announce *sched.Announcer
	daemons  map[model.ShardID]*sched.Daemon
}

// serve puts the process together and runs it to its end.
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
	endpointClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: endpointConnections * bounds.SyncWorkers}}
	table := httpstorage.NewTable(s.Platform.Table, platformClient)
	keeper := config.NewKeeper(config.NewView(), table, system)
	p := &program{
		settings: s,
		process:  process.New(log, system, bounds.DrainTimeout+bounds.RedirectWait+stopGrace),
		log:      log,
		instance: model.InstanceID(uuid.NewString()),
		keeper:   keeper,
		daemons:  map[model.ShardID]*sched.Daemon{},
	}
	p.outside = sched.Outside{
		Table:        table,
		Objects:      httpstorage.NewObjectStore(s.Platform.Objects, platformClient),
		Instances:    httpstorage.NewInstanceList(s.Platform.Instances, platformClient),
		Endpoints:    httpendpoint.New(endpointClient),
		Clock:        system,
		Log:          log,
		Config:       keeper.View().Current,
		Start:        p.process.Group().Start,
		NewScheduler: func() policy.Scheduler { return cell.New(policy.Settings{}) },
	}
	p.members = membership.New(membership.Options{
		Self: membership.Member{
			Instance: p.instance, Role: membership.Scheduler,
			Domain: model.DomainName(s.Sched.Domain), Address: s.Sched.Listen,
		},
		Seeds:  s.Sched.Peers,
		Keeper: keeper,
		Clock:  system,
		Caller: peers,
		Log:    log,
	})
	p.announce = sched.NewAnnouncer(p.members.SetShards)
	p.outside.Announce = p.announce.Announce
	p.outside.Peers = peers
	p.outside.Holder = p.holder
	return p
}

// addDaemons makes the duties of every shard of the failure domain and hands
// them each version of the configuration.
func (p *program) addDaemons() {
	s := p.settings
	for number := range s.Sched.Shards {
		id := model.ShardID{Domain: model.DomainName(s.Sched.Domain), Number: number}
		d := sched.NewDaemon(id, p.instance, s.Sched.Listen, s.scheduler(), p.outside)
		p.daemons[id] = d
		var subscription *config.Subscription
		subscription = p.keeper.View().Subscribe(func(c *model.Config) bool {
			return d.Configure(c, func(version model.ConfigVersion) {
				subscription.Applied(version)
				p.process.Configured()
			})
		})
		p.process.OnDrain(d.Drain)
	}
}

// listen serves peers and the process's own pages.
func (p *program) listen() error {
	if err := p.process.ServeAdmin(p.settings.Sched.Admin); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", p.settings.Sched.Listen)
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

// services registers what peers may call.
func (p *program) services() (*peerrpc.Server, error) {
	shards := map[model.ShardID]func(sched.Message) bool{}
	for id, d := range p.daemons {
		shards[id] = d.Offer
	}
	server := peerrpc.NewServer()
	service := sched.NewService(p.process.Group().Context(), p.outside.Clock, shards)
	if err := server.Register(peer.ServiceName, service); err != nil {
		return nil, err
	}
	return server, server.Register(membership.ServiceName, p.members.Service())
}

// start runs the duties.
func (p *program) start() {
	for _, d := range p.daemons {
		p.process.Start(d.Duties()...)
	}
	p.process.Start(p.announce.Duty())
	p.process.Start(p.members.Duties()...)
	p.process.Start(p.keeper.Duties()...)
	p.process.OnDrain(func(context.Context) { p.members.Leave() })
	p.log.Info("sched_started",
		slog.String("instance", string(p.instance)), slog.String("address", p.settings.Sched.Listen))
}

// holder returns the address of the shard's holder as the members have it.
func (p *program) holder(id model.ShardID) (address string, ok bool) {
	status, _, ok := p.members.Directory().Holder(id)
	return status.Member.Address, ok
}
