package dispatch

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// endpointsPerInstance is how many endpoints one instance calls. At 2.5 starts a
	// second per endpoint that is about 400 calls a second, a third of a core.
	endpointsPerInstance = 64
	// minCPUShareRatio excludes an instance whose CPU share is below this fraction
	// of the largest share in its domain.
	minCPUShareRatio = 0.5
)

// Routes maps each endpoint to the instance that calls it.
type Routes struct {
	// inDomain has the instances that call the endpoints of their own domain.
	// fallback has all instances in use, for the endpoints of other domains; it is
	// nil if there are none.
	inDomain  map[model.DomainName]*rendezvous.Rendezvous
	fallback  *rendezvous.Rendezvous
	addresses []string
}

// NewRoutes chooses instances for the number of endpoints in each domain. It takes
// the largest ones of the same domain, so that calls to endpoints stay within it.
func NewRoutes(others []instances.Instance, endpoints map[model.DomainName]int) *Routes {
	r := &Routes{inDomain: map[model.DomainName]*rendezvous.Rendezvous{}}
	byDomain := map[model.DomainName][]instances.Instance{}
	for _, i := range others {
		byDomain[i.Domain] = append(byDomain[i.Domain], i)
	}
	for domain, n := range endpoints {
		if chosen := largest(byDomain[domain], (n+endpointsPerInstance-1)/endpointsPerInstance); len(chosen) > 0 {
			r.inDomain[domain] = rendezvous.New(chosen, xxhash.Sum64String)
			r.addresses = append(r.addresses, chosen...)
		}
	}
	sort.Strings(r.addresses)
	if len(r.addresses) > 0 {
		r.fallback = rendezvous.New(r.addresses, xxhash.Sum64String)
	}
	return r
}

// largest returns the addresses of up to n candidates, in descending order of
// CPU share and without those that are too small.
func largest(candidates []instances.Instance, n int) []string {
	list := slices.Clone(candidates)
	sort.Slice(list, func(i, k int) bool {
		if list[i].CPUShare != list[k].CPUShare {
			return list[i].CPUShare > list[k].CPUShare
		}
		return list[i].Address < list[k].Address
	})
	var chosen []string
	for _, i := range list[:min(n, len(list))] {
		if i.CPUShare >= minCPUShareRatio*list[0].CPUShare {
			chosen = append(chosen, i.Address)
		}
	}
	return chosen
}

// Addresses returns the peer addresses of the instances in use.
func (r *Routes) Addresses() []string { return r.addresses }

// For returns the peer address of the instance that calls the endpoint; empty if
// there is none.
func (r *Routes) For(id model.EndpointID, domain model.DomainName) string {
	if ring := r.inDomain[domain]; ring != nil {
		return ring.Lookup(string(id))
	}
	if r.fallback != nil {
		return r.fallback.Lookup(string(id))
	}
	return ""
}
