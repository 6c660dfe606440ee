// Package escrow splits each team's limit among the shards of the fleet, so
// that every shard may start work up to its part without coordination.
//
// One row of the table, the ledger, holds the parts. Their sum never exceeds the
// limit, except after the limit was lowered below what is running. A shard
// claims unassigned quota by a transaction that checks the ledger's version and
// the shard's epoch, and uses the larger part only after the transaction was
// confirmed. It releases quota in the opposite order: its scheduler uses the
// smaller part first, and the ledger is updated afterwards.
package escrow

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// Keys of the table.
const (
	// LedgerKey is the key of the row with the parts.
	LedgerKey = "escrow/ledger"
	// StampKey is the key of an empty row that is written together with the
	// ledger: it has the same version, and a poll that reads it transfers few
	// bytes.
	StampKey = "escrow/stamp"
)

// maxLedgerBytes bounds the uncompressed ledger.
const maxLedgerBytes = 16 << 20

// ErrMalformed is returned when the content of the ledger's row can't be decoded.
var ErrMalformed = eris.New("malformed ledger")

// Holding is one shard's part of one team's limit.
type Holding struct {
	Shard model.ShardID `json:"shard"`
	// Part is the most that the shard may have running.
	Part model.Resources `json:"part"`
	// Used is what it had running when it last wrote.
	Used model.Resources `json:"used"`
	// Want is its demand, running and queued, when it last wrote.
	Want model.Resources `json:"want"`
}

// Account is the split of one team's limit among the shards.
type Account struct {
	Team model.TeamName `json:"team"`
	// Holdings are sorted by shard.
	Holdings []Holding `json:"holdings"`
}

// Ledger is the content of the row LedgerKey.
type Ledger struct {
	// Config is the newest configuration version that any writer has used.
	Config model.ConfigVersion `json:"config"`
	// Accounts are sorted by team name.
	Accounts []Account `json:"accounts"`
}

// Read returns the ledger and the version of its row. When there is no ledger
// yet, it returns an empty one and version 0.
func Read(ctx context.Context, table storage.Table) (Ledger, storage.RowVersion, error) {
	row, err := table.Get(ctx, LedgerKey)
	if errors.Is(err, storage.ErrNotFound) {
		return Ledger{}, 0, nil
	}
	if err != nil {
		return Ledger{}, 0, eris.Wrap(err, "reading the ledger")
	}
	ledger, err := Decode(row.Value)
	return ledger, row.Version, err
}

// Encode returns the ledger in its stored form: gzip-compressed JSON. It
// compresses well since numbers repeat, and every holder reads it after each
// write.
func Encode(ledger *Ledger) ([]byte, error) {
	var raw bytes.Buffer
	compressor := gzip.NewWriter(&raw)
	if err := json.NewEncoder(compressor).Encode(ledger); err != nil {
		return nil, eris.Wrap(err, "encoding the ledger")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing the ledger")
	}
	return raw.Bytes(), nil
}

// Decode decodes a ledger that Encode wrote. It returns ErrMalformed for any
// other content, and for a ledger of more than maxLedgerBytes.
func Decode(raw []byte) (Ledger, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return Ledger{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	var ledger Ledger
	if err := json.NewDecoder(io.LimitReader(decompressor, maxLedgerBytes)).Decode(&ledger); err != nil {
		return Ledger{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	return ledger, nil
}

// Account returns the team's account; ok is false when it has none.
func (l *Ledger) Account(team model.TeamName) (account Account, ok bool) {
	for _, a := range l.Accounts {
		if a.Team == team {
			return a, true
		}
	}
	return Account{}, false
}

// Parts returns the sum of the parts: the most that the team may have running.
func (a *Account) Parts() model.Resources {
	var sum model.Resources
	for _, h := range a.Holdings {
		sum = sum.Add(h.Part)
	}
	return sum
}

// Used returns what the team had running when its shards last wrote.
func (a *Account) Used() model.Resources {
	var sum model.Resources
	for _, h := range a.Holdings {
		sum = sum.Add(h.Used)
	}
	return sum
}

// clone returns a deep copy.
func (l *Ledger) clone() Ledger {
	copied := Ledger{Config: l.Config, Accounts: slices.Clone(l.Accounts)}
	for i := range copied.Accounts {
		copied.Accounts[i].Holdings = slices.Clone(copied.Accounts[i].Holdings)
	}
	return copied
}

// ensureAccount returns the team's account and adds an empty one if needed.
func (l *Ledger) ensureAccount(team model.TeamName) *Account {
	at, found := slices.BinarySearchFunc(l.Accounts, team, func(a Account, name model.TeamName) int {
		return strings.Compare(string(a.Team), string(name))
	})
	if !found {
		l.Accounts = slices.Insert(l.Accounts, at, Account{Team: team})
	}
	return &l.Accounts[at]
}

// ensureHolding returns the shard's holding and adds an empty one if needed.
func (a *Account) ensureHolding(shard model.ShardID) *Holding {
	at, found := slices.BinarySearchFunc(a.Holdings, shard, func(h Holding, id model.ShardID) int {
		return compareShards(h.Shard, id)
	})
	if !found {
		a.Holdings = slices.Insert(a.Holdings, at, Holding{Shard: shard})
	}
	return &a.Holdings[at]
}

func compareShards(a, b model.ShardID) int {
	if a.Domain != b.Domain {
		return strings.Compare(string(a.Domain), string(b.Domain))
	}
	return a.Number - b.Number
}
