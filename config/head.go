// Package config keeps the configuration that operators set and that every
// process has in force.
//
// The configuration is one row of the platform's table, changed by one
// conditional transaction for each change. Each process holds the newest
// version that it has heard of in a View: a keeper duty is the only writer of
// the view and never goes back to an older version; a reader duty polls the
// table.
package config

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// Rows of the table.
const (
	// HeadKey is the row with the whole configuration in force.
	HeadKey = "config/head"
	// VersionKey is the row with the number of the version in force. It is
	// written with HeadKey in one transaction, so that a poll reads few bytes.
	VersionKey = "config/version"
)

// firstVersion is the version that Initialise creates.
const firstVersion model.ConfigVersion = 1

// ErrMalformed means that a row does not hold what it should.
var ErrMalformed = eris.New("malformed configuration row")

// Head is the configuration as it stands in the table.
type Head struct {
	// Config is the configuration in force.
	Config *model.Config
	// Row is the version of the row HeadKey, which a change checks.
	Row storage.RowVersion
}

// Initialise creates version 1 of the configuration from initial, unless the
// table has a configuration already.
func Initialise(ctx context.Context, table storage.Table, initial model.Config) error {
	initial.Version = firstVersion
	if err := Check(&initial); err != nil {
		return err
	}
	writes, err := headWrites(&initial)
	if err != nil {
		return err
	}
	checks := []storage.Check{{Key: HeadKey}, {Key: VersionKey}}
	err = table.Commit(ctx, storage.Txn{Checks: checks, Writes: writes})
	if err == nil || errors.Is(err, storage.ErrConflict) {
		return nil
	}
	// The reply may be lost after the write: the row says.
	if _, readErr := ReadHead(ctx, table); readErr == nil {
		return nil
	}
	return eris.Wrap(err, "creating the first configuration")
}

// ReadHead returns the configuration in force. It returns storage.ErrNotFound
// when there is none yet.
func ReadHead(ctx context.Context, table storage.Table) (Head, error) {
	row, err := table.Get(ctx, HeadKey)
	if err != nil {
		return Head{}, eris.Wrap(err, "reading the configuration")
	}
	decoded, err := Decode(row.Value)
	if err != nil {
		return Head{}, err
	}
	return Head{Config: decoded, Row: row.Version}, nil
}

// ReadVersion returns the number of the version in force, or
// storage.ErrNotFound.
func ReadVersion(ctx context.Context, table storage.Table) (model.ConfigVersion, error) {
	row, err := table.Get(ctx, VersionKey)
	if err != nil {
		return 0, eris.Wrap(err, "reading the configuration's version")
	}
	number, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return 0, eris.Wrapf(ErrMalformed, "version row: %v", err)
	}
	return model.ConfigVersion(number), nil
}

// Encode returns the configuration as it stands in the table and travels
// between processes.
func Encode(config *model.Config) ([]byte, error) {
	raw, err := json.Marshal(config)
	return raw, eris.Wrap(err, "encoding the configuration")
}

// Decode is the opposite of Encode. It returns ErrMalformed for anything else,
// and for a configuration without a version.
func Decode(raw []byte) (*model.Config, error) {
	var decoded model.Config
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	if decoded.Version < firstVersion {
		return nil, eris.Wrap(ErrMalformed, "no version")
	}
	return &decoded, nil
}

// headWrites returns the writes that put config in force.
func headWrites(config *model.Config) ([]storage.Write, error) {
	raw, err := Encode(config)
	if err != nil {
		return nil, err
	}
	number := strconv.FormatUint(uint64(config.Version), 10)
	return []storage.Write{
		{Key: HeadKey, Value: raw},
		{Key: VersionKey, Value: []byte(number)},
	}, nil
}
