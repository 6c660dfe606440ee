package config

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
)

// ServeDomain takes a failure domain out of service or brings it back.
type ServeDomain struct {
	// Name is the failure domain.
	Name model.DomainName
	// Out takes it out.
	Out bool
}

// Item names the failure domain.
func (e ServeDomain) Item() string { return "failure domain " + string(e.Name) }

// Summary says which of the two it is.
func (e ServeDomain) Summary() string { return service(e.Out) }

// Apply changes the failure domain.
func (e ServeDomain) Apply(config *model.Config) error {
	at := slices.IndexFunc(config.Domains, func(d model.Domain) bool { return d.Name == e.Name })
	if at < 0 {
		return rejected("there is no %s", e.Item())
	}
	config.Domains[at].Out = e.Out
	return nil
}

// ServeRack takes a rack out of service or brings it back.
type ServeRack struct {
	// Rack is the rack.
	Rack model.RackRef
	// Out takes it out.
	Out bool
}

// Item names the rack.
func (e ServeRack) Item() string {
	return "rack " + string(e.Rack.Domain) + "/" + string(e.Rack.Rack)
}

// Summary says which of the two it is.
func (e ServeRack) Summary() string { return service(e.Out) }

// Apply changes the list of racks that are out.
func (e ServeRack) Apply(config *model.Config) error {
	config.RacksOut = serve(config.RacksOut, e.Rack, e.Out)
	return nil
}

// ServeEndpoint takes an endpoint out of service or brings it back.
type ServeEndpoint struct {
	// ID is the endpoint.
	ID model.EndpointID
	// Out takes it out.
	Out bool
}

// Item names the endpoint.
func (e ServeEndpoint) Item() string { return "endpoint " + string(e.ID) }

// Summary says which of the two it is.
func (e ServeEndpoint) Summary() string { return service(e.Out) }

// Apply changes the list of endpoints that are out.
func (e ServeEndpoint) Apply(config *model.Config) error {
	config.EndpointsOut = serve(config.EndpointsOut, e.ID, e.Out)
	return nil
}

// serve returns the list with the element on it exactly when it is out.
func serve[E comparable](out []E, element E, isOut bool) []E {
	out = slices.DeleteFunc(out, func(other E) bool { return other == element })
	if isOut {
		out = append(out, element)
	}
	return out
}

func service(out bool) string {
	if out {
		return "taken out of service"
	}
	return "brought back into service"
}
