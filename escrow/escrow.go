package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// pollPeriod is the interval between polls of the ledger. Each poll is followed
	// by at most one write.
	pollPeriod = 400 * time.Millisecond
	// tableTimeout bounds each call to the table.
	tableTimeout = 900 * time.Millisecond
	// ringCapacity is the capacity of the duty's ring in messages. A full ring
	// rejects standings: the next ones supersede them.
	ringCapacity = 8
)

// Options are the parameters of an Escrow.
type Options struct {
	// Shard is the shard whose parts are managed.
	Shard model.ShardID
	// Epoch is the key and version of the shard's epoch row. Every write checks
	// it, so that a process that no longer holds the shard can't write.
	Epoch storage.Check
	// Table stores the ledger.
	Table storage.Table
	// Config returns the configuration in force, or nil when there is none yet: the
	// Current method of a config.View.
	Config func() *model.Config
	Clock  clock.Clock
	// SetPart posts a message to the shard duty that sets a team's part in its
	// scheduler, and reports whether the ring accepted it. It is called on the
	// escrow duty's thread and retried when the ring was full.
	SetPart func(team model.TeamName, part model.Resources) bool
}

// Escrow is the duty that manages the parts of one shard. Its calls to the table
// block only its own thread; no other duty waits for it.
type Escrow struct {
	options Options
	duty    *duty.Duty[standings]

	// The fields below are accessed only on the duty's thread.
	ledger  Ledger
	version storage.RowVersion
	// cached is set while ledger and version hold a row that was read or written
	// and no write has failed since.
	cached bool
	// unknownOutcomeBase is the row version on which a write with an unknown outcome
	// was based. Until the row has a newer version that write may still take
	// effect; partCaps holds the smallest parts that the ledger may then have.
	unknownOutcomeBase storage.RowVersion
	partCaps           map[model.TeamName]model.Resources
	latestStandings    map[model.TeamName]policy.TeamUsage
	// sentParts are the parts last sent to the scheduler.
	sentParts  map[model.TeamName]model.Resources
	nextPollAt time.Time
}

// standings is the message of the shard duty: its scheduler's standing for each
// team.
type standings struct{ teams []policy.TeamUsage }

// New returns an Escrow whose duty has not been started.
func New(options Options) *Escrow {
	e := &Escrow{
		options:         options,
		partCaps:        map[model.TeamName]model.Resources{},
		latestStandings: map[model.TeamName]policy.TeamUsage{},
		sentParts:       map[model.TeamName]model.Resources{},
	}
	e.duty = duty.New("escrow", ringCapacity, duty.HandlerFunc[standings](e.handle))
	return e
}

// Duties returns the duties to be started in the process's group.
func (e *Escrow) Duties() []duty.Runner { return []duty.Runner{e.duty} }

// Stop ends the duty. The shard's parts in the ledger stay unchanged.
func (e *Escrow) Stop() { e.duty.Stop() }

// OfferStandings offers the scheduler's standings to the duty and returns false when
// its ring is full. The caller must not use the slice afterwards. OfferStandings may
// be sent only once every endpoint of the shard has been adopted or its tasks
// have ended: until then the resources in use are unknown and the shard's parts
// must not shrink.
func (e *Escrow) OfferStandings(teams []policy.TeamUsage) bool {
	return e.duty.Offer(standings{teams: teams})
}

func (e *Escrow) handle(batch []standings) time.Duration {
	for _, s := range batch {
		for _, standing := range s.teams {
			e.latestStandings[standing.Team] = standing
		}
	}
	now := e.options.Clock.Now()
	if wait := e.nextPollAt.Sub(now); wait > 0 {
		return wait
	}
	e.nextPollAt = now.Add(pollPeriod)
	e.round()
	return pollPeriod
}

// round polls the ledger, sends the scheduler the resulting parts and writes the
// ledger when it changed.
func (e *Escrow) round() {
	current := e.options.Config()
	if current == nil || e.refresh() != nil {
		return
	}
	next := e.ledger.clone()
	write := e.plan(&next, current)
	if !write {
		return
	}
	next.Config = max(next.Config, current.Version)
	if e.commit(next) == nil {
		committed := e.ledger.clone()
		e.plan(&committed, current)
	}
}

// refresh reads the ledger unless the cached one is up to date. It reads the
// small stamp row first.
func (e *Escrow) refresh() error {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	if e.cached {
		stamp, err := e.options.Table.Get(ctx, StampKey)
		if err == nil && stamp.Version == e.version {
			return nil
		}
		if err != nil && !errors.Is(err, storage.ErrNotFound) {
			return eris.Wrap(err, "reading the ledger stamp")
		}
	}
	ledger, version, err := Read(ctx, e.options.Table)
	if err != nil {
		return err
	}
	e.applyLedger(ledger, version)
	return nil
}

