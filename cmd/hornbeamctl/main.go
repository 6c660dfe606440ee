// Command hornbeamctl is the command-line client for callers and operators.
//
// Exit codes: 0 success; 1 failure; 2 wrong arguments; 3 refused, the work did not
// run; 4 the work ran and did not succeed; 5 it is unknown whether the work
// ran; 6 accepted and not answered yet.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/urfave/cli/v2"
)

// The exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitFailed  = 4
	exitUnknown = 5
	exitPending = 6
)

// version is set at link time.
var version = "development"

const description = `Submits requests, waits for answers, shows the state of the fleet and changes its
configuration. The key is read from the file given by --key-file or from the
environment variable HORNBEAM_KEY; it is never an argument.

Examples:
   hornbeamctl submit --class allergen_screen --cpu 2000 --memory 1024 --wait 30s
   hornbeamctl wait 0-2f9a-fd1 --timeout 1m
   hornbeamctl --output json status
   hornbeamctl chart task | dot -Tsvg > task.svg

Exit codes: 0 success; 1 failure; 2 wrong arguments; 3 refused, the work did not
run; 4 the work ran and did not succeed; 5 it is unknown whether the work ran;
6 accepted and not answered yet.`

func main() {
	if err := newApp(os.Stdout).Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeamctl:", err)
		os.Exit(exitCode(err))
	}
}

// newApp returns the application, which writes its output to out.
func newApp(out io.Writer) *cli.App {
	return &cli.App{
		Name:           "hornbeamctl",
		Usage:          "the command-line client for callers and operators",
		Description:    description,
		Version:        version,
		Flags:          globalFlags(),
		Commands:       slices.Concat(callerCommands(), inspectCommands(), storyCommands(), chartCommands(), layoutCommands(), operatorCommands()),
		Writer:         out,
		ExitErrHandler: func(*cli.Context, error) {},
	}
}

// exitCode returns the exit code of the error. Errors without a code come from
// the command-line library's check of the arguments.
func exitCode(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitUsage
}
