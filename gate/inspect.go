package gate

import (
	"context"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

// Account says where a request stands: its answer, or why it waits.
type Account struct {
	model.Answer
	// Explanation is there while the request is pending.
	Explanation *peer.Explanation `json:"explanation,omitempty"`
}

// ShardAccount is one shard in a Status.
type ShardAccount struct {
	// Shard is the shard.
	Shard string `json:"shard"`
	// Code is OK when the shard's holder answered.
	Code int `json:"code"`
	// Reason says why it did not.
	Reason string `json:"reason,omitempty"`
	// Status is what the holder said.
	Status *peer.ShardStatus `json:"status,omitempty"`
}

// Status is how the fleet stands, as one entry instance sees it.
type Status struct {
	// ConfigVersion is the version in force at the entry instance.
	ConfigVersion model.ConfigVersion `json:"config_version"`
	// Fresh says that the entry instance knows this to be the newest version.
	Fresh bool `json:"fresh"`
	// Classes, Teams and Domains are what operators have set. A submitter's
	// key sees its own team only.
	Classes []model.Class  `json:"classes"`
	Teams   []model.Team   `json:"teams"`
	Domains []model.Domain `json:"domains"`
	// Shards are the shards of all failure domains, those cut off included.
	Shards []ShardAccount `json:"shards"`
}

// Explain says where the request stands.
func (v *Visit) Explain(id model.RequestID) Account {
	if !v.known(id) {
		return Account{Answer: reading(result.Answer(id, result.UnknownRequest, "no request has this id"))}
	}
	outcome := v.call(id, methodExplain, false, 0, func(hops int) any {
		return peer.ExplainRequest{ID: id, Team: v.scope(), Hops: hops}
	})
	return Account{Answer: v.readingOutcome(id, outcome), Explanation: outcome.Reply.Explanation}
}

// Status asks the holders of all shards how they stand. A caller without a key
// is refused.
func (v *Visit) Status() (Status, *result.Error) {
	if !v.grant.keyed {
		return Status{}, &result.Error{Code: result.BadKey, Reason: "the status is shown by key only"}
	}
	config := v.grant.config
	status := Status{
		ConfigVersion: config.Version,
		Fresh:         v.gate.admission.view.Fresh(v.gate.clock.Now()),
		Classes:       config.Classes,
		Domains:       config.Domains,
	}
	for _, team := range config.Teams {
		if v.sees(team.Name) {
			status.Teams = append(status.Teams, team)
		}
	}
	for _, domain := range config.Domains {
		for number := range domain.Shards {
			shard := model.ShardID{Domain: domain.Name, Number: number}
			status.Shards = append(status.Shards, v.shardAccount(shard))
		}
	}
	return status, nil
}

func (v *Visit) shardAccount(shard model.ShardID) ShardAccount {
	account := ShardAccount{Shard: shard.String()}
	status, answered := v.gate.shardStatus(v.ctx, shard)
	if !answered {
		account.Code, account.Reason = int(result.HomeUnreachable), "the shard's holder does not answer"
		return account
	}
	account.Code, account.Status = int(result.OK), status
	account.Status.Teams = slices.DeleteFunc(account.Status.Teams, func(t peer.TeamStatus) bool { return !v.sees(t.Team) })
	return account
}

// shardStatus asks the holder of the shard how it stands; answered is false
// when it does not say.
func (g *Gate) shardStatus(ctx context.Context, shard model.ShardID) (status *peer.ShardStatus, answered bool) {
	outcome := g.callHolder(ctx, shard, methodStatus, false, 0, func(hops int) any {
		return peer.StatusRequest{Shard: shard, Hops: hops}
	})
	return outcome.Reply.Status, outcome.Reached && outcome.Reply.Status != nil
}

// scope is the team whose requests the visit sees; empty stands for all.
func (v *Visit) scope() model.TeamName {
	if v.grant.keyed && v.grant.key.Role != model.Submitter {
		return ""
	}
	return v.grant.team
}

// sees reports whether the visit may see the team: rivals share the fleet.
func (v *Visit) sees(team model.TeamName) bool {
	scope := v.scope()
	return scope == "" || scope == team
}
