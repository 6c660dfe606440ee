// Package soak_test runs the real binaries under random faults. It checks from the
// observations of callers and endpoints that nothing runs twice, that rejected jobs
// never run and that every accepted job ends.
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
	// defaultSeed and defaultTime are what CI uses.
	defaultSeed = 7
	defaultTime = 15 * time.Second
	// nodes and endpoints are the size of the deployment.
	nodes     = 4
	endpoints = 6
	// callers is the number of concurrent callers.
	callers = 4
	// faultSeries is the number of concurrent series of faults.
	faultSeries = 3
	// checkPeriod is the time between checks of the guarantees.
	checkPeriod = 200 * time.Millisecond
	// settleTime is the time in which accepted jobs must end once the faults are
	// cleared: the longest lease plus the bound on recovery.
	settleTime = 30 * time.Second
	// work is the run time of a task.
	work = 400 * time.Millisecond
)

// regressions are seeds that have failed before.
var regressions = []uint64{
	// An endpoint restarted. A listing requested in its previous incarnation made it
	// discard the ends of the new incarnation, which had the same numbers as ends
	// that were recorded already.
	105,
	// A renewal that acknowledged ends reached a new incarnation of an endpoint, which
	// discarded its own ends while the renewal waited; their tasks were started again.
	345,
	// The simulated endpoint executed a start of before its restart, which it had left
	// unanswered; the holder had had it stopped before the restart.
	413,
}

// seeds returns the seeds to run: the regressions, SOAK_SEED and the SOAK_SEEDS-1
// seeds after it.
func seeds() []uint64 {
	first, n := uint64(defaultSeed), uint64(1)
	if text := os.Getenv("SOAK_SEED"); text != "" {
		first = parseUint(text)
	}
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		n = parseUint(text)
	}
	list := append([]uint64(nil), regressions...)
	for i := range n {
		list = append(list, first+i)
	}
	return list
}

// runTime returns the duration of the run of each seed: SOAK_SECONDS or defaultTime.
func runTime() time.Duration {
	if text := os.Getenv("SOAK_SECONDS"); text != "" {
		return time.Duration(parseUint(text)) * time.Second
	}
	return defaultTime
}

func parseUint(text string) uint64 {
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
	run := &run{site: site, proxies: proxies, rng: rand.New(rand.NewPCG(seed, 1)), end: time.Now().Add(runTime())}

	done := make(chan []*job, callers)
	for i := range callers {
		go func() {
			defer GinkgoRecover()
			done <- run.submitJobs(i, rand.New(rand.NewPCG(seed, uint64(100+i))))
		}()
	}
	faults := make(chan struct{}, faultSeries)
	for i := range faultSeries {
		go func() {
			defer GinkgoRecover()
			run.injectFaults(rand.New(rand.NewPCG(seed, uint64(200+i))))
			faults <- struct{}{}
		}()
	}
	run.checkUntilEnd()
	var jobs []*job
	for range callers {
		jobs = append(jobs, <-done...)
	}
	for range faultSeries {
		<-faults
	}
	run.clearFaults()
	run.checkJobs(jobs)
}

// checkUntilEnd checks the guarantees periodically until the end of the run.
func (r *run) checkUntilEnd() {
	for time.Now().Before(r.end) {
		r.checkViolations()
		time.Sleep(checkPeriod)
	}
}

func (r *run) checkViolations() {
	for _, e := range r.site.Endpoints {
		e.ExpireLease()
	}
	Expect(r.site.Checker.AcknowledgedViolations()).To(BeEmpty(), r.faultLog())
}

// checkJobs waits until the accepted jobs have ended and checks that the rejected
// ones never ran.
func (r *run) checkJobs(jobs []*job) {
	accepted, rejected := 0, map[string]bool{}
	for _, j := range jobs {
		switch j.outcome {
		case outcomeAccepted:
			accepted++
			Eventually(func() string { return r.state(j) }, settleTime, checkPeriod).
				Should(BeElementOf(j.finalStates()), func() string { return j.id + "\n" + r.faultLog() })
		case outcomeRejected:
			rejected[j.id] = true
		}
	}
	r.checkViolations()
	for _, taskRun := range r.site.Checker.Runs() {
		Expect(rejected).NotTo(HaveKey(taskRun.Task[:len(sampleJob.id)]), "a rejected job has run")
	}
	GinkgoWriter.Printf("%d jobs, %d accepted, %d refused, %d runs\n%s\n", len(jobs), accepted, len(rejected), len(r.site.Checker.Runs()), r.faultLog())
	Expect(accepted).To(BeNumerically(">", 0))
}
