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

// table is a table whose commits are lost, held back or refused on demand.
type table struct {
	rows map[string]storage.Row
	// fault is what happens to the next commit.
	fault fault
	down  bool
	// held are commits that are still on their way.
	held    []storage.Txn
	commits int
	bytes   int
}

// fault is a fault of one commit.
type fault string

const (
	loseReply fault = "lose reply"
	loseWrite fault = "lose write"
	holdBack  fault = "hold back"
)

func (t *table) Get(_ context.Context, key string) (storage.Row, error) {
	if t.down {
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
	met := t.fault
	t.fault = ""
	if t.down || met == loseWrite {
		return storage.ErrUnavailable
	}
	if met == holdBack {
		t.held = append(t.held, txn)
		return storage.ErrUnavailable
	}
	err := t.apply(txn)
	if met == loseReply {
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

// arrive lets the first commit that is on its way take effect.
func (t *table) arrive() {
	if len(t.held) > 0 {
		_ = t.apply(t.held[0])
		t.held = t.held[1:]
	}
}

// holder is one process's hold of a shard: its escrow and its scheduler.
type holder struct {
	shard   model.ShardID
	escrow  *escrow.Escrow
	heard   int
	part    model.Resources
	queued  model.Resources
	orders  []model.Resources
	reports [][]policy.Standing
	adopted bool
	fenced  bool
}

// world is some shards, their holders, the endpoints' truth and the table.
type world struct {
	clock   *clock.Manual
	table   *table
	limits  []model.Resources
	shards  []model.ShardID
	holders []*holder
	running map[model.ShardID]model.Resources
}

func newWorld(limit model.Resources, shards int) *world {
	w := &world{
		clock:   clock.NewManual(time.Unix(1000, 0)),
		table:   &table{rows: map[string]storage.Row{}},
		limits:  []model.Resources{limit},
		running: map[model.ShardID]model.Resources{},
	}
	for i := range shards {
		w.shards = append(w.shards, model.ShardID{Domain: model.DomainName(rune('a' + i))})
	}
	for _, shard := range w.shards {
		w.takeOver(shard)
		w.adopt(shard)
	}
	return w
}

// config is version i+1 of the configuration.
func (w *world) config(i int) *model.Config {
	c := &model.Config{Version: model.ConfigVersion(i + 1)}
	c.Teams = []model.Team{{Name: team, Share: 1, Limit: w.limits[i]}}
	for _, shard := range w.shards {
		c.Domains = append(c.Domains, model.Domain{Name: shard.Domain, Shards: 1})
	}
	return c
}

// takeOver raises the shard's epoch and gives it another holder, which has not
// adopted the endpoints yet.
func (w *world) takeOver(shard model.ShardID) {
	key := "shard/" + shard.String() + "/epoch"
	row := w.table.rows[key]
	w.table.rows[key] = storage.Row{Key: key, Version: row.Version + 1}
	h := &holder{shard: shard, heard: len(w.limits) - 1}
	h.escrow = escrow.New(escrow.Options{
		Shard: shard,
		Epoch: storage.Check{Key: key, Version: row.Version + 1},
		Table: w.table, Clock: w.clock,
		Config: func() *model.Config { return w.config(h.heard) },
		SetPart: func(_ model.TeamName, part model.Resources) bool {
			h.orders = append(h.orders, part)
			return true
		},
	})
	w.holders = append(w.holders, h)
}

// adopt fences the shard's former holders and completes the newest one's.
func (w *world) adopt(shard model.ShardID) {
	newest := w.holder(shard)
	for _, h := range w.holders {
		if h.shard == shard {
			h.fenced = h != newest
		}
	}
	newest.adopted = true
}

// holder returns the newest holder of the shard.
func (w *world) holder(shard model.ShardID) *holder {
	for i := len(w.holders) - 1; i >= 0; i-- {
		if w.holders[i].shard == shard {
			return w.holders[i]
		}
	}
	return nil
}

// hear gives the holder's process the newest configuration.
func (w *world) hear(h *holder) { h.heard = len(w.limits) - 1 }

// report has the holder's scheduler say what stands.
func (w *world) report(h *holder) {
	if !h.adopted {
		return
	}
	standing := policy.Standing{Team: team, Running: w.running[h.shard], Queued: h.queued, Part: h.part}
	h.reports = append(h.reports, []policy.Standing{standing})
}

// obey has the holder's scheduler take the next part it was told.
func (h *holder) obey() {
	if len(h.orders) > 0 {
		h.part = h.orders[0]
		h.orders = h.orders[1:]
	}
}

// step gives the holder's escrow up to n reports and one look at the ledger.
func (w *world) step(h *holder, n int) {
	n = min(n, len(h.reports))
	h.escrow.Step(h.reports[:n]...)
	h.reports = h.reports[n:]
}

// start starts as many tasks of the size as the holder's scheduler may, at
// most n.
func (w *world) start(h *holder, size model.Resources, n int) {
	for range n {
		after := w.running[h.shard].Add(size)
		if h.fenced || !h.adopted || !after.Fits(h.part) || !size.Fits(h.queued) {
			return
		}
		w.running[h.shard] = after
		h.queued = h.queued.Sub(size)
	}
}

// finish ends one task of the size in the shard.
func (w *world) finish(shard model.ShardID, size model.Resources) {
	if size.Fits(w.running[shard]) {
		w.running[shard] = w.running[shard].Sub(size)
	}
}

// ledger returns the team's account as it stands in the table.
func (w *world) ledger() escrow.Account {
	row, ok := w.table.rows[escrow.LedgerKey]
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

// parts returns the parts in the table by shard.
func (w *world) parts() map[model.ShardID]model.Resources {
	found := map[model.ShardID]model.Resources{}
	for _, h := range w.ledger().Holdings {
		found[h.Shard] = h.Part
	}
	return found
}

// allowed is the largest limit that a live process may still act by.
func (w *world) allowed() model.Resources {
	oldest := len(w.limits) - 1
	for _, h := range w.holders {
		if !h.fenced {
			oldest = min(oldest, h.heard)
		}
	}
	var most model.Resources
	for _, limit := range w.limits[oldest:] {
		most = most.Max(limit)
	}
	return most
}

// check returns what is wrong, empty when nothing is. before is the sum of the
// parts at the last check.
func (w *world) check(before model.Resources) (sum model.Resources, wrong string) {
	account := w.ledger()
	parts := w.parts()
	sum = account.Parts()
	if !sum.Fits(w.allowed().Max(before)) {
		return sum, fmt.Sprintf("the parts add up to %v, above %v and %v before", sum, w.allowed(), before)
	}
	for shard, running := range maps.All(w.running) {
		if !running.Fits(parts[shard]) {
			return sum, fmt.Sprintf("%v runs %v, above its part %v", shard, running, parts[shard])
		}
	}
	for _, h := range w.holders {
		if !h.fenced && !h.part.Fits(parts[h.shard]) {
			return sum, fmt.Sprintf("%v may use %v, above its part %v", h.shard, h.part, parts[h.shard])
		}
	}
	return sum, ""
}
