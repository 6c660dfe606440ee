package main

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/routing"
)

// directory names the schedulers that the members know of, and after them those
// of the settings.
type directory struct {
	members  *membership.Directory
	settings routing.Addresses
}

// Candidates implements routing.Directory.
func (d directory) Candidates(domain model.DomainName) []string {
	var found []string
	for _, status := range d.members.Candidates(domain) {
		found = append(found, status.Member.Address)
	}
	for _, address := range d.settings[domain] {
		if !slices.Contains(found, address) {
			found = append(found, address)
		}
	}
	return found
}

// Holder implements routing.Directory.
func (d directory) Holder(shard model.ShardID) (string, bool) {
	status, _, known := d.members.Holder(shard)
	return status.Member.Address, known
}
