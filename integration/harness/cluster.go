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
	// Workers is the number of endpoints in each.
	Workers int
	// Scheds and Gates are the numbers of processes in each.
	Scheds, Gates int
}

// The shapes of most tests.
var (
	// Single is a domain whose only scheduler is restarted.
	Single = Shape{Domains: 1, Workers: 4, Scheds: 1, Gates: 2}
	// Small is a domain with two entry instances.
	Small = Shape{Domains: 1, Workers: 4, Scheds: 2, Gates: 2}
	// Pair is two domains of one entry instance each.
	Pair = Shape{Domains: 2, Workers: 4, Scheds: 1, Gates: 1}
)

// Cluster is a running system with its stand-ins.
type Cluster struct {
	// Domains are its failure domains.
	Domains []*Domain

	dir   string
	shape Shape
	group *duty.Group
	// site is the address of the stand-ins.
	site string
	// links are the proxies by the places of the domains that they join.
	links map[link][]*faultproxy.Proxy
	// warm is the number of starts of the warm-up.
	warm int
}

// link names the connections from one domain's gates to another's schedulers.
type link struct{ from, to int }

// Domain is the part of a cluster in one failure domain.
type Domain struct {
	// Name is the domain's name.
	Name string
	// Platform is the proxy to the platform's services.
	Platform *faultproxy.Proxy
	// Endpoints is the proxy to the domain's endpoints.
	Endpoints *faultproxy.Proxy
	// Scheds and Gates are its processes.
	Scheds, Gates []*Daemon

	// addresses are the schedulers', fronts the gates'.
	addresses, fronts []string
	// holder is the last known holder of the domain's first shard.
	holder *Daemon
}

// StartCluster starts a cluster that ends with the test. It returns when every
// domain has started work.
func StartCluster(s Shape) *Cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{
		dir: ginkgo.GinkgoT().TempDir(), shape: s, site: freeAddress(),
		group: duty.NewGroup(ctx), links: map[link][]*faultproxy.Proxy{},
	}
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Expect(c.group.Wait()).To(gomega.Succeed())
	})
	for i := range s.Domains {
		c.Domains = append(c.Domains, c.newDomain(fmt.Sprintf("fd%d", i+1)))
	}
	c.join()
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
	d := &Domain{Name: name, Platform: c.proxy(c.site), Endpoints: c.proxy(c.site)}
	for range c.shape.Scheds {
		d.addresses = append(d.addresses, freeAddress())
	}
	return d
}

func (c *Cluster) proxy(target string) *faultproxy.Proxy {
	p, err := faultproxy.Listen(c.group, "127.0.0.1:0", target, Seed)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

// join makes the proxies from the gates of each domain to the schedulers of
// every domain. Other processes of a domain reach its schedulers directly.
func (c *Cluster) join() {
	for from := range c.Domains {
		for to, d := range c.Domains {
			for _, address := range d.addresses {
				c.links[link{from, to}] = append(c.links[link{from, to}], c.proxy(address))
			}
		}
	}
}

// schedulers returns the addresses of a domain's schedulers as seen from
// another.
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
			gomega.Eventually(daemon.Ready).WithTimeout(Patience).Should(gomega.BeTrue(), daemon.Name)
		}
	}
}

// warmUp sends work until every domain has started some of it: by then the
// instance list is known and the shards' endpoints are on record.
func (c *Cluster) warmUp() {
	w := c.NewCrowd()
	i := 0
	gomega.Eventually(func() bool {
		w.Send(Job{Team: DefaultTeam, Key: fmt.Sprintf("warm-up-%d", i), Class: Screen, Run: time.Millisecond})
		i++
		first, others := c.StartsSince(time.Time{})
		return first > 0 && (others > 0 || len(c.Domains) == 1)
	}).WithTimeout(Patience).WithPolling(50 * time.Millisecond).Should(gomega.BeTrue())
	w.Done()
	c.warm = c.Started()
	for i := range c.Domains {
		c.Holder(i)
	}
}

// SetLinks sets the faults of all connections from one domain's gates to the
// other's schedulers.
func (c *Cluster) SetLinks(from, to int, faults faultproxy.Faults) {
	for _, p := range c.links[link{from, to}] {
		p.Set(faults)
	}
}
