package deployment

import (
	"fmt"

	"github.com/hornbeamworks/hornbeam/model"
)

// EntryInstance is one entry instance and its failure domain.
type EntryInstance struct {
	Name   string
	Domain model.DomainName
}

// EntryInstances returns the entry instances, assigned to the failure domains
// round-robin.
func (d *Deployment) EntryInstances() []EntryInstance {
	var all []EntryInstance
	for i := range d.Fleet.EntryInstances {
		domain := d.Fleet.Domains[i%len(d.Fleet.Domains)]
		all = append(all, EntryInstance{
			Name:   fmt.Sprintf("entry-%d", i+1),
			Domain: model.DomainName(domain),
		})
	}
	return all
}

// Endpoints returns the endpoints, assigned to the failure domains round-robin.
// The function address returns the address of all endpoints of a failure domain.
func (d *Deployment) Endpoints(address func(model.DomainName) string) []model.EndpointInfo {
	var all []model.EndpointInfo
	domains := len(d.Fleet.Domains)
	for i := range d.Workers.Count {
		domain := model.DomainName(d.Fleet.Domains[i%domains])
		position := i / domains
		all = append(all, model.EndpointInfo{
			ID:       model.EndpointID(fmt.Sprintf("%s-worker-%03d", domain, position+1)),
			Domain:   domain,
			Rack:     model.RackName(fmt.Sprintf("rack-%d", position/d.Workers.PerRack+1)),
			Address:  address(domain),
			Capacity: d.Workers.Capacity(),
		})
	}
	return all
}
