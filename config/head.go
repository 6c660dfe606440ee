// Package config stores and distributes the configuration that operators set.
//
// The configuration is one row of the platform's table; each change is one
// conditional transaction. Each process caches the newest version that it has
// received in a View. The updater duty is the only writer of the view and never
// replaces a version by an older one; the reader duty polls the table.
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
	// HeadKey is the row with the complete configuration in force.
	HeadKey = "config/head"
	// VersionKey is the row with the version number in force. It is written in
	// the same transaction as HeadKey, so that a poll for a new version reads
	// only a few bytes.
	VersionKey = "config/version"
)

// firstVersion is the version that Initialise creates.
const firstVersion model.ConfigVersion = 1

// ErrMalformed is returned for a row or message that can't be decoded.
var ErrMalformed = eris.New("malformed configuration row")

// Head is the configuration in the table with the version of its row.
type Head struct {
	Config *model.Config
	// Row is the version of the row HeadKey, the precondition of a change.
	Row storage.RowVersion
}

// Initialise creates version 1 of the configuration from initial. It does nothing
// when the table already has a configuration.
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
	// The response may have been lost after the write was committed.
	if _, readErr := ReadHead(ctx, table); readErr == nil {
		return nil
	}
	return eris.Wrap(err, "creating the first configuration")
}

// ReadHead returns the configuration in force, or storage.ErrNotFound when none
// has been created.
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

// ReadVersion returns the version number in force, or storage.ErrNotFound when no
// configuration has been created.
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

// Encode returns the encoding that is stored in the table and sent between
// processes.
func Encode(config *model.Config) ([]byte, error) {
	raw, err := json.Marshal(config)
	return raw, eris.Wrap(err, "encoding the configuration")
}

// Decode decodes the output of Encode. It returns ErrMalformed for other input
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

// headWrites returns the writes that replace the configuration in force.
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
