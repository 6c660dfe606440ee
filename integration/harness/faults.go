package harness

import (
	"time"

	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

const (
	// faultTime is how long a fault lasts: longer than every lease.
	faultTime = 5 * time.Second
	// pairPeriod is the time between two requests.
	pairPeriod = 20 * time.Millisecond
	// pairAnswers is the least number of requests, of the 600 sent, that are
	// served whatever the faults are.
	pairAnswers = 400
)

// Fault begins one fault at the cluster's first domain and returns what ends
// it.
type Fault func(c *Cluster) (end func())

// Killed ends the holder and restarts it at the end.
func Killed(c *Cluster) func() {
	holder := c.Holder(0)
	holder.Kill()
	return holder.Start
}

// Paused stops the holder and continues it at the end.
func Paused(c *Cluster) func() {
	holder := c.Holder(0)
	holder.Pause()
	return holder.Resume
}

// StoreDown is an outage of the table.
func StoreDown(c *Cluster) func() {
	c.Control("table", standin.TableFaults{Outage: true})
	return func() { c.Control("table", standin.TableFaults{}) }
}

// RepliesLost loses the reply of every commit that takes effect.
func RepliesLost(c *Cluster) func() {
	c.Control("table", standin.TableFaults{LoseReplies: -1})
	return func() { c.Control("table", standin.TableFaults{}) }
}

// EndpointsCut cuts the domain's endpoints off.
func EndpointsCut(c *Cluster) func() {
	c.Domains[0].Endpoints.Set(faultproxy.Cut())
	return func() { c.Domains[0].Endpoints.Set(faultproxy.Faults{}) }
}

// EndpointRepliesLost loses the replies of the domain's endpoints.
func EndpointRepliesLost(c *Cluster) func() {
	c.Domains[0].Endpoints.Set(faultproxy.LoseReplies())
	return func() { c.Domains[0].Endpoints.Set(faultproxy.Faults{}) }
}

// Both runs a small cluster under load, lets the second fault begin while the
// first lasts and end after it, and judges the run.
func Both(first, second Fault) {
	c := StartCluster(Small)
	w := c.NewCrowd()
	w.SendMany(50, pairPeriod, Either)
	endFirst := first(c)
	w.SendFor(faultTime/2, pairPeriod, func(i int) Job { return Either(1000 + i) })
	endSecond := second(c)
	w.SendFor(faultTime, pairPeriod, func(i int) Job { return Either(2000 + i) })
	endFirst()
	w.SendFor(faultTime/2, pairPeriod, func(i int) Job { return Either(3000 + i) })
	endSecond()
	w.SendMany(50, pairPeriod, func(i int) Job { return Either(4000 + i) })
	c.Judge(w.Done())
	gomega.Expect(w.Count(result.OK)).To(gomega.BeNumerically(">=", pairAnswers), w.Heard())
}
