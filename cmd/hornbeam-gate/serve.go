package main

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/certificate"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/httpserve/limit"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/operate"
	operateapi "github.com/hornbeamworks/hornbeam/operate/httpapi"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/process"
	"github.com/hornbeamworks/hornbeam/routing"
	"github.com/hornbeamworks/hornbeam/storage"
	"github.com/hornbeamworks/hornbeam/storage/httpstorage"
)

// program contains the components of the process.
type program struct {
	settings    *programSettings
	process     *process.Process
	log         *logging.Logger
	table       storage.Table
	peers       *peerrpc.Client
	configStore *config.Store
	writer      *config.Writer
	router      *routing.Router
	admission   *gate.Admission
	front       *gate.Gate
	limiter     *httpserve.Limiter
	operatorAPI *operate.Service
	// members is nil when the gate does not listen for peers.
	members *membership.Membership
	// certificates is nil when callers are served without TLS.
	certificates *certificate.Reloader
}

// serve builds the process and runs it until it stops.
func serve(s *programSettings, log *logging.Logger) error {
	peers := peerrpc.NewClient()
	defer peers.Close()
	p := newProgram(s, log, peers)
	if err := p.readCertificate(); err != nil {
		return err
	}
	p.subscribeConfig()
	if err := p.listen(); err != nil {
		return err
	}
	p.start()
	return p.process.Run()
}

func newProgram(s *programSettings, log *logging.Logger, peers *peerrpc.Client) *program {
	system := clock.System{}
	p := &program{
		settings: s,
		process:  process.New(log, system, s.Gate.DrainTimeout),
		log:      log,
		table:    httpstorage.NewTable(s.Platform.Table, &http.Client{}),
		peers:    peers,
	}
	p.limiter = httpserve.NewLimiter(s.requests(), s.Runtime.Memory, log)
	p.process.Limit(p.limiter)
	p.configStore = config.NewStore(config.NewView(), p.table, system)
	p.router = routing.NewRouter(routing.DefaultSettings(), system, p.directory())
	p.admission = gate.NewAdmission(s.bounds(), system, p.configStore.View())
	p.front = gate.New(s.bounds(), system, p.admission, routing.NewCaller(p.router, peers, system), log)
	p.writer = config.NewWriter(config.WriterOptions{
		Table: p.table, Clock: system, Store: p.configStore, Usage: operate.LedgerUsage(p.table), Log: log,
	})
	p.operatorAPI = operate.New(operate.Options{
		View: p.configStore.View(), Writer: p.writer, Table: p.table, Members: p.memberList, Clock: system,
	})
	return p
}

// directory returns the directory of the schedulers that may hold a shard. It
// creates the membership when the settings have an address for peers.
func (p *program) directory() routing.Directory {
	s := p.settings
	if s.Peers.Listen == "" {
		return s.addresses()
	}
	p.members = membership.New(membership.Options{
		Self: membership.Member{
			Instance: model.InstanceID(uuid.NewString()), Role: membership.Gate,
			Domain: model.DomainName(s.Peers.Domain), Address: s.Peers.Listen,
		},
		Seeds: s.seeds(), Store: p.configStore, Clock: clock.System{}, Caller: p.peers, Log: p.log,
	})
	return directory{members: p.members.Directory(), settings: s.addresses()}
}

// memberList returns the members of the cluster; it is empty without
// membership.
func (p *program) memberList() []membership.Status {
	if p.members == nil {
		return nil
	}
	return p.members.Directory().Members()
}

func (p *program) readCertificate() error {
	if !p.settings.TLS.Enabled() {
		return nil
	}
	reloader, err := certificate.NewReloader(p.settings.TLS, p.log)
	p.certificates = reloader
	return err
}

// subscribeConfig applies each version of the configuration to admission. The
// process is ready once the first one is in force.
func (p *program) subscribeConfig() {
	subscription := p.configStore.View().Subscribe(p.admission.SetConfig)
	p.admission.OnApplied(func(version model.ConfigVersion) {
		subscription.SetApplied(version)
		p.process.Configured()
		p.log.Info("config_in_force", slog.Uint64("version", uint64(version)))
	})
}

// listen starts the servers for callers and operators, for peers and for the
// admin pages.
func (p *program) listen() error {
	s := p.settings
	if err := p.process.ServeAdmin(p.settings.Gate.Admin); err != nil {
		return err
	}
	if err := p.listenForCallers(limit.Callers, s.Gate.Listen); err != nil {
		return err
	}
	if s.Gate.Operators != "" {
		if err := p.listenForCallers(limit.Operators, s.Gate.Operators); err != nil {
			return err
		}
	}
	if p.members == nil {
		return nil
	}
	return p.listenForPeers()
}

// listenForCallers serves callers and operators at the address, within the limits for
// clients of the kind.
func (p *program) listenForCallers(kind limit.Kind, address string) error {
	limits := p.settings.limits()
	callers, err := p.limiter.Listen(kind, address)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	server := httpserve.New(p.callersServer(limits), p.log)
	callers = server.Listen(callers, func(l net.Listener) net.Listener {
		l = httpapi.Listen(l, limits)
		if p.certificates != nil {
			l = tls.NewListener(l, p.certificates.Config())
		}
		return l
	})
	p.process.OnDrain(func(ctx context.Context) {
		server.Drain(ctx, func(ctx context.Context) { httpapi.Drain(ctx, p.front, p.settings.Gate.DrainLinger) })
	})
	p.process.ServeUntilStopped(callers, server)
	return nil
}

// callersServer returns the server of callers' and operators' requests.
func (p *program) callersServer(limits httpapi.Limits) *http.Server {
	server := httpapi.Server(p.front, limits)
	mux := http.NewServeMux()
	mux.Handle("/", server.Handler)
	mux.Handle(operateapi.Root, operateapi.Handler(p.operatorAPI))
	server.Handler = p.limiter.Handler(mux)
	return server
}

func (p *program) listenForPeers() error {
	listener, err := p.limiter.Listen(limit.Peers, p.settings.Peers.Listen)
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	server := peerrpc.NewServer()
	server.Limit(p.limiter)
	if err := server.Register(membership.ServiceName, p.members.Service()); err != nil {
		return err
	}
	group := p.process.Group()
	group.Serve(func(ctx context.Context) error { return server.Serve(ctx, listener, group.Serve) })
	return nil
}

func (p *program) start() {
	p.process.Start(p.router, p.admission)
	p.process.Start(p.configStore.Duties()...)
	p.process.Start(p.writer.Duties()...)
	p.process.Start(p.operatorAPI.Duties()...)
	if p.certificates != nil {
		p.process.Start(p.certificates)
	}
	if p.members != nil {
		p.process.Start(p.members.Duties()...)
		p.process.OnDrain(func(context.Context) { p.members.Leave() })
	}
	p.log.Info("gate_started", slog.String("address", p.settings.Gate.Listen))
}
