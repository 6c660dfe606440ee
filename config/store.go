package config

import (
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// updaterRingCapacity bounds the updater's ring. A full ring refuses the
	// message; the next poll or heartbeat delivers its content again.
	updaterRingCapacity = 64
	// readerRingCapacity bounds the reader's ring. A full ring refuses the
	// request; a read that is queued already serves all requesters.
	readerRingCapacity = 4
	// redeliveryDelay is the time until delivery to a subscriber whose ring was
	// full is retried.
	redeliveryDelay = 20 * time.Millisecond
)

// Store consists of the two duties that keep a view up to date: the updater,
// which writes the view, and the reader, which polls the table.
type Store struct {
	view    *View
	updater *duty.Duty[viewUpdate]
	reader  *duty.Duty[readRequest]
}

// viewUpdate is a message to the updater with a configuration, a confirmation or
// both.
type viewUpdate struct {
	// config is a configuration from the table or a peer; nil for none.
	config *model.Config
	// version is the newest version that had been accepted at the time at.
	version model.ConfigVersion
	// at is a time at which no version newer than version had been accepted; zero
	// for a message without a confirmation.
	at time.Time
}

// NewStore returns the duties that keep view up to date from table.
func NewStore(view *View, table storage.Table, clock clock.Clock) *Store {
	k := &Store{view: view}
	k.updater = duty.New("config", updaterRingCapacity, duty.HandlerFunc[viewUpdate](k.handle))
	r := &reader{table: table, clock: clock, view: view, post: k.updater.Offer}
	k.reader = duty.New("config-read", readerRingCapacity, duty.HandlerFunc[readRequest](r.handle))
	return k
}

// Duties returns the duties to be started in the process's group.
func (k *Store) Duties() []duty.Runner { return []duty.Runner{k.updater, k.reader} }

// View returns the view that the duties keep up to date.
func (k *Store) View() *View { return k.view }

// Offer posts a configuration received from a peer; a version that is not newer
// than the view is ignored. It returns false when the ring is full; the next
// heartbeat offers the configuration again.
func (k *Store) Offer(config *model.Config) bool { return k.updater.Offer(viewUpdate{config: config}) }

// Confirm posts a peer's confirmation that at the time at, by this process's
// clock, no version newer than the given one had been accepted. It returns false
// when the ring is full.
func (k *Store) Confirm(version model.ConfigVersion, at time.Time) bool {
	return k.updater.Offer(viewUpdate{version: version, at: at})
}

// ReadNow requests a read of the table before the next poll is due.
func (k *Store) ReadNow() { k.reader.Offer(readRequest{}) }

// handle runs on the updater's thread, the only writer of the view.
func (k *Store) handle(batch []viewUpdate) time.Duration {
	for _, u := range batch {
		if u.config != nil {
			k.view.storeIfNewer(u.config)
		}
		if !u.at.IsZero() {
			k.view.confirm(u.version, u.at)
		}
	}
	if !k.view.publish() {
		return redeliveryDelay
	}
	return duty.Never
}
