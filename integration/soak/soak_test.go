// Package soak_test runs the real programs under random faults and checks, from
// what callers and endpoints see, that nothing runs twice, that what was refused
// never runs and that every accepted job ends.
package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/integration/harness"
)

const (
	// defaultSeed and defaultTime are those of CI.
	defaultSeed = 7
	defaultTime = 15 * time.Second
	// nodes and endpoints are the size of the deployment.
	nodes     = 4
	endpoints = 6
	// callers hand jobs in at the same time.
	callers = 4
	// faultsAtOnce is how many series of faults overlap.
	faultsAtOnce = 3
	// checkPeriod is how often the promises are checked.
	checkPeriod = 200 * time.Millisecond
	// settleTime is allowed for the accepted jobs once the faults are over: the
	// longest lease and the bound on recovery.
	settleTime = 30 * time.Second
	// work is how long a task runs.
	work = 400 * time.Millisecond
)

// regressions are the seeds that have failed once.
var regressions = []uint64{
	// An endpoint restarted, and a listing asked for in its former life made it
	// forget the ends of the new one, which had the numbers of recorded ends.
	105,
}

// seeds returns the seeds to run: SOAK_SEED and the SOAK_SEEDS-1 after it.
func seeds() []uint64 {
	first, n := uint64(defaultSeed), uint64(1)
	if text := os.Getenv("SOAK_SEED"); text != "" {
		first = number(text)
	}
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		n = number(text)
	}
	list := append([]uint64(nil), regressions...)
	for i := range n {
		list = append(list, first+i)
	}
	return list
}

// length returns how long each seed runs: SOAK_SECONDS.
func length() time.Duration {
	if text := os.Getenv("SOAK_SECONDS"); text != "" {
		return time.Duration(number(text)) * time.Second
	}
	return defaultTime
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return n
}

var _ = Describe("Random faults", func() {
	for _, seed := range seeds() {
		It(fmt.Sprintf("break no promise with seed %d", seed), func() { soak(seed) })
	}
})

func soak(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	DeferCleanup(func() {
		cancel()
		Expect(group.Wait()).To(Succeed())
	})
	site, proxies := harness.StartFaultySite(group, nodes, endpoints, work, seed)
	run := &run{site: site, proxies: proxies, rng: rand.New(rand.NewPCG(seed, 1)), ends: time.Now().Add(length())}

	done := make(chan []*job, callers)
	for i := range callers {
		go func() {
			defer GinkgoRecover()
			done <- run.call(i, rand.New(rand.NewPCG(seed, uint64(100+i))))
		}()
	}
	faults := make(chan struct{}, faultsAtOnce)
	for i := range faultsAtOnce {
		go func() {
			defer GinkgoRecover()
			run.disturb(rand.New(rand.NewPCG(seed, uint64(200+i))))
			faults <- struct{}{}
		}()
	}
	run.watch()
	var jobs []*job
	for range callers {
		jobs = append(jobs, <-done...)
	}
	for range faultsAtOnce {
		<-faults
	}
	run.recover()
	run.judge(jobs)
}

// watch checks the promises until the faults end.
func (r *run) watch() {
	for time.Now().Before(r.ends) {
		r.check()
		time.Sleep(checkPeriod)
	}
}

func (r *run) check() {
	for _, e := range r.site.Endpoints {
		e.Settle()
	}
	Expect(r.site.Judge.AcknowledgedViolations()).To(BeEmpty(), r.story())
}

// judge waits for the jobs' ends and checks what each caller was told.
func (r *run) judge(jobs []*job) {
	accepted, refused := 0, map[string]bool{}
	for _, j := range jobs {
		switch j.told {
		case accepts:
			accepted++
			Eventually(func() string { return r.state(j) }, settleTime, checkPeriod).
				Should(BeElementOf(j.ends()), func() string { return j.id + "\n" + r.story() })
		case refuses:
			refused[j.id] = true
		}
	}
	r.check()
	for _, ran := range r.site.Judge.Runs() {
		Expect(refused).NotTo(HaveKey(ran.Task[:len(j0.id)]), "a job that was refused has run")
	}
	GinkgoWriter.Printf("%d jobs, %d accepted, %d refused, %d runs\n%s\n", len(jobs), accepted, len(refused), len(r.site.Judge.Runs()), r.story())
	Expect(accepted).To(BeNumerically(">", 0))
}
