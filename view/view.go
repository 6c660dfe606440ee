// Package view holds an instance's local copy of the operators' rows: the
// configuration in force and the failure domains that are taken out. One feed
// updates it; Catalog and Age may be called from every thread.
package view

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// Row is a decoded row of the operators' table.
type Row struct {
	// Catalog is the configuration in the row; nil for any other row.
	Catalog *catalog.Catalog
	// Evacuated is the failure domain that is taken out while the row exists;
	// empty for any other row.
	Evacuated model.DomainName
}

// Decoder decodes the operators' rows.
type Decoder interface {
	OperatorRow(row storage.Row, deleted bool) (Row, error)
}

// Listener is notified of changes, on the feed's thread.
type Listener interface {
	SetCatalog(*catalog.Catalog)
	SetEvacuated(domain model.DomainName, out bool)
	// Confirmed reports that all changes up to requestedAt have been reported.
	Confirmed(requestedAt time.Time)
}

// View is the local copy. Update is its feed's sink.
type View struct {
	decoder   Decoder
	listener  Listener
	clock     clock.Clock
	log       *logging.Logger
	catalog   atomic.Pointer[catalog.Catalog]
	confirmed atomic.Pointer[time.Time]
	evacuated map[model.DomainName]bool
}

// New returns a view that has no configuration yet.
func New(d Decoder, l Listener, c clock.Clock, log *logging.Logger) *View {
	return &View{decoder: d, listener: l, clock: c, log: log, evacuated: map[model.DomainName]bool{}}
}

// Catalog returns the configuration in force; nil if there is none yet.
func (v *View) Catalog() *catalog.Catalog { return v.catalog.Load() }

// Age returns the time since the request that last confirmed the view; ok is false
// if none has.
func (v *View) Age() (age time.Duration, ok bool) {
	at := v.confirmed.Load()
	if at == nil {
		return 0, false
	}
	return v.clock.Now().Sub(*at), true
}

// Update applies an update of the operators' table.
func (v *View) Update(u feed.Update) {
	evacuated := map[model.DomainName]bool{}
	for _, change := range u.Changes {
		row, err := v.decoder.OperatorRow(change.Row, change.Deleted)
		if err != nil {
			v.log.Error("operator_row_unreadable", slog.String("key", change.Key), slog.Any("error", err))
			continue
		}
		if row.Catalog != nil {
			v.applyCatalog(row.Catalog, change.Version)
		}
		if row.Evacuated != "" {
			evacuated[row.Evacuated] = !change.Deleted
			v.setEvacuated(row.Evacuated, !change.Deleted, change.Version)
		}
	}
	if u.Full {
		for domain := range v.evacuated {
			if !evacuated[domain] {
				v.setEvacuated(domain, false, u.Version)
			}
		}
	}
	requestedAt := u.RequestedAt
	v.confirmed.Store(&requestedAt)
	v.listener.Confirmed(requestedAt)
}

// applyCatalog puts a configuration in force unless the current one has the same or
// a later version.
func (v *View) applyCatalog(c *catalog.Catalog, version storage.RowVersion) {
	if current := v.catalog.Load(); current != nil && current.Version >= c.Version {
		return
	}
	v.catalog.Store(c)
	v.log.Info("configuration_in_force", slog.Int64("version", c.Version), slog.Uint64("row_version", uint64(version)),
		slog.Int("queues", len(c.Queues)), slog.Int("teams", len(c.Teams)), slog.Int("keys", len(c.Keys)))
	v.listener.SetCatalog(c)
}

func (v *View) setEvacuated(domain model.DomainName, out bool, version storage.RowVersion) {
	if v.evacuated[domain] == out {
		return
	}
	if out {
		v.evacuated[domain] = true
	} else {
		delete(v.evacuated, domain)
	}
	v.log.Info("domain_taken_out", slog.String("domain", string(domain)), slog.Bool("out", out), slog.Uint64("row_version", uint64(version)))
	v.listener.SetEvacuated(domain, out)
}
