package operate

import (
	"context"

	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
)

// RolloutState is the state of a version's rollout in one failure domain.
type RolloutState string

// The states of a rollout.
const (
	// InForce means that every responding process of the domain acts on the
	// version.
	InForce RolloutState = "in force"
	// Spreading means that at least one responding process does not act on the
	// version yet.
	Spreading RolloutState = "spreading"
	// Unreachable means that no process of the domain responds, so that the version
	// it acts on is unknown. Its processes accept no work that is authenticated
	// by a key once their view of the configuration is stale.
	Unreachable RolloutState = "cut off"
)

// DomainRollout is the rollout of a version in one failure domain.
type DomainRollout struct {
	Domain model.DomainName `json:"domain"`
	// Spread summarizes the fields below.
	Spread RolloutState `json:"spread"`
	// Acting is the number of processes that act on the version, out of
	// Answering processes that respond.
	Acting    int `json:"acting"`
	Answering int `json:"answering"`
	// Behind are the addresses of responding processes that act on an older
	// version.
	Behind []string `json:"behind,omitempty"`
	// Silent are the addresses of processes that do not respond.
	Silent []string `json:"silent,omitempty"`
}

// RolloutReply is the reply with the rollout of a version.
type RolloutReply struct {
	Refusal
	// Version is the requested version.
	Version model.ConfigVersion `json:"version"`
	// Newest is the newest version that this process has received.
	Newest model.ConfigVersion `json:"newest"`
	// Domains are in the order of the configuration.
	Domains []DomainRollout `json:"domains"`
}

// forceRequest requests the rollout of a version.
type forceRequest struct {
	Caller
	version model.ConfigVersion
	done    chan RolloutReply
}

// InForce returns in which failure domains the version, or a newer one, is in
// force. 0 stands for the newest version that this process has received.
func (d *Service) InForce(ctx context.Context, caller Caller, version model.ConfigVersion) RolloutReply {
	r := &forceRequest{Caller: caller, version: version, done: make(chan RolloutReply, 1)}
	return call(ctx, d, r, r.done, refusedForce)
}

func (r *forceRequest) allowedRoles() []model.Role { return readRoles() }

func (r *forceRequest) serve(d *Service, _ model.Key) {
	if d.options.Members == nil {
		r.refuse(result.HomeUnreachable, "this entry instance does not hear of the other processes")
		return
	}
	current := d.options.View.Current()
	if r.version == 0 {
		r.version = current.Version
	}
	force := RolloutReply{Refusal: Refusal{Code: result.OK}, Version: r.version, Newest: current.Version}
	members := d.options.Members()
	for _, domain := range current.Domains {
		force.Domains = append(force.Domains, domainForce(domain.Name, r.version, members))
	}
	r.done <- force
}

func (r *forceRequest) refuse(code result.Code, reason string) { r.done <- refusedForce(code, reason) }

func refusedForce(code result.Code, reason string) RolloutReply {
	return RolloutReply{Refusal: Refusal{Code: code, Reason: reason}}
}

// domainForce evaluates the members of one failure domain. Members that have left
// are ignored.
func domainForce(domain model.DomainName, version model.ConfigVersion, members []membership.Status) DomainRollout {
	force := DomainRollout{Domain: domain}
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
		force.Spread = Unreachable
	}
	return force
}

func (f *DomainRollout) add(m membership.Status, version model.ConfigVersion) {
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
