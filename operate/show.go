package operate

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/escrow"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

// readTimeout limits one read of the table.
const readTimeout = 3 * time.Second

// readRoles returns the roles that may make read requests.
func readRoles() []model.Role { return []model.Role{model.Operator, model.Auditor} }

// Refusal is the result of a request, embedded in each reply. Its code is OK when
// the request was served.
type Refusal struct {
	// Code is the numbered result.
	Code result.Code `json:"code"`
	// Reason explains a Code other than OK.
	Reason string `json:"reason,omitempty"`
}

// ConfigReply is the reply with the configuration in force, without the keys' hashes.
type ConfigReply struct {
	Refusal
	// Config is nil when the request was refused.
	Config *model.Config `json:"config,omitempty"`
}

// showRequest requests the configuration.
type showRequest struct {
	Caller
	done chan ConfigReply
}

// Show returns the configuration in force.
func (d *Service) Show(ctx context.Context, caller Caller) ConfigReply {
	r := &showRequest{Caller: caller, done: make(chan ConfigReply, 1)}
	return call(ctx, d, r, r.done, refusedShow)
}

func (r *showRequest) allowedRoles() []model.Role { return readRoles() }

func (r *showRequest) serve(d *Service, _ model.Key) {
	shown := *d.options.View.Current()
	shown.Keys = append([]model.Key(nil), shown.Keys...)
	for i := range shown.Keys {
		shown.Keys[i].Hash = ""
	}
	r.done <- ConfigReply{Refusal: Refusal{Code: result.OK}, Config: &shown}
}

func (r *showRequest) refuse(code result.Code, reason string) { r.done <- refusedShow(code, reason) }

func refusedShow(code result.Code, reason string) ConfigReply {
	return ConfigReply{Refusal: Refusal{Code: code, Reason: reason}}
}

// AuditReply is the reply with entries of the audit log.
type AuditReply struct {
	Refusal
	// Entries are in ascending order of versions.
	Entries []config.AuditEntry `json:"entries"`
}

// auditRequest requests entries of the audit log.
type auditRequest struct {
	Caller
	after model.ConfigVersion
	limit int
	done  chan AuditReply
}

// Audit returns at most limit entries of the audit log with a version above
// after.
func (d *Service) Audit(ctx context.Context, caller Caller, after model.ConfigVersion, limit int) AuditReply {
	r := &auditRequest{Caller: caller, after: after, limit: limit, done: make(chan AuditReply, 1)}
	return call(ctx, d, r, r.done, refusedAudit)
}

func (r *auditRequest) allowedRoles() []model.Role { return readRoles() }

func (r *auditRequest) serve(d *Service, _ model.Key) {
	table := d.options.Table
	d.submitRead(r, func(ctx context.Context) {
		entries, err := config.ReadAudit(ctx, table, r.after, r.limit)
		if err != nil {
			r.refuse(result.StoreUnavailable, "the table gave no answer")
			return
		}
		r.done <- AuditReply{Refusal: Refusal{Code: result.OK}, Entries: entries}
	})
}

func (r *auditRequest) refuse(code result.Code, reason string) { r.done <- refusedAudit(code, reason) }

func refusedAudit(code result.Code, reason string) AuditReply {
	return AuditReply{Refusal: Refusal{Code: code, Reason: reason}}
}

// TeamLimit is the configured and the enforced limit of a team, and its usage.
type TeamLimit struct {
	Team model.TeamName `json:"team"`
	// Limit is the limit in the configuration.
	Limit model.Resources `json:"limit"`
	// InForce is the limit that is enforced now. It is above Limit while a
	// lowered limit waits for running work to end.
	InForce model.Resources `json:"in_force"`
	// Used is the usage that the team's shards recorded last.
	Used model.Resources `json:"used"`
}

// Limits is the reply with the limits of all teams.
type Limits struct {
	Refusal
	// Teams are in the order of the configuration.
	Teams []TeamLimit `json:"teams"`
}

// limitsRequest requests the limits of all teams.
type limitsRequest struct {
	Caller
	done chan Limits
}

// Limits returns the configured and the enforced limit of each team, and its
// usage.
func (d *Service) Limits(ctx context.Context, caller Caller) Limits {
	r := &limitsRequest{Caller: caller, done: make(chan Limits, 1)}
	return call(ctx, d, r, r.done, refusedLimits)
}

func (r *limitsRequest) allowedRoles() []model.Role { return readRoles() }

func (r *limitsRequest) serve(d *Service, _ model.Key) {
	table, teams := d.options.Table, d.options.View.Current().Teams
	d.submitRead(r, func(ctx context.Context) {
		ledger, _, err := escrow.Read(ctx, table)
		if err != nil {
			r.refuse(result.StoreUnavailable, "the table gave no answer")
			return
		}
		limits := Limits{Refusal: Refusal{Code: result.OK}}
		for _, team := range teams {
			account, _ := ledger.Account(team.Name)
			limits.Teams = append(limits.Teams, TeamLimit{
				Team: team.Name, Limit: team.Limit, InForce: account.Parts(), Used: account.Used(),
			})
		}
		r.done <- limits
	})
}

func (r *limitsRequest) refuse(code result.Code, reason string) {
	r.done <- refusedLimits(code, reason)
}

func refusedLimits(code result.Code, reason string) Limits {
	return Limits{Refusal: Refusal{Code: code, Reason: reason}}
}

// submitRead posts a blocking read to the reader's ring. It refuses the request
// when the ring is full.
func (d *Service) submitRead(r request, read tableRead) {
	if !d.reader.Offer(read) {
		r.refuse(result.Busy, "the process has too many reads under way")
	}
}

// LedgerUsage returns a function that reads the teams' usage from the ledger in
// the table. The configuration's writer uses it to check lowered limits.
func LedgerUsage(table storage.Table) func(ctx context.Context) (config.Usage, error) {
	return func(ctx context.Context) (config.Usage, error) {
		ledger, _, err := escrow.Read(ctx, table)
		if err != nil {
			return nil, err
		}
		usage := config.Usage{}
		for _, account := range ledger.Accounts {
			usage[account.Team] = account.Used()
		}
		return usage, nil
	}
}
