// Command hornbeam-node is the process of an entry instance on the users'
// platform: it accepts callers' jobs and, when elected, runs the cell.
//
// Exit codes: 0 after a graceful stop, 1 after a failure, 2 for wrong arguments
// or settings, 3 when calls in flight did not end within the drain timeout.
package main

import (
	"github.com/hornbeamworks/hornbeam/cmd/internal/daemon"
	"github.com/hornbeamworks/hornbeam/logging"
)

const description = `Accepts jobs from callers, stores them in the platform's table and reports their
states. One of the instances is elected to run the cell: it decides which task
runs where and sends commands to the endpoints. On SIGTERM the readiness page
returns 503, the cell is handed over, and the process exits once the calls in
flight are answered.

Examples:
   hornbeam-node --settings node.ini
   hornbeam-node --settings node.ini --check-settings

Exit codes: 0 graceful stop; 1 failure; 2 wrong arguments or settings; 3 calls
in flight did not end within the drain timeout.`

func main() {
	daemon.Program[*nodeSettings]{
		Name:        "hornbeam-node",
		LogName:     "node",
		Usage:       "an entry instance on the users' platform",
		Description: description,
		SettingsEnv: settingsEnv,
		Load:        loadSettings,
		Log:         func(s *nodeSettings) logging.Settings { return s.Log },
		Serve:       serve,
	}.Main()
}
