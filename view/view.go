// Package view is what an instance believes of the operators' rows: the
// configuration in force and the failure domains that are taken out. One feed
// writes it; every thread reads it.
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

// Row is what an operators' row stands for.
type Row struct {
	// Catalog is a configuration, or nil.
	Catalog *catalog.Catalog
	// Evacuated is a failure domain that is taken out while the row exists.
	Evacuated model.DomainName
}

// Decoder decodes the operators' rows.
type Decoder interface {
	OperatorRow(row storage.Row, deleted bool) (Row, error)
}

// Listener is told of changes, on the feed's thread.
type Listener interface {
	SetCatalog(*catalog.Catalog)
	SetEvacuated(domain model.DomainName, out bool)
}

// View is the belief. It is fed by Update.
type View struct {
	decoder   Decoder
	listener  Listener
	clock     clock.Clock
	log       *logging.Logger
	catalog   atomic.Pointer[catalog.Catalog]
	confirmed atomic.Pointer[time.Time]
	evacuated map[model.DomainName]bool
}

// New returns a view without a configuration.
func New(d Decoder, l Listener, c clock.Clock, log *logging.Logger) *View {
	return &View{decoder: d, listener: l, clock: c, log: log, evacuated: map[model.DomainName]bool{}}
}

// Catalog returns the configuration in force, or nil.
func (v *View) Catalog() *catalog.Catalog { return v.catalog.Load() }

// Age returns how long ago the table last confirmed the view; ok is false if it
// never has.
func (v *View) Age() (age time.Duration, ok bool) {
	at := v.confirmed.Load()
	if at == nil {
		return 0, false
	}
	return v.clock.Now().Sub(*at), true
}

// Update takes what the feed of the operators' table has read.
func (v *View) Update(u feed.Update) {
	out := map[model.DomainName]bool{}
	for _, change := range u.Changes {
		row, err := v.decoder.OperatorRow(change.Row, change.Deleted)
		if err != nil {
			v.log.Error("operator_row_unreadable", slog.String("key", change.Key), slog.Any("error", err))
			continue
		}
		if row.Catalog != nil {
			v.take(row.Catalog, change.Version)
		}
		if row.Evacuated != "" {
			out[row.Evacuated] = !change.Deleted
			v.setEvacuated(row.Evacuated, !change.Deleted, change.Version)
		}
	}
	if u.Whole {
		for domain := range v.evacuated {
			if !out[domain] {
				v.setEvacuated(domain, false, u.Version)
			}
		}
	}
	asked := u.Asked
	v.confirmed.Store(&asked)
}

// take puts a configuration in force unless a later one is.
func (v *View) take(c *catalog.Catalog, at storage.RowVersion) {
	if old := v.catalog.Load(); old != nil && old.Version >= c.Version {
		return
	}
	v.catalog.Store(c)
	v.log.Info("configuration_in_force", slog.Int64("version", c.Version), slog.Uint64("row_version", uint64(at)),
		slog.Int("queues", len(c.Queues)), slog.Int("teams", len(c.Teams)), slog.Int("keys", len(c.Keys)))
	v.listener.SetCatalog(c)
}

func (v *View) setEvacuated(domain model.DomainName, out bool, at storage.RowVersion) {
	if v.evacuated[domain] == out {
		return
	}
	if out {
		v.evacuated[domain] = true
	} else {
		delete(v.evacuated, domain)
	}
	v.log.Info("domain_taken_out", slog.String("domain", string(domain)), slog.Bool("out", out), slog.Uint64("row_version", uint64(at)))
	v.listener.SetEvacuated(domain, out)
}
