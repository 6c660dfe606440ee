package routing

import "github.com/hornbeamworks/hornbeam/model"

// Directory lists the processes that may hold a shard.
type Directory interface {
	// Candidates returns the addresses of the schedulers of a failure domain.
	Candidates(domain model.DomainName) []string
	// Holder returns the address of the shard's holder; ok is false when it is
	// unknown.
	Holder(shard model.ShardID) (address string, ok bool)
}

// Addresses is a static Directory from the settings. It has no information about
// holders.
type Addresses map[model.DomainName][]string

// Candidates returns the domain's addresses.
func (a Addresses) Candidates(domain model.DomainName) []string { return a[domain] }

// Holder always reports that the holder is unknown.
func (Addresses) Holder(model.ShardID) (string, bool) { return "", false }
