// Package routing finds the process that holds a shard and calls it.
//
// Homes says which shard a request belongs to. Router is the duty that owns
// what is known about peers: the holder of each shard, a breaker for each peer
// and the budget of retries. Caller is the callers' side: it asks the Router
// what to do next, makes the one call and tells the Router how it ended. The
// life cycle of a call is the chart forward.scxml.
package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// PlacementMemory is how long after the return of a failure domain requests are
// looked for where they were placed during its absence.
const PlacementMemory = time.Hour

// ErrNoShards is returned when the configuration has no failure domain.
var ErrNoShards = eris.New("no shards are configured")

// keySeparator stands between team and idempotency key in the hashed name; it
// can't occur in either.
const keySeparator = "\x00"

// Homes finds the home shards of requests under one version of the
// configuration. It is read-only and can be shared.
type Homes struct {
	shards  map[string]model.ShardID
	names   []string
	ring    *rendezvous.Rendezvous
	domains map[model.DomainName]model.Domain
}

// Placement says where a request belongs.
type Placement struct {
	// Home is the id of the request at its home, which the id names.
	Home model.RequestID
	// AskFirst are the ids that an earlier submission of the same request may
	// have at other homes, because its first choice was out of service.
	AskFirst []model.RequestID
}

// NewHomes returns the homes under the failure domains.
func NewHomes(domains []model.Domain) *Homes {
	h := &Homes{
		shards:  map[string]model.ShardID{},
		domains: map[model.DomainName]model.Domain{},
	}
	for _, domain := range domains {
		h.domains[domain.Name] = domain
		for number := range domain.Shards {
			h.add(model.ShardID{Domain: domain.Name, Number: number})
		}
	}
	slices.Sort(h.names)
	h.ring = rendezvous.New(h.names, xxhash.Sum64String)
	return h
}

// Place returns where the request of the team with the key belongs. Its home
// is the first shard in rank whose domain is in service. The shards before it
// are asked first; so are all others while the first choice has been back for
// less than memory, since the request may have been placed during its absence.
func (h *Homes) Place(team model.TeamName, key model.IdempotencyKey, now time.Time, memory time.Duration) (Placement, error) {
	name := string(team) + keySeparator + string(key)
	digest := xxhash.Sum64String(name)
	first, ok := h.shards[h.ring.Lookup(name)]
	if !ok {
		return Placement{}, ErrNoShards
	}
	domain := h.domains[first.Domain]
	recent := now.Sub(domain.BackAt) < memory
	if !domain.Out && !recent {
		return Placement{Home: model.NewRequestID(first, digest)}, nil
	}
	return h.placeAround(name, digest), nil
}

// Settled reports whether all requests are placed at their first choice: no
// domain is out of service, or came back less than memory ago.
func (h *Homes) Settled(now time.Time, memory time.Duration) bool {
	for _, domain := range h.domains {
		if domain.Out || now.Sub(domain.BackAt) < memory {
			return false
		}
	}
	return true
}

// placeAround ranks all shards for a request whose first choice is out of
// service or was until lately.
func (h *Homes) placeAround(name string, digest uint64) Placement {
	ranked := h.rank(name)
	home := slices.IndexFunc(ranked, func(s model.ShardID) bool { return !h.domains[s.Domain].Out })
	// When all domains are out the first choice keeps the request waiting.
	home = max(home, 0)
	placement := Placement{Home: model.NewRequestID(ranked[home], digest)}
	for i, shard := range ranked {
		if i != home {
			placement.AskFirst = append(placement.AskFirst, model.NewRequestID(shard, digest))
		}
	}
	return placement
}

// rank returns all shards, the first choice first.
func (h *Homes) rank(name string) []model.ShardID {
	rest := slices.Clone(h.names)
	ranked := make([]model.ShardID, 0, len(rest))
	for len(rest) > 0 {
		best := rendezvous.New(rest, xxhash.Sum64String).Lookup(name)
		ranked = append(ranked, h.shards[best])
		rest = slices.DeleteFunc(rest, func(n string) bool { return n == best })
	}
	return ranked
}

func (h *Homes) add(shard model.ShardID) {
	name := shard.String()
	h.shards[name] = shard
	h.names = append(h.names, name)
}
