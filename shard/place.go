package shard

import (
	"hash/fnv"
	"strconv"

	rendezvous "github.com/dgryski/go-rendezvous"

	"github.com/hornbeamworks/hornbeam/model"
)

// OfEndpoint assigns the endpoint to one of the given number of shards of its
// failure domain by rendezvous hashing.
func OfEndpoint(domain model.DomainName, shards int, id model.EndpointID) model.ShardID {
	if shards <= 1 {
		return model.ShardID{Domain: domain}
	}
	var numbers []string
	for n := range shards {
		numbers = append(numbers, strconv.Itoa(n))
	}
	chosen := rendezvous.New(numbers, hash).Lookup(string(id))
	// chosen is one of the numbers formatted above, so Atoi can't fail.
	number, _ := strconv.Atoi(chosen)
	return model.ShardID{Domain: domain, Number: number}
}

func hash(s string) uint64 {
	h := fnv.New64a()
	// hash.Hash.Write never returns an error.
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
