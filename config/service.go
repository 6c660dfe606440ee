package config

import (
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
)

// ServeDomain takes a failure domain out of service or brings it back.
type ServeDomain struct {
	Name model.DomainName
	// Out takes the failure domain out of service; false brings it back.
	Out bool
}

func (e ServeDomain) Item() string { return "failure domain " + string(e.Name) }

func (e ServeDomain) Summary() string { return serviceSummary(e.Out) }

// Apply sets whether the failure domain is out of service. It returns a
// *result.Error with code ChangeRejected for an unknown failure domain.
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
	Rack model.RackRef
	// Out takes the rack out of service; false brings it back.
	Out bool
}

func (e ServeRack) Item() string {
	return "rack " + string(e.Rack.Domain) + "/" + string(e.Rack.Rack)
}

func (e ServeRack) Summary() string { return serviceSummary(e.Out) }

// Apply adds the rack to the racks that are out of service, or removes it.
func (e ServeRack) Apply(config *model.Config) error {
	config.RacksOut = setOut(config.RacksOut, e.Rack, e.Out)
	return nil
}

// ServeEndpoint takes an endpoint out of service or brings it back.
type ServeEndpoint struct {
	ID model.EndpointID
	// Out takes the endpoint out of service; false brings it back.
	Out bool
}

func (e ServeEndpoint) Item() string { return "endpoint " + string(e.ID) }

func (e ServeEndpoint) Summary() string { return serviceSummary(e.Out) }

// Apply adds the endpoint to the endpoints that are out of service, or removes it.
func (e ServeEndpoint) Apply(config *model.Config) error {
	config.EndpointsOut = setOut(config.EndpointsOut, e.ID, e.Out)
	return nil
}

// setOut returns the list of elements out of service, with element included
// exactly when isOut is set.
func setOut[E comparable](out []E, element E, isOut bool) []E {
	out = slices.DeleteFunc(out, func(other E) bool { return other == element })
	if isOut {
		out = append(out, element)
	}
	return out
}

func serviceSummary(out bool) string {
	if out {
		return "taken out of service"
	}
	return "brought back into service"
}
