package escrow_test

import (
	"context"
	"fmt"
	"maps"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/escrow"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/storage"
)

const team model.TeamName = "north"

// table is an in-memory table with injectable faults.
type table struct {
	rows map[string]storage.Row
	// fault is injected into the next commit.
	fault       fault
	unavailable bool
	// delayed are commits that have not reached the table yet.
	delayed []storage.Txn
	commits int
	bytes   int
}

// fault is a kind of failure of one commit.
type fault string

const (
	loseReply  fault = "lose reply"
	loseWrite  fault = "lose write"
	delayWrite fault = "delay write"
)

func (t *table) Get(_ context.Context, key string) (storage.Row, error) {
	if t.unavailable {
		return storage.Row{}, storage.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return storage.Row{}, storage.ErrNotFound
	}
	return row, nil
}

func (t *table) List(context.Context, string, string, int) ([]storage.Row, error) {
	return nil, storage.ErrUnavailable
}

func (t *table) Commit(_ context.Context, txn storage.Txn) error {
	injected := t.fault
	t.fault = ""
	if t.unavailable || injected == loseWrite {
		return storage.ErrUnavailable
	}
	if injected == delayWrite {
		t.delayed = append(t.delayed, txn)
		return storage.ErrUnavailable
	}
	err := t.apply(txn)
	if injected == loseReply {
		return storage.ErrUnavailable
	}
	return err
}

func (t *table) apply(txn storage.Txn) error {
	for _, check := range txn.Checks {
		if t.rows[check.Key].Version != check.Version {
			return storage.ErrConflict
		}
	}
	t.commits++
	for _, w := range txn.Writes {
		t.bytes += len(w.Value)
		t.rows[w.Key] = storage.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
	}
	return nil
}

// deliverDelayed applies the oldest delayed commit.
func (t *table) deliverDelayed() {
	if len(t.delayed) > 0 {
		_ = t.apply(t.delayed[0])
		t.delayed = t.delayed[1:]
	}
}

// holder is one process that took over a shard, with its escrow and its
// scheduler.
type holder struct {
	shard  model.ShardID
	escrow *escrow.Escrow
	// configIndex is the index of the configuration that the process has received.
	configIndex  int
	part         model.Resources
	queued       model.Resources
	pendingParts []model.Resources
	reports      [][]policy.TeamUsage
	adopted      bool
	fenced       bool
}

// fixture simulates shards, their holders, the endpoints and the table.
type fixture struct {
	clock   *clock.Manual
	table   *table
	limits  []model.Resources
	shards  []model.ShardID
	holders []*holder
	// running is what runs on the endpoints of each shard.
	running map[model.ShardID]model.Resources
}

func newFixture(limit model.Resources, shards int) *fixture {
	f := &fixture{
		clock:   clock.NewManual(time.Unix(1000, 0)),
		table:   &table{rows: map[string]storage.Row{}},
		limits:  []model.Resources{limit},
		running: map[model.ShardID]model.Resources{},
	}
	for i := range shards {
		f.shards = append(f.shards, model.ShardID{Domain: model.DomainName(rune('a' + i))})
	}
	for _, shard := range f.shards {
		f.takeOver(shard)
		f.adopt(shard)
	}
	return f
}

// config returns version i+1 of the configuration.
func (f *fixture) config(i int) *model.Config {
	c := &model.Config{Version: model.ConfigVersion(i + 1)}
	c.Teams = []model.Team{{Name: team, Share: 1, Limit: f.limits[i]}}
	for _, shard := range f.shards {
		c.Domains = append(c.Domains, model.Domain{Name: shard.Domain, Shards: 1})
	}
	return c
}

// takeOver raises the shard's epoch and adds a new holder, which has not adopted
// the endpoints yet.
func (f *fixture) takeOver(shard model.ShardID) {
	key := "shard/" + shard.String() + "/epoch"
	row := f.table.rows[key]
	f.table.rows[key] = storage.Row{Key: key, Version: row.Version + 1}
	h := &holder{shard: shard, configIndex: len(f.limits) - 1}
	h.escrow = escrow.New(escrow.Options{
		Shard: shard,
		Epoch: storage.Check{Key: key, Version: row.Version + 1},
		Table: f.table, Clock: f.clock,
		Config: func() *model.Config { return f.config(h.configIndex) },
		SetPart: func(_ model.TeamName, part model.Resources) bool {
			h.pendingParts = append(h.pendingParts, part)
			return true
		},
	})
	f.holders = append(f.holders, h)
}

