package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/platform/httpplatform"
	"github.com/hornbeamworks/hornbeam/process"
	"github.com/hornbeamworks/hornbeam/routing"
)

// program is the process's parts.
type program struct {
	settings  *programSettings
	process   *process.Process
	log       *logging.Logger
	keeper    *config.Keeper
	router    *routing.Router
	admission *gate.Admission
	front     *gate.Gate
	// members is nil when the gate does not listen for peers.
	members *membership.Membership
}

// serve puts the process together and runs it to its end.
func serve(s *programSettings, log *logging.Logger) error {
	peers := peerrpc.NewClient()
	defer peers.Close()
	p := newProgram(s, log, peers)
	p.follow()
	if err := p.listen(); err != nil {
		return err
	}
	p.start()
	return p.process.Run()
}

func newProgram(s *programSettings, log *logging.Logger, peers *peerrpc.Client) *program {
	system := clock.System{}
	table := httpplatform.NewTable(s.Platform.Table, &http.Client{})
	p := &program{
		settings: s,
		process:  process.New(log, system, s.Gate.DrainTimeout),
		log:      log,
		keeper:   config.NewKeeper(config.NewView(), table, system),
	}
	var known routing.Directory = s.addresses()
	if s.Peers.Listen != "" {
		p.members = membership.New(membership.Options{
			Self: membership.Member{
				Instance: model.InstanceID(uuid.NewString()), Role: membership.Gate,
				Domain: model.DomainName(s.Peers.Domain), Address: s.Peers.Listen,
			},
			Seeds: s.seeds(), Keeper: p.keeper, Clock: system, Caller: peers,
		})
		known = directory{members: p.members.Directory(), settings: s.addresses()}
	}
	p.router = routing.NewRouter(routing.DefaultSettings(), system, known)
	p.admission = gate.NewAdmission(s.bounds(), system, p.keeper.View())
	p.front = gate.New(s.bounds(), system, p.admission, routing.NewCaller(p.router, peers, system), log)
	return p
}

// follow hands each version of the configuration to admission. The process is
// ready once the first one is in force.
func (p *program) follow() {
	subscription := p.keeper.View().Subscribe(p.admission.SetConfig)
	p.admission.OnApplied(func(version model.ConfigVersion) {
		subscription.Applied(version)
		p.process.Configured()
		p.log.Info("config_in_force", slog.Uint64("version", uint64(version)))
	})
}

// listen starts the servers for callers, for peers and for the process's pages.
func (p *program) listen() error {
	s := p.settings
	admin, err := net.Listen("tcp", s.Gate.Admin)
	if err != nil {
		return eris.Wrap(err, "listening for the process's pages")
	}
	p.process.Group().Serve(serveUntilDone(admin, p.process.AdminServer()))
	callers, err := net.Listen("tcp", s.Gate.Listen)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	server := httpapi.Server(p.front, s.limits())
	p.process.OnDrain(func(ctx context.Context) { httpapi.Drain(ctx, p.front, server, s.Gate.DrainLinger) })
	p.process.Group().Serve(serveUntilDone(httpapi.Listen(callers, s.limits()), server))
	if p.members == nil {
		return nil
	}
	return p.listenForPeers()
}

func (p *program) listenForPeers() error {
	listener, err := net.Listen("tcp", p.settings.Peers.Listen)
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	server := peerrpc.NewServer()
	if err := server.Register(membership.ServiceName, p.members.Service()); err != nil {
		return err
	}
	group := p.process.Group()
	group.Serve(func(ctx context.Context) error { return server.Serve(ctx, listener, group.Serve) })
	return nil
}

func (p *program) start() {
	p.process.Start(p.router, p.admission)
	p.process.Start(p.keeper.Duties()...)
	if p.members != nil {
		p.process.Start(p.members.Duties()...)
		p.process.OnDrain(func(context.Context) { p.members.Leave() })
	}
	p.log.Info("gate_started", slog.String("address", p.settings.Gate.Listen))
}

// serveUntilDone serves until the server is shut down or the process stops.
// The process's pages stay up while it drains, so that /readyz says so.
func serveUntilDone(listener net.Listener, server *http.Server) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serving HTTP")
	}
}
