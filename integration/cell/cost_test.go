package cell_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

const (
	// costEndpoints is the number of endpoints of a measurement. Its load is a job of
	// costTasks tasks per costPeriod.
	costEndpoints = 350
	costPeriod    = 14 * time.Millisecond
	costTasks     = 9
	// costWarmUp is the time before the measurement, costTime its duration.
	costWarmUp = 5 * time.Second
	costTime   = 12 * time.Second
)

var _ = DescribeTable("The holder's CPU costs", func(start func(nodes, endpoints int, work time.Duration) *harness.Site) {
	if !harness.Measuring() {
		Skip("run it with make cost")
	}
	s := start(4, costEndpoints, 1500*time.Millisecond)
	holder := s.Nodes[s.Holder()]
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticks := time.NewTicker(costPeriod)
		defer ticks.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticks.C:
				go s.Submit(i%len(s.Nodes), id(i), costTasks)
			}
		}
	}()
	time.Sleep(costWarmUp)
	before, starts := holder.CPUTime(), len(s.Checker.Runs())
	time.Sleep(costTime)
	cpuTime, started := holder.CPUTime()-before, len(s.Checker.Runs())-starts
	close(stop)
	<-stopped
	Expect(started).To(BeNumerically(">", 0))
	GinkgoWriter.Printf("%d starts in %v: %v of CPU time, %.2f cores, %v per start\n",
		started, costTime, cpuTime, cpuTime.Seconds()/costTime.Seconds(), cpuTime/time.Duration(started))
},
	Entry("when it calls the endpoints itself", func(nodes, endpoints int, work time.Duration) *harness.Site {
		return harness.StartDirectSite(nodes, endpoints, work)
	}),
	Entry("when other instances call them", harness.StartDispatchingSite),
)
