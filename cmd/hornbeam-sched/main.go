// Command hornbeam-sched is the scheduler of an entry instance.
//
// Exit codes: 0 after a graceful stop, 1 after a failure, 2 for wrong
// arguments or settings, 3 when the shard could not be handed over within the
// drain timeout.
package main

import (
	"github.com/hornbeamworks/hornbeam/cmd/internal/daemon"
	"github.com/hornbeamworks/hornbeam/logging"
)

const description = `Schedules the requests of the shards of its failure domain, keeps their journal
in the platform's table and sends commands to their endpoints. On SIGTERM,
/readyz returns 503 and the shards are handed over to another scheduler.

Examples:
   hornbeam-sched --settings sched.ini
   hornbeam-sched --settings sched.ini --check-settings

Exit codes: 0 graceful stop; 1 failure; 2 wrong arguments or settings; 3 the
shards could not be handed over within the drain timeout.`

func main() {
	daemon.Program[*programSettings]{
		Name:        "hornbeam-sched",
		LogName:     "sched",
		Usage:       "the scheduler of an entry instance",
		Description: description,
		Load:        loadSettings,
		Log:         func(s *programSettings) logging.Settings { return s.Log },
		Serve:       serve,
	}.Main()
}
