// Command hornbeam-gate is the HTTP front end for callers of an entry instance.
//
// Exit codes: 0 after a graceful stop, 1 after a failure, 2 for wrong
// arguments or settings, 3 when requests were still in flight at the end of
// the drain timeout.
package main

import (
	"github.com/hornbeamworks/hornbeam/cmd/internal/daemon"
	"github.com/hornbeamworks/hornbeam/logging"
)

const description = `Serves callers over HTTP: authenticates keys, validates requests, finds the home
shard of each request and forwards it to the scheduler that holds the shard. On
SIGTERM, /readyz returns 503, new requests are refused and waiting callers are
still answered.

Examples:
   hornbeam-gate --settings gate.ini
   hornbeam-gate --settings gate.ini --check-settings

Exit codes: 0 graceful stop; 1 failure; 2 wrong arguments or settings;
3 requests were still in flight at the end of the drain timeout.`

func main() {
	daemon.Program[*programSettings]{
		Name:        "hornbeam-gate",
		LogName:     "gate",
		Usage:       "the HTTP front end for callers of an entry instance",
		Description: description,
		Load:        loadSettings,
		Log:         func(s *programSettings) logging.Settings { return s.Log },
		Serve:       serve,
	}.Main()
}
