// Command hornbeam-node is the process of an entry instance on the users'
// platform: it takes callers' jobs and, when elected, runs the cell.
//
// Exit codes: 0 after a graceful stop, 1 after a failure, 2 for wrong arguments
// or settings, 3 when calls under way did not end within the drain timeout.
package main

import (
	"github.com/hornbeamworks/hornbeam/cmd/internal/daemon"
	"github.com/hornbeamworks/hornbeam/logging"
)

const description = `Takes jobs from callers, stores them in the platform's table, and tells their
states. One of the instances is elected to run the cell: it decides which task
runs where and orders the endpoints. SIGTERM turns the ready page to 503, hands
the cell over, and ends once open calls are answered.

Examples:
   hornbeam-node --settings node.ini
   hornbeam-node --settings node.ini --check-settings

Exit codes: 0 graceful stop; 1 failure; 2 wrong arguments or settings; 3 calls
under way did not end within the drain timeout.`

func main() {
	daemon.Program[*nodeSettings]{
		Name:        "hornbeam-node",
		LogName:     "node",
		Usage:       "an entry instance on the users' platform",
		Description: description,
		SettingsEnv: settingsVariable,
		Load:        loadSettings,
		Log:         func(s *nodeSettings) logging.Settings { return s.Log },
		Serve:       serve,
	}.Main()
}
