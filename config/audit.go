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
	// auditPrefix is the key prefix of the audit log. Each accepted change has one
	// row, written in the same transaction as the change.
	auditPrefix = "config/audit/"
	// maxAuditRows is the retention of the audit log in rows.
	maxAuditRows = 100_000
)

// AuditEntry records one accepted change and its author.
type AuditEntry struct {
	// Version is the configuration version that the change created.
	Version model.ConfigVersion `json:"version"`
	// Change is the id of the change.
	Change string `json:"change"`
	// Author is the id of the operator's key.
	Author string `json:"author"`
	// At is the wall-clock time of the change in UTC.
	At time.Time `json:"at"`
	// Item identifies what was changed, such as "team north".
	Item string `json:"item"`
	// Summary describes the edit in one line, without secrets or hashes.
	Summary string `json:"summary"`
	// Forced is set when the operator skipped the check against running work.
	Forced bool `json:"forced,omitempty"`
}

// String returns the entry in one line.
func (a AuditEntry) String() string {
	return fmt.Sprintf("version %d by %s: %s %s", a.Version, a.Author, a.Item, a.Summary)
}

// ReadAudit returns at most limit entries with a version above after, in
// ascending order of versions. It returns ErrMalformed for a row that is not an
// audit entry.
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

// auditWrites returns the writes that add the entry and delete the row that
// exceeds the retention.
func auditWrites(entry AuditEntry) ([]storage.Write, error) {
	raw, err := json.Marshal(entry)
	if err != nil {
		return nil, eris.Wrap(err, "encoding the audit entry")
	}
	writes := []storage.Write{{Key: auditKey(entry.Version), Value: raw}}
	if entry.Version > firstVersion+maxAuditRows {
		writes = append(writes, storage.Write{Key: auditKey(entry.Version - maxAuditRows), Delete: true})
	}
	return writes, nil
}
