package deployment

import (
	"fmt"

	"github.com/hornbeamworks/hornbeam/model"
)

// EntryInstance is the place of one entry instance.
type EntryInstance struct {
	// Name names the entry instance.
	Name string
	// Domain is its failure domain.
	Domain model.DomainName
}

// EntryInstances spreads the entry instances over the failure domains.
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

// Endpoints returns the endpoints of the deployment, spread over the failure
// domains, with the addresses that address gives to each domain.
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
