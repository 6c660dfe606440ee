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
	// endpointsEach is how many endpoints one instance calls: at 2.5 starts a
	// second each, some 400 calls a second, a third of a core.
	endpointsEach = 64
	// smallShare is the part of the largest instance's processor below which an
	// instance of the same domain is left alone.
	smallShare = 0.5
)

// Routes say through which instance each endpoint is called.
type Routes struct {
	// inDomain are the instances for the endpoints of a domain, elsewhere those
	// for endpoints of domains without any.
	inDomain  map[model.DomainName]*rendezvous.Rendezvous
	elsewhere *rendezvous.Rendezvous
	addresses []string
}

// NewRoutes chooses among the other instances for the number of endpoints in each
// domain: the largest ones of the same domain, so that the calls of endpoints
// stay within it.
func NewRoutes(others []instances.Instance, endpoints map[model.DomainName]int) *Routes {
	r := &Routes{inDomain: map[model.DomainName]*rendezvous.Rendezvous{}}
	byDomain := map[model.DomainName][]instances.Instance{}
	for _, i := range others {
		byDomain[i.Domain] = append(byDomain[i.Domain], i)
	}
	for domain, n := range endpoints {
		if chosen := largest(byDomain[domain], (n+endpointsEach-1)/endpointsEach); len(chosen) > 0 {
			r.inDomain[domain] = rendezvous.New(chosen, xxhash.Sum64String)
			r.addresses = append(r.addresses, chosen...)
		}
	}
	sort.Strings(r.addresses)
	if len(r.addresses) > 0 {
		r.elsewhere = rendezvous.New(r.addresses, xxhash.Sum64String)
	}
	return r
}

// largest returns the addresses of up to n instances.
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
		if i.CPUShare >= smallShare*list[0].CPUShare {
			chosen = append(chosen, i.Address)
		}
	}
	return chosen
}

// Addresses returns the peer addresses of the instances in use.
func (r *Routes) Addresses() []string { return r.addresses }

// For returns the peer address of the instance through which the endpoint is
// called; empty if there is none.
func (r *Routes) For(id model.EndpointID, domain model.DomainName) string {
	if ring := r.inDomain[domain]; ring != nil {
		return ring.Lookup(string(id))
	}
	if r.elsewhere != nil {
		return r.elsewhere.Lookup(string(id))
	}
	return ""
}
