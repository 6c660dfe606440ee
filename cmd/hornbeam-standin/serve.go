package main

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/deployment"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/process"
	"github.com/hornbeamworks/hornbeam/standin"
)

const (
	// drainTimeout bounds the wait for calls in flight on a graceful stop.
	drainTimeout = 2 * time.Second
	// headerTimeout bounds the time in which a client sends its request header.
	headerTimeout = 5 * time.Second
	// configPrefix is the prefix of the table's rows that are recorded for the
	// audit.
	configPrefix = "config/"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "serve the stand-ins until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and exit"},
		},
		Action: runServe,
	}
}

func runServe(c *cli.Context) error {
	s, err := loadSettings(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	d, err := deployment.Load(s.Standin.Deployment)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool("check-settings") {
		fmt.Println("settings are valid")
		return nil
	}
	log, err := logging.New(os.Stderr, "standin", s.Log, clock.System{})
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	return serve(s, d, log)
}

func serve(s *Settings, d *deployment.Deployment, log *logging.Logger) error {
	listener, err := net.Listen("tcp", s.Standin.Listen)
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	server := newServer(s, d, address)
	p := process.New(log, clock.System{}, drainTimeout)
	p.Start(server.Table.Duty(), server.Objects.Duty(), server.Fleet.Duty())
	p.ServeHTTP(listener, &http.Server{Handler: server.Handler(), ReadHeaderTimeout: headerTimeout})
	log.Info("standin_serving", slog.String("address", address), slog.String("deployment", d.Fleet.Name))
	p.Configured()
	return p.Run()
}

func newServer(s *Settings, d *deployment.Deployment, address string) *standin.Server {
	endpoints := d.Endpoints(func(domain model.DomainName) string { return s.advertised(domain, address) })
	return &standin.Server{
		Table: standin.NewTable(standin.TableOptions{
			Latency:         s.Table.Latency,
			WritesPerSecond: s.Table.WritesPerSecond,
			ReadsPerSecond:  s.Table.ReadsPerSecond,
			RecordedPrefix:  configPrefix,
		}),
		Objects: standin.NewObjectStore(),
		Fleet: standin.NewFleet(standin.FleetOptions{
			Latency:  s.Endpoints.Latency,
			UsageLag: s.Endpoints.UsageLag,
			ListLag:  s.Endpoints.ListLag,
		}, endpoints),
	}
}
