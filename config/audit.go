package config

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// auditPrefix begins the keys of the rows of the audit log: one for each
	// accepted change, written in the change's own transaction.
	auditPrefix = "config/audit/"
	// auditKept is the number of rows that the audit log keeps.
	auditKept = 100_000
)

// AuditEntry says who changed what.
type AuditEntry struct {
	// Version is the version that the change made.
	Version model.ConfigVersion `json:"version"`
	// Change names the change.
	Change string `json:"change"`
	// Author is the id of the operator's key.
	Author string `json:"author"`
	// At is the wall-clock time of the change.
	At time.Time `json:"at"`
	// Item is what was changed.
	Item string `json:"item"`
	// Summary says how.
	Summary string `json:"summary"`
	// Forced says that the operator overrode a warning.
	Forced bool `json:"forced,omitempty"`
}

// String returns the entry in one line.
func (a AuditEntry) String() string {
	return fmt.Sprintf("version %d by %s: %s %s", a.Version, a.Author, a.Item, a.Summary)
}

// ReadAudit returns at most limit entries of versions above after, in their
// order.
func ReadAudit(ctx context.Context, table storage.Table, after model.ConfigVersion, limit int) ([]AuditEntry, error) {
	rows, err := table.List(ctx, auditPrefix, auditKey(after), limit)
	if err != nil {
		return nil, eris.Wrap(err, "reading the audit log")
	}
	entries := make([]AuditEntry, 0, len(rows))
	for _, row := range rows {
		var entry AuditEntry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, eris.Wrapf(ErrMalformed, "audit row %s: %v", row.Key, err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

func auditKey(version model.ConfigVersion) string {
	return fmt.Sprintf("%s%020d", auditPrefix, version)
}

// auditWrites returns the writes that add the entry and drop the oldest one
// beyond those kept.
func auditWrites(entry AuditEntry) ([]storage.Write, error) {
	raw, err := json.Marshal(entry)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the audit entry")
	}
	writes := []storage.Write{{Key: auditKey(entry.Version), Value: raw}}
	if entry.Version > firstVersion+auditKept {
		writes = append(writes, storage.Write{Key: auditKey(entry.Version - auditKept), Delete: true})
	}
	return writes, nil
}
