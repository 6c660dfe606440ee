// Package routing finds the process that holds a shard and calls it.
//
// Homes maps a request to its home shard. Router is the duty that owns the state
// about peers: the holder of each shard, a circuit breaker for each peer and the
// retry budgets. Caller is used by the callers' goroutines: it gets the next
// decision from the Router, makes one call and reports the result to the Router.
// The life cycle of a call is the chart forward.scxml.
package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// PlacementLookback is how long after a failure domain was brought back requests are
// also looked up at the homes where they may have been placed while it was out of
// service.
const PlacementLookback = time.Hour

// ErrNoShards is returned when the configuration has no failure domain.
var ErrNoShards = eris.New("no shards are configured")

// keySeparator separates team and idempotency key in the hashed name. It can't
// occur in either.
const keySeparator = "\x00"

// Homes maps requests to home shards under one version of the configuration. It
// is immutable and safe for concurrent use.
type Homes struct {
	shards  map[string]model.ShardID
	names   []string
	hasher  *rendezvous.Rendezvous
	domains map[model.DomainName]model.Domain
}

// Placement is the home of a request and the other homes that may have it.
type Placement struct {
	// Home is the id of the request at its home shard. The id contains the shard.
	Home model.RequestID
	// QueryFirst are the ids under which an earlier submission of the same request
	// may exist at other homes, placed there while its first choice was out of
	// service. They are queried before the request is submitted to Home.
	QueryFirst []model.RequestID
}

// NewHomes returns the Homes for the failure domains.
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
	h.hasher = rendezvous.New(h.names, xxhash.Sum64String)
	return h
}

// Place returns the placement of the team's request with the idempotency key. Its
// home is the highest-ranked shard whose domain is in service. While the domain
// of its first choice is out of service, or was brought back less than lookback
// ago, the request may have been placed at any other shard: all of them are in
// QueryFirst.
func (h *Homes) Place(team model.TeamName, key model.IdempotencyKey, now time.Time, lookback time.Duration) (Placement, error) {
	name := string(team) + keySeparator + string(key)
	digest := xxhash.Sum64String(name)
	first, ok := h.shards[h.hasher.Lookup(name)]
	if !ok {
		return Placement{}, ErrNoShards
	}
	domain := h.domains[first.Domain]
	recent := now.Sub(domain.BackAt) < lookback
	if !domain.Out && !recent {
		return Placement{Home: model.NewRequestID(first, digest)}, nil
	}
	return h.placeRanked(name, digest), nil
}

// AllAtFirstChoice reports whether every request can only be at its first choice: no domain
// is out of service or was brought back less than lookback ago.
func (h *Homes) AllAtFirstChoice(now time.Time, lookback time.Duration) bool {
	for _, domain := range h.domains {
		if domain.Out || now.Sub(domain.BackAt) < lookback {
			return false
		}
	}
	return true
}

// placeRanked places a request whose first choice is or recently was out of
// service, by the rank of all shards.
func (h *Homes) placeRanked(name string, digest uint64) Placement {
	ranked := h.rank(name)
	home := slices.IndexFunc(ranked, func(s model.ShardID) bool { return !h.domains[s.Domain].Out })
	// When all domains are out of service the request waits at its first choice.
	home = max(home, 0)
	placement := Placement{Home: model.NewRequestID(ranked[home], digest)}
	for i, shard := range ranked {
		if i != home {
			placement.QueryFirst = append(placement.QueryFirst, model.NewRequestID(shard, digest))
		}
	}
	return placement
}

// rank returns all shards in order of preference for the name.
func (h *Homes) rank(name string) []model.ShardID {
	remaining := slices.Clone(h.names)
	ranked := make([]model.ShardID, 0, len(remaining))
	for len(remaining) > 0 {
		best := rendezvous.New(remaining, xxhash.Sum64String).Lookup(name)
		ranked = append(ranked, h.shards[best])
		remaining = slices.DeleteFunc(remaining, func(n string) bool { return n == best })
	}
	return ranked
}

func (h *Homes) add(shard model.ShardID) {
	name := shard.String()
	h.shards[name] = shard
	h.names = append(h.names, name)
}
