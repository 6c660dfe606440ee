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

// run is the state of the test with one seed.
type run struct {
	site    *harness.Site
	proxies []*faultproxy.Proxy
	rng     *rand.Rand
	end     time.Time

	// mu guards the state that concurrent fault series share: the nodes that are
	// disturbed and the log of faults.
	mu          sync.Mutex
	disturbed   [nodes]bool
	faultEvents []string
}

// fault is a kind of fault; inject causes it for the given duration and clears it.
type fault struct {
	name   string
	inject func(r *run, rng *rand.Rand, duration time.Duration)
}

var faults = []fault{
	{"node killed", func(r *run, rng *rand.Rand, duration time.Duration) { r.stopNode(rng, duration, syscall.SIGKILL) }},
	{"node stopped", func(r *run, rng *rand.Rand, duration time.Duration) { r.stopNode(rng, duration, syscall.SIGTERM) }},
	{"node paused", (*run).pauseNode},
	{"node reloaded", func(r *run, rng *rand.Rand, _ time.Duration) {
		r.withNode(rng, func(n *harness.Node) { n.Signal(syscall.SIGHUP) })
	}},
	{"table refuses", tableMood(platformtest.Refusing)},
	{"table unresponsive", tableMood(platformtest.Silent)},
	{"table loses replies", tableMood(platformtest.LosingReplies)},
	{"table discards its history", func(r *run, _ *rand.Rand, _ time.Duration) { r.site.Table.DiscardHistory() }},
	{"link to the table partitioned", link(faultproxy.Partition())},
	{"link to the table partitioned one way", link(faultproxy.Faults{Down: faultproxy.DirectionFaults{Partitioned: true}})},
	{"link to the table slow", link(faultproxy.Delay(40*time.Millisecond, 60*time.Millisecond))},
	{"link to the table reset", link(faultproxy.Faults{Up: faultproxy.DirectionFaults{ResetProbability: 0.2}})},
	{"link to the table loses replies", link(faultproxy.Faults{Down: faultproxy.DirectionFaults{LossProbability: 0.3}})},
	{"endpoint unresponsive", endpointMood(platformtest.Silent)},
	{"endpoint refuses", endpointMood(platformtest.Refusing)},
	{"endpoint loses replies", endpointMood(platformtest.LosingReplies)},
	{"endpoint late", func(r *run, rng *rand.Rand, duration time.Duration) {
		e := r.site.Endpoints[rng.IntN(endpoints)]
		e.SetStartDelay(time.Duration(200+rng.IntN(2000)) * time.Millisecond)
		time.Sleep(duration)
		e.SetStartDelay(0)
	}},
	{"endpoint crashes", func(r *run, rng *rand.Rand, _ time.Duration) {
		e := r.site.Endpoints[rng.IntN(endpoints)]
		e.Crash()
		e.Register("ready")
	}},
	{"endpoint leaves", func(r *run, rng *rand.Rand, duration time.Duration) {
		e := r.site.Endpoints[rng.IntN(endpoints)]
		e.Register("draining")
		time.Sleep(duration)
		e.Register("ready")
	}},
}

// injectFaults injects random faults one after the other until the end of the run.
func (r *run) injectFaults(rng *rand.Rand) {
	for time.Now().Before(r.end) {
		f := faults[rng.IntN(len(faults))]
		duration := time.Duration(200+rng.IntN(3000)) * time.Millisecond
		r.logFault(fmt.Sprintf("%s for %v", f.name, duration))
		f.inject(r, rng, duration)
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
}

// clearFaults clears all faults of the table, the links and the endpoints.
func (r *run) clearFaults() {
	r.site.Table.SetFaultMode(platformtest.Serving)
	for _, p := range r.proxies {
		p.Set(faultproxy.Faults{})
	}
	for _, e := range r.site.Endpoints {
		e.SetFaultMode(platformtest.Serving)
		e.SetStartDelay(0)
	}
	r.logFault("all faults cleared")
}

func (r *run) logFault(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultEvents = append(r.faultEvents, time.Now().Format("05.000 ")+text)
}

// faultLog returns the times and names of the faults so far.
func (r *run) faultLog() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.faultEvents, "\n")
}

// reserveNode reserves a random undisturbed node; it returns -1 when fewer than two
// are left.
func (r *run) reserveNode(rng *rand.Rand) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	var up []int
	for i, down := range r.disturbed {
		if !down {
			up = append(up, i)
		}
	}
	if len(up) < 2 {
		return -1
	}
	n := up[rng.IntN(len(up))]
	r.disturbed[n] = true
	return n
}

func (r *run) releaseNode(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[n] = false
}

// withNode calls do with a node that no other fault series disturbs meanwhile. It
// does nothing when reserveNode returns -1.
func (r *run) withNode(rng *rand.Rand, do func(n *harness.Node)) {
	n := r.reserveNode(rng)
	if n < 0 {
		return
	}
	defer r.releaseNode(n)
	do(r.site.Nodes[n])
}

func (r *run) stopNode(rng *rand.Rand, duration time.Duration, signal syscall.Signal) {
	r.withNode(rng, func(n *harness.Node) {
		defer GinkgoRecover()
		n.Signal(signal)
		// The error is ignored: a planned stop may time out while the table is
		// unavailable.
		_ = n.Ended()
		time.Sleep(duration)
		n.Start()
	})
}

func (r *run) pauseNode(rng *rand.Rand, duration time.Duration) {
	r.withNode(rng, func(n *harness.Node) {
		n.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		n.Signal(syscall.SIGCONT)
	})
}

func tableMood(m platformtest.FaultMode) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, _ *rand.Rand, duration time.Duration) {
		r.site.Table.SetFaultMode(m)
		time.Sleep(duration)
		r.site.Table.SetFaultMode(platformtest.Serving)
	}
}

func endpointMood(m platformtest.FaultMode) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rng *rand.Rand, duration time.Duration) {
		e := r.site.Endpoints[rng.IntN(endpoints)]
		e.SetFaultMode(m)
		time.Sleep(duration)
		e.SetFaultMode(platformtest.Serving)
	}
}

func link(f faultproxy.Faults) func(*run, *rand.Rand, time.Duration) {
	return func(r *run, rng *rand.Rand, duration time.Duration) {
		p := r.proxies[rng.IntN(len(r.proxies))]
		p.Set(f)
		time.Sleep(duration)
		p.Set(faultproxy.Faults{})
	}
}