// adopt fences the shard's previous holders; the newest one has then adopted all
// endpoints.
func (f *fixture) adopt(shard model.ShardID) {
	newest := f.holder(shard)
	for _, h := range f.holders {
		if h.shard == shard {
			h.fenced = h != newest
		}
	}
	newest.adopted = true
}

// holder returns the newest holder of the shard.
func (f *fixture) holder(shard model.ShardID) *holder {
	for i := len(f.holders) - 1; i >= 0; i-- {
		if f.holders[i].shard == shard {
			return f.holders[i]
		}
	}
	return nil
}

// updateConfig delivers the newest configuration to the holder's process.
func (f *fixture) updateConfig(h *holder) { h.configIndex = len(f.limits) - 1 }

// reportStanding queues the scheduler's current standing as a report to the
// escrow.
func (f *fixture) reportStanding(h *holder) {
	if !h.adopted {
		return
	}
	standing := policy.TeamUsage{Team: team, Running: f.running[h.shard], Queued: h.queued, Part: h.part}
	h.reports = append(h.reports, []policy.TeamUsage{standing})
}

// applyNextPart applies the next part that was sent to the holder's scheduler.
func (h *holder) applyNextPart() {
	if len(h.pendingParts) > 0 {
		h.part = h.pendingParts[0]
		h.pendingParts = h.pendingParts[1:]
	}
}

// pollEscrow delivers up to n reports to the holder's escrow and lets it poll the
// ledger once.
func (f *fixture) pollEscrow(h *holder, n int) {
	n = min(n, len(h.reports))
	h.escrow.Step(h.reports[:n]...)
	h.reports = h.reports[n:]
}

// startTasks starts up to n tasks of the size, as far as the holder's scheduler
// may.
func (f *fixture) startTasks(h *holder, size model.Resources, n int) {
	for range n {
		after := f.running[h.shard].Add(size)
		if h.fenced || !h.adopted || !after.Fits(h.part) || !size.Fits(h.queued) {
			return
		}
		f.running[h.shard] = after
		h.queued = h.queued.Sub(size)
	}
}

// finishTask ends one task of the size in the shard, if one is running.
func (f *fixture) finishTask(shard model.ShardID, size model.Resources) {
	if size.Fits(f.running[shard]) {
		f.running[shard] = f.running[shard].Sub(size)
	}
}

// ledgerAccount returns the team's account in the table.
func (f *fixture) ledgerAccount() escrow.Account {
	row, ok := f.table.rows[escrow.LedgerKey]
	if !ok {
		return escrow.Account{}
	}
	ledger, err := escrow.Decode(row.Value)
	if err != nil {
		panic(err)
	}
	account, _ := ledger.Account(team)
	return account
}

// parts returns the parts in the table, by shard.
func (f *fixture) parts() map[model.ShardID]model.Resources {
	found := map[model.ShardID]model.Resources{}
	for _, h := range f.ledgerAccount().Holdings {
		found[h.Shard] = h.Part
	}
	return found
}

// maxAllowedLimit returns the largest limit that a process which is not fenced
// may still use.
func (f *fixture) maxAllowedLimit() model.Resources {
	oldest := len(f.limits) - 1
	for _, h := range f.holders {
		if !h.fenced {
			oldest = min(oldest, h.configIndex)
		}
	}
	var most model.Resources
	for _, limit := range f.limits[oldest:] {
		most = most.Max(limit)
	}
	return most
}

// checkInvariants returns the sum of the parts and the violation found; empty
// when there is none. before is the sum at the previous check.
func (f *fixture) checkInvariants(before model.Resources) (sum model.Resources, violation string) {
	account := f.ledgerAccount()
	parts := f.parts()
	sum = account.Parts()
	if !sum.Fits(f.maxAllowedLimit().Max(before)) {
		return sum, fmt.Sprintf("the sum of the parts is %v, above the limit %v and the previous sum %v", sum, f.maxAllowedLimit(), before)
	}
	for shard, running := range maps.All(f.running) {
		if !running.Fits(parts[shard]) {
			return sum, fmt.Sprintf("shard %v runs %v, above its part %v", shard, running, parts[shard])
		}
	}
	for _, h := range f.holders {
		if !h.fenced && !h.part.Fits(parts[h.shard]) {
			return sum, fmt.Sprintf("the scheduler of shard %v may use %v, above its part %v", h.shard, h.part, parts[h.shard])
		}
	}
	return sum, ""
}
