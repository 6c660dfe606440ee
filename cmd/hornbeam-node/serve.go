package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/advice"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/front"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/platform"
	"github.com/hornbeamworks/hornbeam/process"
	"github.com/hornbeamworks/hornbeam/relay"
	"github.com/hornbeamworks/hornbeam/view"
)

const (
	// headerTimeout and idleTimeout bound callers' connections until the
	// configuration is known; they are the platform's usual limits.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// headerBytes bounds callers' headers.
	headerBytes = 16 << 10
	// largerTimes is how many times as large an instance is that an instance lets
	// hold the cell in its place.
	largerTimes = 2
	// memoryShare is the part of the instance's memory that the collector
	// keeps the heap below.
	memoryShare = 0.5
)

// node is the process as it is put together.
type node struct {
	settings    *nodeSettings
	log         *logging.Logger
	process     *process.Process
	ctx         context.Context
	incarnation string
	table       *platform.Table
	relayed     *relay.Table
	endpoints   *platform.Endpoints
	agent       *dispatch.Agent
	directory   *instances.Directory
	holder      *holder.Holder
	election    *election.Election
	view        *view.View
	front       *front.Front
	asker       *advice.Asker
	peers       *peerrpc.Server
}

// serve puts the process together and runs it to its end.
func serve(s *nodeSettings, log *logging.Logger) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Runtime.Memory<<20)))
	callers := peerrpc.NewClient()
	defer callers.Close()
	n := newNode(s, log, callers)
	if err := n.listen(); err != nil {
		return err
	}
	n.start()
	log.Info("process_started", slog.String("node", s.Node.Name), slog.String("domain", s.Node.Domain),
		slog.String("incarnation", n.incarnation))
	err := n.process.Run()
	log.Info("process_stopped", slog.String("node", s.Node.Name), slog.Any("error", err))
	return err
}

func newNode(s *nodeSettings, log *logging.Logger, callers *peerrpc.Client) *node {
	n := &node{
		settings:    s,
		log:         log,
		process:     process.New(log, clock.System{}, s.Drain.Timeout),
		incarnation: uuid.NewString(),
		table:       platform.NewTable(s.Table.Address, s.Table.Across),
		endpoints:   platform.NewEndpoints(),
		peers:       peerrpc.NewServer(),
	}
	n.ctx = n.process.Group().Context()
	n.directory = instances.New(n.ctx, instances.Options{
		Self: s.Node.Name,
		Row: instances.Row{
			Instance:    instances.Instance{Address: s.Listen.Peers, Domain: model.DomainName(s.Node.Domain), CPUShare: s.Runtime.CPUShare},
			Incarnation: n.incarnation,
		},
		Table: n.table, Log: log, Sink: func(others []instances.Instance) { n.holder.SetInstances(others) },
	})
	n.relayed = relay.New(n.table, callers, n.directory.Addresses, clock.Boot{}, log)
	n.asker = advice.New(n.ctx, platform.NewAdvisor(s.Advice.Address), callers)
	n.agent = dispatch.NewAgent(n.ctx, n.endpoints, clock.Boot{}, log, n.process.Group().Start)
	n.addHolder(callers)
	n.view = view.New(platform.Source{}, n.holder, clock.Boot{}, log)
	n.front = front.New(n.ctx, front.Options{
		Parts: holder.Parts(s.Table.Parts), View: n.view, Table: n.relayed,
		Clock: clock.Boot{}, Wall: clock.System{}, Log: log,
	})
	return n
}

func (n *node) addHolder(callers *peerrpc.Client) {
	s := n.settings
	n.holder = holder.New(n.ctx, holder.Settings{
		Node: s.Node.Name, Parts: holder.Parts(s.Table.Parts), MaxLease: s.Cell.MaxLease,
		StopTime: s.Cell.StopTime, DirectEndpoints: s.Cell.DirectEndpoints,
	}, holder.Outside{
		Table: n.relayed, Registry: platform.Source{}, Command: n.endpoints, Advice: n.asker,
		Instances: n.directory.Others, Peers: callers,
		Clock: clock.Boot{}, Wall: clock.System{}, Log: n.log, Start: n.process.Group().Start,
	})
	n.election = election.New(n.ctx, election.Options{
		Node: s.Node.Name, Incarnation: n.incarnation, CPUShare: s.Runtime.CPUShare,
		Larger: func() bool { return n.directory.Largest() >= largerTimes*s.Runtime.CPUShare },
		Detour: n.relayed.Detour,
		Table:  n.relayed, Clock: clock.Boot{}, Log: n.log, Listener: n.holder,
	})
}

// listen opens the addresses that the instance serves.
func (n *node) listen() error {
	if err := n.asker.Register(n.peers); err != nil {
		return err
	}
	if err := relay.Serve(n.peers, n.table); err != nil {
		return err
	}
	if err := n.agent.Register(n.peers); err != nil {
		return err
	}
	peers, err := net.Listen("tcp", n.settings.Listen.Peers)
	if err != nil {
		return eris.Wrap(err, "listening for peers")
	}
	group := n.process.Group()
	group.Serve(func(ctx context.Context) error { return n.peers.Serve(ctx, peers, group.Serve) })
	if err := n.serveReady(); err != nil {
		return err
	}
	if err := n.process.ServeAdmin(n.settings.Listen.Metrics); err != nil {
		return err
	}
	return n.serveFront()
}

// serveReady tells the platform whether to send new connections.
func (n *node) serveReady() error {
	listener, err := net.Listen("tcp", n.settings.Listen.Ready)
	if err != nil {
		return eris.Wrap(err, "listening for readiness checks")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.process.Ready() || !n.front.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	n.process.ServeUntilStopped(listener, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout})
	return nil
}

// serveFront serves callers. On drain it goes on for a while, closing each
// connection after its answer, and then waits for the calls under way.
func (n *node) serveFront() error {
	listener, err := net.Listen("tcp", n.settings.Listen.Front)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	server := &http.Server{
		Handler:           platform.NewCalls(n.front),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}
	n.process.OnDrain(func(ctx context.Context) {
		server.SetKeepAlivesEnabled(false)
		pause(ctx, n.settings.Drain.Linger)
		if err := server.Shutdown(ctx); err != nil {
			n.log.Warn("calls_cut_off", slog.Any("error", err))
		}
	})
	n.process.OnDrain(n.election.Resign)
	n.process.ServeUntilStopped(listener, server)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// start runs the duties; the first started end last.
func (n *node) start() {
	operators := platform.Source{}.OperatorTable()
	follow := feed.New(n.ctx, feed.Options{
		ID: "operator_feed", Table: operators, Prefixes: []string{operators + "//"},
		Source: n.relayed, Clock: clock.Boot{}, Log: n.log, Sink: n.view.Update,
	})
	n.process.Start(n.front.Duties()...)
	n.process.Start(n.asker, n.agent, n.holder, follow, n.election, n.directory)
	n.process.OnReload(n.reload)
	n.process.Configured()
}

// reload takes over the settings that can change while the process runs: the
// log level. It keeps the old ones if the file is wrong.
func (n *node) reload() {
	fresh, err := loadSettings(n.settings.file)
	if err == nil {
		err = n.log.SetLevel(fresh.Log.Level)
	}
	if err != nil {
		n.log.Error("settings_not_reloaded", slog.Any("error", err))
		return
	}
	n.log.Info("settings_reloaded", slog.String("level", fresh.Log.Level))
}
