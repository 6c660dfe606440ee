package soak_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

// run is one seed.
type run struct {
	site    *harness.Site
	proxies []*faultproxy.Proxy
	rng     *rand.Rand
	ends    time.Time

	// mu guards what the series of faults share: which nodes are stopped, and
	// the story.
	mu      sync.Mutex
	down    [nodes]bool
	happens []string
}

// fault does something for a time and undoes it.
type fault struct {
	name string
	do   func(r *run, rng *rand.Rand, last time.Duration)
}

var faults = []fault{
	{"node killed", func(r *run, rng *rand.Rand, last time.Duration) { r.stopNode(rng, last, syscall.SIGKILL) }},
	{"node stopped", func(r *run, rng *rand.Rand, last time.Duration) { r.stopNode(rng, last, syscall.SIGTERM) }},
	{"node paused", (*run).pauseNode},
	{"node reloaded", func(r *run, rng *rand.Rand, _ time.Duration) {
		r.withNode(rng, func(n *harness.Node) { n.Signal(syscall.SIGHUP) })
	}},
	{"table refuses", tableMood(platformtest.Refusing)},
	{"table silent", tableMood(platformtest.Silent)},
	{"table loses answers", tableMood(platformtest.Losing)},
	{"table forgets its history", func(r *run, _ *rand.Rand, _ time.Duration) { r.site.Table.Forget() }},
	{"link to the table cut", link(faultproxy.Cut())},
	{"link to the table cut one way", link(faultproxy.Faults{Down: faultproxy.Direction{Cut: true}})},
	{"link to the table slow", link(faultproxy.Delay(40*time.Millisecond, 60*time.Millisecond))},
	{"link to the table reset", link(faultproxy.Faults{Up: faultproxy.Direction{Reset: 0.2}})},
	{"link to the table loses replies", link(faultproxy.Faults{Down: faultproxy.Direction{Lose: 0.3}})},
	{"endpoint silent", endpointMood(platformtest.Silent)},
	{"endpoint refuses", endpointMood(platformtest.Refusing)},
	{"endpoint loses answers", endpointMood(platformtest.Losing)},
	{"endpoint late", func(r *run, rng *rand.Rand, last time.Duration) {
		e := r.site.Endpoints[rng.IntN(endpoints)]
		e.SetLate(time.Duration(200+rng.IntN(2000)) * time.Millisecond)
		time.Sleep(last)
		e.SetLate(0)
	}},
	{"endpoint crashes", func(r *run, rng *rand.Rand, _ time.Duration) {
		e := r.site.Endpoints[rng.IntN(endpoints)]
		e.Crash()
		e.Register("ready")
	}},
	{"endpoint leaves", func(r *run, rng *rand.Rand, last time.Duration) {
		e := r.site.Endpoints[rng.IntN(endpoints)]
		e.Register("draining")
		time.Sleep(last)
		e.Register("ready")
	}},
}

// disturb makes one fault after the other until the time is over.
func (r *run) disturb(rng *rand.Rand) {
	for time.Now().Before(r.ends) {
		f := faults[rng.IntN(len(faults))]
		last := time.Duration(200+rng.IntN(3000)) * time.Millisecond
		r.note(fmt.Sprintf("%s for %v", f.name, last))
		f.do(r, rng, last)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
}

// recover ends all faults.
func (r *run) recover() {
	r.site.Table.SetMood(platformtest.Serving)
	for _, p := range r.proxies {
		p.Set(faultproxy.Faults{})
	}
	for _, e := range r.site.Endpoints {
		e.SetMood(platformtest.Serving)
		e.SetLate(0)
	}
	r.note("faults are over")
}

func (r *run) note(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.happens = append(r.happens, time.Now().Format("05.000 ")+what)
}

// story tells what was done.
func (r *run) story() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.happens, "\n")
}

// take reserves a node that runs; -1 if at most one does.
func (r *run) take(rng *rand.Rand) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var up []int
	for i, down := range r.down {
		if !down {
			up = append(up, i)
		}
	}
	if len(up) < 2 {
		return -1
	}
	n := up[rng.IntN(len(up))]
	r.down[n] = true
	return n
}

func (r *run) release(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[n] = false
}

// withNode does something to a node that nobody else disturbs meanwhile.
func (r *run) withNode(rng *rand.Rand, do func(n *harness.Node)) {
	n := r.take(rng)
	if n < 0 {
		return
	}
	defer r.release(n)
	do(r.site.Nodes[n])
}

func (r *run) stopNode(rng *rand.Rand, last time.Duration, signal syscall.Signal) {
	r.withNode(rng, func(n *harness.Node) {
		defer GinkgoRecover()
		n.Signal(signal)
		// A planned stop may run into its timeout while the table is away.
		_ = n.Ended()
		time.Sleep(last)
		n.Start()
	})
}

func (r *run) pauseNode(rng *rand.Rand, last time.Duration) {
	r.withNode(rng, func(n *harness.Node) {
		n.Signal(syscall.SIGSTOP)
		time.Sleep(last)
		n.Signal(syscall.SIGCONT)
	})
}

func tableMood(m platformtest.Mood) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, _ *rand.Rand, last time.Duration) {
		r.site.Table.SetMood(m)
		time.Sleep(last)
		r.site.Table.SetMood(platformtest.Serving)
	}
}

func endpointMood(m platformtest.Mood) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rng *rand.Rand, last time.Duration) {
		e := r.site.Endpoints[rng.IntN(endpoints)]
		e.SetMood(m)
		time.Sleep(last)
		e.SetMood(platformtest.Serving)
	}
}

func link(f faultproxy.Faults) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rng *rand.Rand, last time.Duration) {
		p := r.proxies[rng.IntN(len(r.proxies))]
		p.Set(f)
		time.Sleep(last)
		p.Set(faultproxy.Faults{})
	}
}
