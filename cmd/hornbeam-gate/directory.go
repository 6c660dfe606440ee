package main

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/routing"
)

// directory lists the schedulers found through membership first, then those in
// the settings.
type directory struct {
	members  *membership.Directory
	settings routing.Addresses
}

// Candidates implements routing.Directory.
func (d directory) Candidates(domain model.DomainName) []string {
	var addresses []string
	for _, status := range d.members.Candidates(domain) {
		addresses = append(addresses, status.Member.Address)
	}
	for _, address := range d.settings[domain] {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Holder implements routing.Directory.
func (d directory) Holder(shard model.ShardID) (string, bool) {
	status, _, ok := d.members.Holder(shard)
	return status.Member.Address, ok
}
