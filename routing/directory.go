package routing

import "github.com/hornbeamworks/hornbeam/model"

// Directory names the processes that may hold a shard.
type Directory interface {
	// Candidates returns the addresses of the schedulers of a failure domain.
	Candidates(domain model.DomainName) []string
	// Holder returns the address of the shard's holder when it is known.
	Holder(shard model.ShardID) (address string, known bool)
}

// Addresses is a Directory that is fixed in the settings and knows no holders.
type Addresses map[model.DomainName][]string

// Candidates returns the domain's addresses.
func (a Addresses) Candidates(domain model.DomainName) []string { return a[domain] }

// Holder knows none.
func (Addresses) Holder(model.ShardID) (string, bool) { return "", false }
