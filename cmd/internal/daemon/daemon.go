// Package daemon implements the command line that the daemons share: --settings,
// --check-settings, --help and --version, and the exit codes. It builds the
// logger and runs the daemon; the life cycle is in package process.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/process"
)

// The exit codes. A daemon that stops gracefully exits with 0.
const (
	exitFailure      = 1
	exitSettings     = 2
	exitDrainTimeout = 3
)

// version is set at link time.
var version = "development"

// Program describes a daemon with settings of type S.
type Program[S any] struct {
	// Name is the name of the binary, LogName the process name in the log.
	Name, LogName string
	// Usage is one line, Description the text of --help.
	Usage, Description string
	// SettingsEnv is an environment variable that may hold the path of the
	// settings file; empty for none.
	SettingsEnv string
	// Load reads and validates the settings file.
	Load func(file string) (S, error)
	// Log returns the settings of the log.
	Log func(S) logging.Settings
	// Serve runs the daemon until it stops.
	Serve func(S, *logging.Logger) error
}

// Main runs the program with os.Args. On an error it prints the error and exits
// with the exit code.
func (p Program[S]) Main() {
	app := &cli.App{
		Name:        p.Name,
		Usage:       p.Usage,
		Description: p.Description,
		Version:     version,
		Flags: []cli.Flag{
			p.settingsFlag(),
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and exit"},
		},
		Action: p.run,
		ExitErrHandler: func(*cli.Context, error) {
			// Main reports the error itself.
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, p.Name+":", err)
		os.Exit(exitCode(err))
	}
}

func (p Program[S]) settingsFlag() cli.Flag {
	flag := &cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true}
	if p.SettingsEnv != "" {
		flag.EnvVars = []string{p.SettingsEnv}
	}
	return flag
}

func (p Program[S]) run(c *cli.Context) error {
	settings, err := p.Load(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool("check-settings") {
		fmt.Println("settings are valid")
		return nil
	}
	writer := logging.NewAsyncWriter(os.Stdout)
	log, err := logging.New(writer, p.LogName, p.Log(settings), clock.System{})
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	logDuties := duty.NewGroup(context.Background())
	logDuties.Start(writer)
	serveErr := p.Serve(settings, log)
	writer.Stop()
	return errors.Join(serveErr, logDuties.Wait())
}

func exitCode(err error) int {
	var coded cli.ExitCoder
	switch {
	case errors.As(err, &coded):
		return coded.ExitCode()
	case errors.Is(err, process.ErrDrainTimeout):
		return exitDrainTimeout
	default:
		return exitFailure
	}
}
