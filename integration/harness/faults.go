package harness

import (
	"time"

	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

const (
	// faultTime is the duration of a fault: longer than every lease.
	faultTime = 5 * time.Second
	// pairPeriod is the time between requests.
	pairPeriod = 20 * time.Millisecond
	// minPairAnswers is the smallest number of requests, of the 600 sent, that must
	// be answered with OK despite the faults.
	minPairAnswers = 400
)

// Fault injects a fault into the cluster's first domain and returns the function that
// clears it.
type Fault func(c *Cluster) (end func())

// Killed kills the holder; clearing the fault restarts it.
func Killed(c *Cluster) func() {
	holder := c.Holder(0)
	holder.Kill()
	return holder.Start
}

// Paused pauses the holder; clearing the fault resumes it.
func Paused(c *Cluster) func() {
	holder := c.Holder(0)
	holder.Pause()
	return holder.Resume
}

// StoreDown makes the table unavailable.
func StoreDown(c *Cluster) func() {
	c.SetFault("table", standin.TableFaults{Outage: true})
	return func() { c.SetFault("table", standin.TableFaults{}) }
}

// RepliesLost drops the reply of every commit that takes effect.
func RepliesLost(c *Cluster) func() {
	c.SetFault("table", standin.TableFaults{LoseReplies: -1})
	return func() { c.SetFault("table", standin.TableFaults{}) }
}

// EndpointsIsolated isolates the domain's endpoints.
func EndpointsIsolated(c *Cluster) func() {
	c.Domains[0].Endpoints.Set(faultproxy.Partition())
	return func() { c.Domains[0].Endpoints.Set(faultproxy.Faults{}) }
}

// EndpointRepliesLost drops the replies of the domain's endpoints.
func EndpointRepliesLost(c *Cluster) func() {
	c.Domains[0].Endpoints.Set(faultproxy.LoseReplies())
	return func() { c.Domains[0].Endpoints.Set(faultproxy.Faults{}) }
}

// OverlapFaults runs a small cluster under load and injects two overlapping faults:
// the second starts during the first and ends after it. It audits the run.
func OverlapFaults(first, second Fault) {
	c := StartCluster(Small)
	load := c.NewCallers()
	load.SendMany(50, pairPeriod, Alternating)
	endFirst := first(c)
	load.SendFor(faultTime/2, pairPeriod, func(i int) Job { return Alternating(1000 + i) })
	endSecond := second(c)
	load.SendFor(faultTime, pairPeriod, func(i int) Job { return Alternating(2000 + i) })
	endFirst()
	load.SendFor(faultTime/2, pairPeriod, func(i int) Job { return Alternating(3000 + i) })
	endSecond()
	load.SendMany(50, pairPeriod, func(i int) Job { return Alternating(4000 + i) })
	c.Audit(load.Done())
	gomega.Expect(load.Count(result.OK)).To(gomega.BeNumerically(">=", minPairAnswers), load.Summary())
}
