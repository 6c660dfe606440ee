package gate

import (
	"context"
	"slices"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

// RequestReport is the state of a request: its answer, or why it waits.
type RequestReport struct {
	model.Answer
	// Explanation is set while the request is pending.
	Explanation *peer.Explanation `json:"explanation,omitempty"`
}

// ShardReport is the state of one shard in a Status.
type ShardReport struct {
	// Shard is the shard's id, as ShardID.String formats it.
	Shard string `json:"shard"`
	// Code is OK when the shard's holder replied.
	Code int `json:"code"`
	// Reason is set when Code is not OK.
	Reason string `json:"reason,omitempty"`
	// Status is the holder's reply; nil when Code is not OK.
	Status *peer.ShardStatus `json:"status,omitempty"`
}

// Status is the state of the fleet as seen by one entry instance.
type Status struct {
	// ConfigVersion is the version in force at the entry instance.
	ConfigVersion model.ConfigVersion `json:"config_version"`
	// Fresh is set when the entry instance's view of the configuration is up to
	// date.
	Fresh bool `json:"fresh"`
	// Classes, Teams and Domains are the configuration set by operators. For a
	// submitter's key, Teams has only the key's own team.
	Classes []model.Class  `json:"classes"`
	Teams   []model.Team   `json:"teams"`
	Domains []model.Domain `json:"domains"`
	// Shards are the shards of all failure domains, including unreachable ones.
	Shards []ShardReport `json:"shards"`
}

// Explain returns the answer to the request, or why it waits.
func (c *Call) Explain(id model.RequestID) RequestReport {
	if !c.homeExists(id) {
		return RequestReport{Answer: withUnknownRan(result.Answer(id, result.UnknownRequest, "no request has this id"))}
	}
	outcome := c.callHome(id, methodExplain, false, 0, func(hops int) any {
		return peer.ExplainRequest{ID: id, Team: c.scope(), Hops: hops}
	})
	return RequestReport{Answer: c.readAnswer(id, outcome), Explanation: outcome.Reply.Explanation}
}

// Status queries the holders of all shards, one after the other. A caller
// without a key is refused.
func (c *Call) Status() (Status, *result.Error) {
	if !c.grant.hasKey {
		return Status{}, &result.Error{Code: result.BadKey, Reason: "the status is shown by key only"}
	}
	config := c.grant.config
	status := Status{
		ConfigVersion: config.Version,
		Fresh:         c.gate.admission.view.Fresh(c.gate.clock.Now()),
		Classes:       config.Classes,
		Domains:       config.Domains,
	}
	for _, team := range config.Teams {
		if c.maySee(team.Name) {
			status.Teams = append(status.Teams, team)
		}
	}
	for _, domain := range config.Domains {
		for number := range domain.Shards {
			shard := model.ShardID{Domain: domain.Name, Number: number}
			status.Shards = append(status.Shards, c.shardReport(shard))
		}
	}
	return status, nil
}

func (c *Call) shardReport(shard model.ShardID) ShardReport {
	report := ShardReport{Shard: shard.String()}
	status, answered := c.gate.shardStatus(c.ctx, shard)
	if !answered {
		report.Code, report.Reason = int(result.HomeUnreachable), "the shard's holder does not answer"
		return report
	}
	report.Code, report.Status = int(result.OK), status
	report.Status.Teams = slices.DeleteFunc(report.Status.Teams, func(t peer.TeamStatus) bool { return !c.maySee(t.Team) })
	return report
}

// shardStatus queries the holder of the shard; answered is false when no status
// was returned.
func (g *Gate) shardStatus(ctx context.Context, shard model.ShardID) (status *peer.ShardStatus, answered bool) {
	outcome := g.callHolder(ctx, shard, methodStatus, false, 0, func(hops int) any {
		return peer.StatusRequest{Shard: shard, Hops: hops}
	})
	return outcome.Reply.Status, outcome.Reached && outcome.Reply.Status != nil
}

// scope returns the team whose requests the caller may see; empty means all
// teams.
func (c *Call) scope() model.TeamName {
	if c.grant.hasKey && c.grant.key.Role != model.Submitter {
		return ""
	}
	return c.grant.team
}

// maySee reports whether the caller may see the team. Competing teams share the
// fleet, so a submitter sees only its own.
func (c *Call) maySee(team model.TeamName) bool {
	scope := c.scope()
	return scope == "" || scope == team
}
