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

// readTimeout bounds one read of the table.
const readTimeout = 3 * time.Second

// readers are the roles that may look.
func readers() []model.Role { return []model.Role{model.Operator, model.Auditor} }

// Refusal says why something is not shown; its code is OK when it is.
type Refusal struct {
	// Code is the numbered result.
	Code result.Code `json:"code"`
	// Reason says why, when Code is not OK.
	Reason string `json:"reason,omitempty"`
}

// Shown is the configuration in force, without the keys' hashes.
type Shown struct {
	Refusal
	// Config is the configuration.
	Config *model.Config `json:"config,omitempty"`
}

// showRequest asks for the configuration.
type showRequest struct {
	Caller
	done chan Shown
}

// Show returns the configuration in force.
func (d *Desk) Show(ctx context.Context, caller Caller) Shown {
	r := &showRequest{Caller: caller, done: make(chan Shown, 1)}
	return ask(ctx, d, r, r.done, refusedShow)
}

func (r *showRequest) roles() []model.Role { return readers() }

func (r *showRequest) serve(d *Desk, _ model.Key) {
	shown := *d.options.View.Current()
	shown.Keys = append([]model.Key(nil), shown.Keys...)
	for i := range shown.Keys {
		shown.Keys[i].Hash = ""
	}
	r.done <- Shown{Refusal: Refusal{Code: result.OK}, Config: &shown}
}

func (r *showRequest) refuse(code result.Code, reason string) { r.done <- refusedShow(code, reason) }

func refusedShow(code result.Code, reason string) Shown {
	return Shown{Refusal: Refusal{Code: code, Reason: reason}}
}

// Log is a piece of the audit log.
type Log struct {
	Refusal
	// Entries are the entries in the order of their versions.
	Entries []config.AuditEntry `json:"entries"`
}

// logRequest asks for a piece of the audit log.
type logRequest struct {
	Caller
	after model.ConfigVersion
	limit int
	done  chan Log
}

// Audit returns at most limit entries of versions above after.
func (d *Desk) Audit(ctx context.Context, caller Caller, after model.ConfigVersion, limit int) Log {
	r := &logRequest{Caller: caller, after: after, limit: limit, done: make(chan Log, 1)}
	return ask(ctx, d, r, r.done, refusedLog)
}

func (r *logRequest) roles() []model.Role { return readers() }

func (r *logRequest) serve(d *Desk, _ model.Key) {
	table := d.options.Table
	d.read(r, func(ctx context.Context) {
		entries, err := config.ReadAudit(ctx, table, r.after, r.limit)
		if err != nil {
			r.refuse(result.StoreUnavailable, "the table gave no answer")
			return
		}
		r.done <- Log{Refusal: Refusal{Code: result.OK}, Entries: entries}
	})
}

func (r *logRequest) refuse(code result.Code, reason string) { r.done <- refusedLog(code, reason) }

func refusedLog(code result.Code, reason string) Log {
	return Log{Refusal: Refusal{Code: code, Reason: reason}}
}

// TeamLimit says how far a team's limit is in force.
type TeamLimit struct {
	// Team is the team.
	Team model.TeamName `json:"team"`
	// Limit is what operators have set.
	Limit model.Resources `json:"limit"`
	// InForce is the most that the team may have running now: above Limit while
	// a lowered limit waits for running work to end.
	InForce model.Resources `json:"in_force"`
	// Used is what it had running when its shards last wrote.
	Used model.Resources `json:"used"`
}

// Limits are the limits of all teams.
type Limits struct {
	Refusal
	// Teams are the teams in the order of the configuration.
	Teams []TeamLimit `json:"teams"`
}

// limitsRequest asks for the limits of all teams.
type limitsRequest struct {
	Caller
	done chan Limits
}

// Limits returns how far each team's limit is in force.
func (d *Desk) Limits(ctx context.Context, caller Caller) Limits {
	r := &limitsRequest{Caller: caller, done: make(chan Limits, 1)}
	return ask(ctx, d, r, r.done, refusedLimits)
}

func (r *limitsRequest) roles() []model.Role { return readers() }

func (r *limitsRequest) serve(d *Desk, _ model.Key) {
	table, teams := d.options.Table, d.options.View.Current().Teams
	d.read(r, func(ctx context.Context) {
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

// read hands a blocking read to the reader, or refuses the request.
func (d *Desk) read(r request, what reading) {
	if !d.reader.Offer(what) {
		r.refuse(result.Busy, "the process has too many reads under way")
	}
}

// LedgerUsage returns what the teams have running by the ledger in the table,
// for the writer's check of lowered limits.
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
