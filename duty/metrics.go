package duty

import (
	"expvar"
	"sync"

	"github.com/hornbeamworks/hornbeam/ring"
)

// rings is the expvar map "rings": the counters of each duty's ring by duty name.
var rings = expvar.NewMap("rings")

// publishing serializes changes of the map. Tests and embedding programs may create
// two duties of one name in a process; the entry then shows the later one.
var publishing sync.Mutex

func publish(name string, stats func() ring.Stats) {
	publishing.Lock()
	defer publishing.Unlock()
	rings.Set(name, expvar.Func(func() any { return stats() }))
}
