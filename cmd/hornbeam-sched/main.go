// Command hornbeam-sched is the scheduler of an entry instance.
//
// Exit codes: 0 after a graceful stop, 1 after a failure, 2 for wrong
// arguments or settings, 3 when the shard could not be handed over within the
// drain timeout.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v2"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/process"
)

// The exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
	exitOverdue  = 3
)

// version is set at link time.
var version = "development"

const description = `Decides who runs next and where for the shards of its failure domain, keeps
their journal in the platform's table and commands their endpoints. SIGTERM
turns /readyz to 503 and hands the shards to another scheduler.

Examples:
   hornbeam-sched --settings sched.ini
   hornbeam-sched --settings sched.ini --check-settings

Exit codes: 0 graceful stop; 1 failure; 2 wrong arguments or settings; 3 the
shards could not be handed over within the drain timeout.`

func main() {
	app := &cli.App{
		Name:        "hornbeam-sched",
		Usage:       "the scheduler of an entry instance",
		Description: description,
		Version:     version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and stop"},
		},
		Action: run,
		ExitErrHandler: func(*cli.Context, error) {
			// main reports the error itself.
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeam-sched:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var coded cli.ExitCoder
	switch {
	case errors.As(err, &coded):
		return coded.ExitCode()
	case errors.Is(err, process.ErrDrainTimeout):
		return exitOverdue
	default:
		return exitFailure
	}
}

func run(c *cli.Context) error {
	s, err := loadSettings(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if c.Bool("check-settings") {
		fmt.Println("settings are sound")
		return nil
	}
	log, err := logging.New(os.Stderr, "sched", s.Log, clock.System{})
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	return serve(s, log)
}
