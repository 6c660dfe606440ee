// Command hornbeam-standin simulates the platform's services and the endpoints,
// and audits the records of a run. It is for tests and the demo.
//
// Exit codes: 0 after a graceful stop or an audit without violations, 1 after
// a failure, 2 for wrong arguments or settings, 4 for an audit that found
// violations.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v2"
)

// The exit codes.
const (
	exitFailure    = 1
	exitSettings   = 2
	exitViolations = 4
)

// version is set at link time.
var version = "development"

const description = `Serves a table, an object store, a lagging instance list and the endpoints of a
deployment over HTTP, and records the events that they observe. Faults are
switched on and off by POST to /admin/table, /admin/objects and /admin/endpoints.

Examples:
   hornbeam-standin serve --settings standin.ini
   hornbeam-standin serve --settings standin.ini --check-settings
   hornbeam-standin audit --records http://127.0.0.1:7100/records --answers answers.jsonl

Exit codes: 0 graceful stop or no violations; 1 failure; 2 wrong arguments or
settings; 4 the audit found violations.`

func main() {
	app := &cli.App{
		Name:        "hornbeam-standin",
		Usage:       "simulated platform and endpoints, and the audit of a run",
		Description: description,
		Version:     version,
		Commands:    append([]*cli.Command{serveCommand(), auditCommand()}, measureCommands()...),
		ExitErrHandler: func(*cli.Context, error) {
			// main reports the error itself.
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeam-standin:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitFailure
}
