package duty

import (
	"expvar"
	"sync"

	"github.com/hornbeamworks/hornbeam/ring"
)

// rings is the expvar map "rings": the counters of each duty's ring by name.
var rings = expvar.NewMap("rings")

// publishing keeps two duties of one name from racing for the entry: tests and
// embedders may run a duty twice in a process, and the later one is shown.
var publishing sync.Mutex

func publish(name string, stats func() ring.Stats) {
	publishing.Lock()
	defer publishing.Unlock()
	rings.Set(name, expvar.Func(func() any { return stats() }))
}
