package main

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/gate"
	"github.com/hornbeamworks/hornbeam/gate/httpapi"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/platform/httpplatform"
	"github.com/hornbeamworks/hornbeam/process"
	"github.com/hornbeamworks/hornbeam/routing"
)

// serve puts the process together and runs it to its end.
func serve(s *programSettings, log *logging.Logger) error {
	system := clock.System{}
	p := process.New(log, system, s.Gate.DrainTimeout)
	peers := peerrpc.NewClient()
	defer peers.Close()
	router := routing.NewRouter(routing.DefaultSettings(), system, s.addresses())
	keeper := config.NewKeeper(config.NewView(), httpplatform.NewTable(s.Platform.Table, http.DefaultClient), system)
	admission := gate.NewAdmission(s.bounds(), system, keeper.View())
	follow(keeper.View(), admission, p)
	front := gate.New(s.bounds(), system, admission, routing.NewCaller(router, peers, system))
	if err := listen(s, p, front); err != nil {
		return err
	}
	p.Start(router, admission)
	p.Start(keeper.Duties()...)
	return p.Run()
}

// follow hands each version of the configuration to admission. The process is
// ready once the first one is in force.
func follow(view *config.View, admission *gate.Admission, p *process.Process) {
	subscription := view.Subscribe(admission.SetConfig)
	admission.OnApplied(func(version model.ConfigVersion) {
		subscription.Applied(version)
		p.Configured()
	})
}

// listen starts both servers.
func listen(s *programSettings, p *process.Process, front *gate.Gate) error {
	admin, err := net.Listen("tcp", s.Gate.Admin)
	if err != nil {
		return eris.Wrap(err, "listening for the process's pages")
	}
	p.Group().Serve(serveUntilDone(admin, p.AdminServer()))
	callers, err := net.Listen("tcp", s.Gate.Listen)
	if err != nil {
		return eris.Wrap(err, "listening for callers")
	}
	limits := s.limits()
	server := httpapi.Server(front, limits)
	p.OnDrain(func(ctx context.Context) { httpapi.Drain(ctx, front, server, s.Gate.DrainLinger) })
	p.Group().Serve(serveUntilDone(httpapi.Listen(callers, limits), server))
	return nil
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
