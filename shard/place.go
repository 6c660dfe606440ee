package shard

import (
	"hash/fnv"
	"strconv"

	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/hornbeamworks/hornbeam/model"
)

// OfEndpoint returns the shard that the endpoint belongs to, among the given
// number of shards of its failure domain, by rendezvous hashing.
func OfEndpoint(domain model.DomainName, shards int, id model.EndpointID) model.ShardID {
	if shards <= 1 {
		return model.ShardID{Domain: domain}
	}
	var numbers []string
	for n := range shards {
		numbers = append(numbers, strconv.Itoa(n))
	}
	chosen := rendezvous.New(numbers, hash).Lookup(string(id))
	// The numbers are the ones made above.
	number, _ := strconv.Atoi(chosen)
	return model.ShardID{Domain: domain, Number: number}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	// Write of a hash never fails.
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
