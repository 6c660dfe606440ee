package operate

import (
	"context"

	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// Spread is how far a version is in force in one failure domain.
type Spread string

// How far a version may be in force.
const (
	// InForce means that every process of the domain that answers acts by it.
	InForce Spread = "in force"
	// Spreading means that some process that answers does not act by it yet.
	Spreading Spread = "spreading"
	// CutOff means that no process of the domain answers: what it acts by is not
	// known. It accepts no work by key once its view is older than the promise.
	CutOff Spread = "cut off"
)

// DomainForce says how far a version is in force in one failure domain.
type DomainForce struct {
	// Domain is the failure domain.
	Domain model.DomainName `json:"domain"`
	// Spread says it in a word.
	Spread Spread `json:"spread"`
	// Acting counts the answering processes that act by the version, of
	// Answering.
	Acting    int `json:"acting"`
	Answering int `json:"answering"`
	// Behind are the addresses of answering processes that do not.
	Behind []string `json:"behind,omitempty"`
	// Silent are the addresses of processes that do not answer.
	Silent []string `json:"silent,omitempty"`
}

// Force says where a version is in force.
type Force struct {
	Refusal
	// Version is the version asked for.
	Version model.ConfigVersion `json:"version"`
	// Newest is the newest version that this process has.
	Newest model.ConfigVersion `json:"newest"`
	// Domains are the failure domains of the configuration.
	Domains []DomainForce `json:"domains"`
}

// forceRequest asks where a version is in force.
type forceRequest struct {
	Caller
	version model.ConfigVersion
	done    chan Force
}

// InForce returns where the version, or a newer one, is in force; 0 stands for
// the newest that this process has.
func (d *Desk) InForce(ctx context.Context, caller Caller, version model.ConfigVersion) Force {
	r := &forceRequest{Caller: caller, version: version, done: make(chan Force, 1)}
	return ask(ctx, d, r, r.done, refusedForce)
}

func (r *forceRequest) roles() []model.Role { return readers() }

func (r *forceRequest) serve(d *Desk, _ model.Key) {
	if d.options.Members == nil {
		r.refuse(result.HomeUnreachable, "this entry instance does not hear of the other processes")
		return
	}
	current := d.options.View.Current()
	if r.version == 0 {
		r.version = current.Version
	}
	force := Force{Refusal: Refusal{Code: result.OK}, Version: r.version, Newest: current.Version}
	members := d.options.Members()
	for _, domain := range current.Domains {
		force.Domains = append(force.Domains, domainForce(domain.Name, r.version, members))
	}
	r.done <- force
}

func (r *forceRequest) refuse(code result.Code, reason string) { r.done <- refusedForce(code, reason) }

func refusedForce(code result.Code, reason string) Force {
	return Force{Refusal: Refusal{Code: code, Reason: reason}}
}

// domainForce looks at the members of one failure domain. Those that left say
// nothing any more.
func domainForce(domain model.DomainName, version model.ConfigVersion, members []membership.Status) DomainForce {
	force := DomainForce{Domain: domain}
	for _, m := range members {
		if m.Member.Domain != domain || m.State == membership.Left {
			continue
		}
		force.add(m, version)
	}
	force.Spread = InForce
	if force.Acting < force.Answering {
		force.Spread = Spreading
	}
	if force.Answering == 0 {
		force.Spread = CutOff
	}
	return force
}

func (f *DomainForce) add(m membership.Status, version model.ConfigVersion) {
	if m.State != membership.Alive {
		f.Silent = append(f.Silent, m.Member.Address)
		return
	}
	f.Answering++
	if m.Member.Config >= version {
		f.Acting++
		return
	}
	f.Behind = append(f.Behind, m.Member.Address)
}
