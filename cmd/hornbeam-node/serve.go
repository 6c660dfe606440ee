package main

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/advice"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/front"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/httpserve/limit"
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
	// configuration has been read; they are the platform's usual limits.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// headerBytes bounds the size of a caller's request header.
	headerBytes = 16 << 10
	// yieldSizeRatio is the ratio of CPU shares from which an instance yields the
	// cell to a larger one.
	yieldSizeRatio = 2
)

// node contains the components of the process.
type node struct {
	settings     *nodeSettings
	log          *logging.Logger
	process      *process.Process
	ctx          context.Context
	incarnation  string
	table        *platform.Table
	relayed      *relay.Table
	endpoints    *platform.Endpoints
	agent        *dispatch.Agent
	directory    *instances.Directory
	holder       *holder.Holder
	election     *election.Election
	view         *view.View
	front        *front.Front
	adviceClient *advice.Client
	peers        *peerrpc.Server
	limiter      *httpserve.Limiter
}

// serve builds the process and runs it until it stops.
func serve(s *nodeSettings, log *logging.Logger) error {
	peerClient := peerrpc.NewClient()
	defer peerClient.Close()
	n := newNode(s, log, peerClient)
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

func newNode(s *nodeSettings, log *logging.Logger, peerClient *peerrpc.Client) *node {
	n := &node{
		settings:    s,
		log:         log,
		process:     process.New(log, clock.System{}, s.Drain.Timeout),
		incarnation: uuid.NewString(),
		table:       platform.NewTable(s.Table.Address, s.Table.Across),
		endpoints:   platform.NewEndpoints(),
		peers:       peerrpc.NewServer(),
	}
	n.limiter = httpserve.NewLimiter(s.Requests, s.Runtime.Memory, log)
	n.process.Limit(n.limiter)
	n.peers.Limit(n.limiter)
	n.ctx = n.process.Group().Context()
	n.directory = instances.New(n.ctx, instances.Options{
		Self: s.Node.Name,
		Row: instances.Row{
			Instance:    instances.Instance{Address: s.Listen.Peers, Domain: model.DomainName(s.Node.Domain), CPUShare: s.Runtime.CPUShare},
			Incarnation: n.incarnation,
		},
		Table: n.table, Log: log, Sink: func(others []instances.Instance) { n.holder.SetInstances(others) },
	})
	n.relayed = relay.New(n.table, peerClient, n.directory.Addresses, clock.Boot{}, log)
	n.adviceClient = advice.New(n.ctx, platform.NewAdvisor(s.Advice.Address), peerClient)
	n.agent = dispatch.NewAgent(n.ctx, n.endpoints, clock.Boot{}, log, n.process.Group().Start)
	n.addHolder(peerClient)
	n.view = view.New(platform.Source{}, n.holder, clock.Boot{}, log)
	n.front = front.New(n.ctx, front.Options{
		Parts: holder.Parts(s.Table.Parts), View: n.view, Table: n.relayed, TableClock: n.table,
		Clock: clock.Boot{}, Wall: clock.System{}, Log: log, StatusWait: s.Front.StatusWait,
	})
	return n
}

func (n *node) addHolder(peerClient *peerrpc.Client) {
	s := n.settings
	n.holder = holder.New(n.ctx, holder.Settings{
		Node: s.Node.Name, Parts: holder.Parts(s.Table.Parts), MaxLease: s.Cell.MaxLease,
		StopTime: s.Cell.StopTime, DirectEndpoints: s.Cell.DirectEndpoints, Policy: s.Scheduling.policy(),
	}, holder.Dependencies{
		Table: n.relayed, TableClock: n.table, Registry: platform.Source{}, Command: n.endpoints, Advice: n.adviceClient,
		Instances: n.directory.Others, Peers: peerClient,
		Clock: clock.Boot{}, Wall: clock.System{}, Log: n.log, Start: n.process.Group().Start,
	})
	n.election = election.New(n.ctx, election.Options{
		Node: s.Node.Name, Incarnation: n.incarnation, CPUShare: s.Runtime.CPUShare,
		Larger:     func() bool { return n.directory.LargestCPUShare() >= yieldSizeRatio*s.Runtime.CPUShare },
		RelayedFor: n.relayed.RelayedFor, ResumeWait: s.Cell.ResumeWait,
		Table: n.relayed, Clock: clock.Boot{}, Log: n.log, Listener: n.holder,
	})
}

// listen starts the servers for peers, readiness checks, metrics and callers.
func (n *node) listen() error {
	if err := n.adviceClient.Register(n.peers); err != nil {
		return err
	}
	if err := relay.Serve(n.peers, n.table); err != nil {
		return err
	}
	if err := n.agent.Register(n.peers); err != nil {
		return err
	}
	peers, err := n.limiter.Listen(limit.Peers, n.settings.Listen.Peers)
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

// serveReady serves the readiness page, by which the platform decides whether to
// send new connections.
func (n *node) serveReady() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.process.Ready() || !n.front.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return eris.Wrap(n.process.ServePages(n.settings.Listen.Ready, mux), "listening for readiness checks")
}

// serveFront serves callers. On drain it still serves for the linger time, closing
// each connection after its answer, and then waits for the calls in flight.
func (n *node) serveFront() error {
	listener, err := n.limiter.Listen(limit.Callers, n.settings.Listen.Front)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	server := httpserve.New(&http.Server{
		Handler:           n.limiter.Handler(platform.NewCalls(n.front)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
	}, n.log)
	n.process.OnDrain(func(ctx context.Context) {
		server.Drain(ctx, func(ctx context.Context) { duty.Sleep(ctx, n.settings.Drain.Linger) })
	})
	n.process.OnDrain(n.election.Resign)
	n.process.ServeUntilStopped(server.Listen(listener, nil), server)
	return nil
}

// start runs the duties. They are stopped in the reverse order.
func (n *node) start() {
	operators := platform.Source{}.OperatorTable()
	operatorFeed := feed.New(n.ctx, feed.Options{
		ID: "operator_feed", Table: operators, Prefixes: []string{operators + "//"},
		Source: n.relayed, Clock: clock.Boot{}, Log: n.log, Sink: n.view.Update,
	})
	n.process.Start(n.front.Duties()...)
	n.process.Start(n.adviceClient, n.agent, n.holder, operatorFeed, n.election, n.directory)
	n.process.OnReload(n.reload)
	n.process.Configured()
}

// reload applies the settings that can change while the process runs: the log
// level. It keeps the old ones if the file is invalid.
func (n *node) reload() {
	loaded, err := loadSettings(n.settings.file)
	if err == nil {
		err = n.log.SetLevel(loaded.Log.Level)
	}
	if err != nil {
		n.log.Error("settings_not_reloaded", slog.Any("error", err))
		return
	}
	n.log.Info("settings_reloaded", slog.String("level", loaded.Log.Level))
}
