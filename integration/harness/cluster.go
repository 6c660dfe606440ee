package harness

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/faultproxy"
)

// Shape is the size of a cluster.
type Shape struct {
	// Domains is the number of failure domains.
	Domains int
	// Workers is the number of endpoints per domain.
	Workers int
	// Scheds and Gates are the numbers of processes per domain.
	Scheds, Gates int
}

// The shapes of most tests.
var (
	// Single is a domain with a single scheduler.
	Single = Shape{Domains: 1, Workers: 4, Scheds: 1, Gates: 2}
	// Small is a domain with two schedulers and two gates.
	Small = Shape{Domains: 1, Workers: 4, Scheds: 2, Gates: 2}
	// Pair is two domains with one scheduler and one gate each.
	Pair = Shape{Domains: 2, Workers: 4, Scheds: 1, Gates: 1}
)

// Cluster is a running system with stand-ins for the platform and the endpoints.
type Cluster struct {
	Domains []*Domain

	dir   string
	shape Shape
	group *duty.Group
	// standinAddress is the address of the stand-ins.
	standinAddress string
	// links holds the proxies by the indices of the domains that they connect.
	links map[link][]*faultproxy.Proxy
	// warmUpStarts is the number of starts during the warm-up.
	warmUpStarts int
}

// link identifies the connections from the processes of one domain to the schedulers
// of another by the indices of the domains, which may be equal.
type link struct{ from, to int }

// Domain is the part of a cluster in one failure domain.
type Domain struct {
	Name string
	// Platform is the proxy to the platform's services.
	Platform *faultproxy.Proxy
	// Endpoints is the proxy to the domain's endpoints.
	Endpoints *faultproxy.Proxy
	// Scheds and Gates are the domain's processes.
	Scheds, Gates []*Daemon

	// schedAddresses and gateAddresses are the addresses for peers and for callers.
	schedAddresses, gateAddresses []string
	// holder is the last observed holder of the domain's first shard.
	holder *Daemon
}

// StartCluster starts a cluster that is stopped at the end of the test. It returns
// once every domain has started a task.
func StartCluster(s Shape) *Cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{
		dir: ginkgo.GinkgoT().TempDir(), shape: s, standinAddress: FreeAddress(),
		group: duty.NewGroup(ctx), links: map[link][]*faultproxy.Proxy{},
	}
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Expect(c.group.Wait()).To(gomega.Succeed())
	})
	for i := range s.Domains {
		c.Domains = append(c.Domains, c.newDomain(fmt.Sprintf("fd%d", i+1)))
	}
	c.connect()
	c.startStandin()
	c.initialise()
	for i := range c.Domains {
		c.startDomain(i)
	}
	c.awaitReady()
	c.warmUp()
	return c
}

func (c *Cluster) newDomain(name string) *Domain {
	d := &Domain{Name: name, Platform: c.proxy(c.standinAddress), Endpoints: c.proxy(c.standinAddress)}
	for range c.shape.Scheds {
		d.schedAddresses = append(d.schedAddresses, FreeAddress())
	}
	return d
}

func (c *Cluster) proxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.Listen(c.group, "127.0.0.1:0", target, Seed)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

// connect starts the proxies from each domain to the schedulers of every domain.
// Gates use all of them. Schedulers reach those of their own domain directly.
func (c *Cluster) connect() {
	for from := range c.Domains {
		for to, d := range c.Domains {
			for _, address := range d.schedAddresses {
				c.links[link{from, to}] = append(c.links[link{from, to}], c.proxy(address))
			}
		}
	}
}

// schedulers returns the proxy addresses at which domain from reaches the schedulers
// of domain to.
func (c *Cluster) schedulers(from, to int) string {
	var addresses []string
	for _, p := range c.links[link{from, to}] {
		addresses = append(addresses, p.Address())
	}
	return strings.Join(addresses, ", ")
}

func (c *Cluster) awaitReady() {
	for _, d := range c.Domains {
		for _, daemon := range append(append([]*Daemon{}, d.Scheds...), d.Gates...) {
			gomega.Eventually(daemon.Ready).WithTimeout(WaitTimeout).Should(gomega.BeTrue(), daemon.Name)
		}
	}
}

// warmUp sends requests until every domain has started a task. By then the instance
// list has been read and the shards' endpoints are recorded.
func (c *Cluster) warmUp() {
	load := c.NewCallers()
	i := 0
	gomega.Eventually(func() bool {
		load.Send(Job{Team: DefaultTeam, Key: fmt.Sprintf("warm-up-%d", i), Class: Screen, Run: time.Millisecond})
		i++
		first, others := c.StartsSince(time.Time{})
		return first > 0 && (others > 0 || len(c.Domains) == 1)
	}).WithTimeout(WaitTimeout).WithPolling(50 * time.Millisecond).Should(gomega.BeTrue())
	load.Done()
	c.warmUpStarts = c.Started()
	for i := range c.Domains {
		c.Holder(i)
	}
}

// SetLinks sets the faults of all connections from the processes of one domain to the
// schedulers of another; for one and the same domain, of those from its gates.
func (c *Cluster) SetLinks(from, to int, faults faultproxy.Faults) {
	for _, p := range c.links[link{from, to}] {
		p.Set(faults)
	}
}
