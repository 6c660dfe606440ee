package cell_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

const (
	// costEndpoints and costPeriod are the size and the load of a measurement: a
	// job of costTasks tasks in each period.
	costEndpoints = 350
	costPeriod    = 14 * time.Millisecond
	costTasks     = 9
	// costWarm is the time before the measurement, costTime its length.
	costWarm = 5 * time.Second
	costTime = 12 * time.Second
)

var _ = DescribeTable("The holder's processor costs", func(start func(nodes, endpoints int, work time.Duration) *harness.Site) {
	if !harness.Measuring() {
		Skip("make cost measures it")
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
	time.Sleep(costWarm)
	before, starts := holder.ProcessorTime(), len(s.Judge.Runs())
	time.Sleep(costTime)
	spent, made := holder.ProcessorTime()-before, len(s.Judge.Runs())-starts
	close(stop)
	<-stopped
	Expect(made).To(BeNumerically(">", 0))
	GinkgoWriter.Printf("%d starts in %v: %v of a processor, %.2f cores, %v a start\n",
		made, costTime, spent, spent.Seconds()/costTime.Seconds(), spent/time.Duration(made))
},
	Entry("when it calls the endpoints itself", func(nodes, endpoints int, work time.Duration) *harness.Site {
		return harness.StartDirectSite(nodes, endpoints, work)
	}),
	Entry("when other instances call them", harness.StartDispatchingSite),
)
