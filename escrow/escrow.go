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
	// period is the time from one look at the ledger, and one write at most, to
	// the next.
	period = 400 * time.Millisecond
	// tableTimeout bounds one call of the table.
	tableTimeout = 900 * time.Millisecond
	// dutyRing is the capacity of the duty's ring. A full ring refuses: the next
	// standings say the same or better.
	dutyRing = 8
)

// Options are what an Escrow is made of.
type Options struct {
	// Shard is the shard whose parts are kept.
	Shard model.ShardID
	// Epoch is the condition that the shard is still held: the key and version
	// of its epoch row. Every write checks it.
	Epoch storage.Check
	// Table holds the ledger.
	Table storage.Table
	// Config returns the configuration in force, or nil: a config.View's Current.
	Config func() *model.Config
	// Clock is the process's clock.
	Clock clock.Clock
	// SetPart puts the message on the shard duty's ring that sets the part of a
	// team in its scheduler, and reports whether it fitted. It is called on the
	// escrow duty's thread, and again when it did not fit.
	SetPart func(team model.TeamName, part model.Resources) bool
}

// Escrow is the duty that keeps one shard's parts. Its calls of the table block
// it, and nobody waits for it.
type Escrow struct {
	options Options
	duty    *duty.Duty[standings]

	// The fields below belong to the duty.
	ledger  Ledger
	version storage.RowVersion
	read    bool
	// doubt is the base of a write whose outcome is not known. Until the row has
	// a newer version that write may still take effect, and caps holds the
	// smallest parts that the ledger may then show.
	doubt  storage.RowVersion
	caps   map[model.TeamName]model.Resources
	latest map[model.TeamName]policy.Standing
	told   map[model.TeamName]model.Resources
	nextAt time.Time
}

// standings is the message of the shard duty: what its scheduler says of every
// team.
type standings struct{ teams []policy.Standing }

// New returns an escrow that has not started.
func New(options Options) *Escrow {
	e := &Escrow{
		options: options,
		caps:    map[model.TeamName]model.Resources{},
		latest:  map[model.TeamName]policy.Standing{},
		told:    map[model.TeamName]model.Resources{},
	}
	e.duty = duty.New("escrow", dutyRing, duty.HandlerFunc[standings](e.handle))
	return e
}

// Duties returns the duties to be started in the process's group.
func (e *Escrow) Duties() []duty.Runner { return []duty.Runner{e.duty} }

// Stop ends the duty; the shard's parts stay as they are.
func (e *Escrow) Stop() { e.duty.Stop() }

// Standings hands over what the shard's scheduler says of its teams; the slice
// is not kept by the caller. They are sent only once every endpoint of the
// shard is adopted or its tasks have ended: until then what the shard runs is
// not known and its part must not shrink. False means that the ring is full.
func (e *Escrow) Standings(teams []policy.Standing) bool {
	return e.duty.Offer(standings{teams: teams})
}

func (e *Escrow) handle(batch []standings) time.Duration {
	for _, s := range batch {
		for _, standing := range s.teams {
			e.latest[standing.Team] = standing
		}
	}
	now := e.options.Clock.Now()
	if wait := e.nextAt.Sub(now); wait > 0 {
		return wait
	}
	e.nextAt = now.Add(period)
	e.round()
	return period
}

// round looks at the ledger, tells the scheduler what follows and writes.
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
		after := e.ledger.clone()
		e.plan(&after, current)
	}
}

// refresh reads the ledger when it is not the one that is known.
func (e *Escrow) refresh() error {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	if e.read {
		stamp, err := e.options.Table.Get(ctx, StampKey)
		if err == nil && stamp.Version == e.version {
			return nil
		}
		if err != nil && !errors.Is(err, storage.ErrNotFound) {
			return eris.Wrap(err, "reading the ledger's stamp")
		}
	}
	ledger, version, err := Read(ctx, e.options.Table)
	if err != nil {
		return err
	}
	e.take(ledger, version)
	return nil
}

// take replaces the known ledger. A newer version settles what was in doubt.
func (e *Escrow) take(ledger Ledger, version storage.RowVersion) {
	e.ledger, e.version, e.read = ledger, version, true
	if version > e.doubt {
		clear(e.caps)
	}
}

// plan changes next to what is to be written, tells the scheduler which parts
// it may use, and reports whether next is worth a write.
func (e *Escrow) plan(next *Ledger, current *model.Config) bool {
	write := false
	for _, team := range teamsOf(next, current) {
		limit := model.Resources{}
		if found, ok := current.Team(team); ok {
			limit = found.Limit
		}
		a := e.account(team, limit, current)
		a.upToDate = next.Config <= current.Version
		d := a.decide(next.open(team))
		write = write || d.write
		e.use(team, d.use)
	}
	return write
}

func (e *Escrow) account(team model.TeamName, limit model.Resources, current *model.Config) *account {
	a := &account{shard: e.options.Shard, limit: limit, inService: map[model.ShardID]bool{}}
	a.standing, a.known = e.latest[team]
	a.acknowledged = a.known && a.standing.Part == e.told[team]
	for _, domain := range current.Domains {
		for number := range domain.Shards {
			shard := model.ShardID{Domain: domain.Name, Number: number}
			a.shards = append(a.shards, shard)
			a.inService[shard] = !domain.Out
		}
	}
	return a
}

// use tells the scheduler the part that it may use, unless it knows. It is at
// most the part in the ledger and in a write in doubt. The next part is told
// only after a standing has shown the last one, so that a standing never
// stands for a part that was told before another.
func (e *Escrow) use(team model.TeamName, part model.Resources) {
	part = lowest(part, partOf(&e.ledger, team, e.options.Shard))
	if limit, doubtful := e.caps[team]; doubtful {
		part = lowest(part, limit)
	}
	told, before := e.told[team]
	if before && (told == part || e.latest[team].Part != told) {
		return
	}
	if e.options.SetPart(team, part) {
		e.told[team] = part
	}
}

// commit writes the ledger. After an unknown outcome the written ledger is in
// doubt until the row has another version.
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
		e.take(next, e.version+1)
		return nil
	}
	e.read = false
	if !errors.Is(err, storage.ErrConflict) {
		e.doubtful(&next)
	}
	return eris.Wrap(err, "writing the ledger")
}

// doubtful notes a write that may or may not take effect.
func (e *Escrow) doubtful(next *Ledger) {
	e.doubt = e.version
	for _, account := range next.Accounts {
		part := partOf(next, account.Team, e.options.Shard)
		if known, ok := e.caps[account.Team]; ok {
			part = lowest(part, known)
		}
		e.caps[account.Team] = part
	}
}

// teamsOf returns the teams of the configuration and of the ledger.
func teamsOf(ledger *Ledger, current *model.Config) []model.TeamName {
	var teams []model.TeamName
	known := map[model.TeamName]bool{}
	for _, team := range current.Teams {
		teams = append(teams, team.Name)
		known[team.Name] = true
	}
	for _, a := range ledger.Accounts {
		if !known[a.Team] && !a.Parts().IsZero() {
			teams = append(teams, a.Team)
		}
	}
	return teams
}

// partOf returns the shard's part of the team's limit in the ledger.
func partOf(ledger *Ledger, team model.TeamName, shard model.ShardID) model.Resources {
	account, _ := ledger.Account(team)
	for _, h := range account.Holdings {
		if h.Shard == shard {
			return h.Part
		}
	}
	return model.Resources{}
}

func lowest(a, b model.Resources) model.Resources {
	for r := range a {
		a[r] = min(a[r], b[r])
	}
	return a
}