// applyLedger replaces the cached ledger. Once the row has a newer version, a
// write with an unknown outcome can no longer take effect.
func (e *Escrow) applyLedger(ledger Ledger, version storage.RowVersion) {
	e.ledger, e.version, e.cached = ledger, version, true
	if version > e.unknownOutcomeBase {
		clear(e.partCaps)
	}
}

// plan updates next to the ledger to be written, sends the scheduler the parts
// that it may use, and reports whether next should be written.
func (e *Escrow) plan(next *Ledger, current *model.Config) bool {
	write := false
	for _, team := range allTeams(next, current) {
		limit := model.Resources{}
		if found, ok := current.Team(team); ok {
			limit = found.Limit
		}
		planner := e.newAccountPlanner(team, limit, current)
		planner.upToDate = next.Config <= current.Version
		d := planner.decide(next.ensureAccount(team))
		write = write || d.write
		e.sendPart(team, d.use)
	}
	return write
}

func (e *Escrow) newAccountPlanner(team model.TeamName, limit model.Resources, current *model.Config) *accountPlanner {
	planner := &accountPlanner{shard: e.options.Shard, limit: limit, inService: map[model.ShardID]bool{}}
	planner.standing, planner.hasStanding = e.latestStandings[team]
	planner.acknowledged = planner.hasStanding && planner.standing.Part == e.sentParts[team]
	for _, domain := range current.Domains {
		for number := range domain.Shards {
			shard := model.ShardID{Domain: domain.Name, Number: number}
			planner.shards = append(planner.shards, shard)
			planner.inService[shard] = !domain.Out
		}
	}
	return planner
}

// sendPart sends the scheduler the part that it may use, if it changed. The part
// is limited to the one in the ledger and to the one in a write whose outcome is
// unknown. The next part is sent only after a standing has shown the previous
// one: otherwise a standing that repeats an earlier value could be taken for the
// acknowledgement of a later one.
func (e *Escrow) sendPart(team model.TeamName, part model.Resources) {
	part = minResources(part, partOf(&e.ledger, team, e.options.Shard))
	if partCap, ok := e.partCaps[team]; ok {
		part = minResources(part, partCap)
	}
	sent, ok := e.sentParts[team]
	if ok && (sent == part || e.latestStandings[team].Part != sent) {
		return
	}
	if e.options.SetPart(team, part) {
		e.sentParts[team] = part
	}
}

// commit writes the ledger. When the outcome is unknown, the write may take
// effect until the row has another version.
func (e *Escrow) commit(next Ledger) error {
	raw, err := Encode(&next)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	err = e.options.Table.Commit(ctx, storage.Txn{
		Checks: []storage.Check{e.options.Epoch, {Key: LedgerKey, Version: e.version}},
		Writes: []storage.Write{{Key: LedgerKey, Value: raw}, {Key: StampKey}},
	})
	if err == nil {
		e.applyLedger(next, e.version+1)
		return nil
	}
	e.cached = false
	if !errors.Is(err, storage.ErrConflict) {
		e.recordUnknownOutcome(&next)
	}
	return eris.Wrap(err, "writing the ledger")
}

// recordUnknownOutcome records that the write of next may or may not take effect.
func (e *Escrow) recordUnknownOutcome(next *Ledger) {
	e.unknownOutcomeBase = e.version
	for _, account := range next.Accounts {
		part := partOf(next, account.Team, e.options.Shard)
		if partCap, ok := e.partCaps[account.Team]; ok {
			part = minResources(part, partCap)
		}
		e.partCaps[account.Team] = part
	}
}

// allTeams returns the teams of the configuration, and those of the ledger that
// still have parts.
func allTeams(ledger *Ledger, current *model.Config) []model.TeamName {
	var teams []model.TeamName
	configured := map[model.TeamName]bool{}
	for _, team := range current.Teams {
		teams = append(teams, team.Name)
		configured[team.Name] = true
	}
	for _, a := range ledger.Accounts {
		if !configured[a.Team] && !a.Parts().IsZero() {
			teams = append(teams, a.Team)
		}
	}
	return teams
}

// partOf returns the shard's part of the team's limit in the ledger; zero when it
// has none.
func partOf(ledger *Ledger, team model.TeamName, shard model.ShardID) model.Resources {
	account, _ := ledger.Account(team)
	for _, h := range account.Holdings {
		if h.Shard == shard {
			return h.Part
		}
	}
	return model.Resources{}
}

// minResources returns the smaller of a and b for each resource.
func minResources(a, b model.Resources) model.Resources {
	for r := range a {
		a[r] = min(a[r], b[r])
	}
	return a
}
