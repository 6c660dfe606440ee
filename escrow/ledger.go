// Package escrow splits each team's limit among the shards of the fleet, so
// that every shard may start work up to its part without asking anyone.
//
// One row of the table, the ledger, holds the parts. Their sum never passes the
// limit, but for a limit that was lowered below what runs. A shard takes from
// what is unassigned, by a transaction that checks the ledger's version and the
// shard's epoch, and uses the larger part only once the transaction is
// confirmed. It gives back in the opposite order: its scheduler uses the
// smaller part first, and the ledger follows.
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

// Rows of the table.
const (
	// LedgerKey is the row with the parts.
	LedgerKey = "escrow/ledger"
	// StampKey is an empty row written with the ledger, so that its version is
	// the ledger's and a poll reads few bytes.
	StampKey = "escrow/stamp"
)

// maxLedgerBytes bounds a ledger before it is packed.
const maxLedgerBytes = 16 << 20

// ErrMalformed means that the ledger's row does not hold a ledger.
var ErrMalformed = eris.New("malformed ledger")

// Holding is what one shard has of one team's limit.
type Holding struct {
	// Shard is the shard.
	Shard model.ShardID `json:"shard"`
	// Part is what the shard may have running.
	Part model.Resources `json:"part"`
	// Used is what it had running when it last wrote.
	Used model.Resources `json:"used"`
	// Want is what it had running and queued when it last wrote.
	Want model.Resources `json:"want"`
}

// Account is how one team's limit is split.
type Account struct {
	// Team is the team.
	Team model.TeamName `json:"team"`
	// Holdings are the shards' parts in the order of the shards.
	Holdings []Holding `json:"holdings"`
}

// Ledger is the content of the row LedgerKey.
type Ledger struct {
	// Config is the newest version of the configuration that a writer acted by.
	Config model.ConfigVersion `json:"config"`
	// Accounts are the teams' accounts in the order of their names.
	Accounts []Account `json:"accounts"`
}

// Read returns the ledger and the version of its row; an empty ledger and
// version 0 when there is none yet.
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

// Encode returns the ledger as it stands in the table: JSON under gzip, since
// every holder reads it again after each write and its numbers repeat.
func Encode(ledger *Ledger) ([]byte, error) {
	var raw bytes.Buffer
	packed := gzip.NewWriter(&raw)
	if err := json.NewEncoder(packed).Encode(ledger); err != nil {
		return nil, eris.Wrap(err, "encoding the ledger")
	}
	if err := packed.Close(); err != nil {
		return nil, eris.Wrap(err, "packing the ledger")
	}
	return raw.Bytes(), nil
}

// Decode is the opposite of Encode. It returns ErrMalformed for anything else,
// and for a ledger of more than maxLedgerBytes.
func Decode(raw []byte) (Ledger, error) {
	packed, err := gzip.NewReader(bytes.NewReader(raw))
	if err != nil {
		return Ledger{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	var ledger Ledger
	if err := json.NewDecoder(io.LimitReader(packed, maxLedgerBytes)).Decode(&ledger); err != nil {
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

// Parts returns the sum of the parts: what the team may have running now.
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

// clone returns a copy that shares nothing with the ledger.
func (l *Ledger) clone() Ledger {
	copied := Ledger{Config: l.Config, Accounts: slices.Clone(l.Accounts)}
	for i := range copied.Accounts {
		copied.Accounts[i].Holdings = slices.Clone(copied.Accounts[i].Holdings)
	}
	return copied
}

// open returns the team's account in the ledger, adding an empty one.
func (l *Ledger) open(team model.TeamName) *Account {
	at, found := slices.BinarySearchFunc(l.Accounts, team, func(a Account, name model.TeamName) int {
		return strings.Compare(string(a.Team), string(name))
	})
	if !found {
		l.Accounts = slices.Insert(l.Accounts, at, Account{Team: team})
	}
	return &l.Accounts[at]
}

// open returns the shard's holding in the account, adding an empty one.
func (a *Account) open(shard model.ShardID) *Holding {
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
