package config

import (
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// keeperRing is the capacity of the keeper's ring. A full ring refuses:
	// what is refused comes again with the next poll or heartbeat.
	keeperRing = 64
	// readerRing is the capacity of the reader's ring. A full ring refuses: a
	// read that is under way or queued serves all who want one.
	readerRing = 4
	// redeliverWait is the time until a subscriber whose ring was full is
	// tried again.
	redeliverWait = 20 * time.Millisecond
)

// Keeper is the pair of duties that keep a view up to date.
type Keeper struct {
	view   *View
	keep   *duty.Duty[news]
	reader *duty.Duty[readNow]
}

// news is a message to the keeper: a configuration, a confirmation or both.
type news struct {
	// config is a configuration that was read or offered; it may be nil.
	config *model.Config
	// version is the newest version accepted by the time at.
	version model.ConfigVersion
	// at is when version was surely the newest; zero when nothing is known.
	at time.Time
}

// NewKeeper returns the duties that keep view up to date from table.
func NewKeeper(view *View, table storage.Table, clock clock.Clock) *Keeper {
	k := &Keeper{view: view}
	k.keep = duty.New("config", keeperRing, duty.HandlerFunc[news](k.handle))
	r := &reader{table: table, clock: clock, view: view, tell: k.keep.Offer}
	k.reader = duty.New("config-read", readerRing, duty.HandlerFunc[readNow](r.handle))
	return k
}

// Duties returns the duties to be started in the process's group.
func (k *Keeper) Duties() []duty.Runner { return []duty.Runner{k.keep, k.reader} }

// View returns the view that the keeper keeps.
func (k *Keeper) View() *View { return k.view }

// Offer hands over a configuration from a peer. An older one is ignored. False
// means that the ring is full; the next heartbeat offers it again.
func (k *Keeper) Offer(config *model.Config) bool { return k.keep.Offer(news{config: config}) }

// Confirm hands over a peer's confirmation: at the time at, by this process's
// clock, no version newer than the given one had been accepted.
func (k *Keeper) Confirm(version model.ConfigVersion, at time.Time) bool {
	return k.keep.Offer(news{version: version, at: at})
}

// ReadNow asks for a read of the table before the next poll is due.
func (k *Keeper) ReadNow() { k.reader.Offer(readNow{}) }

// handle is the keeper's thread: the only writer of the view.
func (k *Keeper) handle(batch []news) time.Duration {
	for _, n := range batch {
		if n.config != nil {
			k.view.accept(n.config)
		}
		if !n.at.IsZero() {
			k.view.confirm(n.version, n.at)
		}
	}
	if !k.view.publish() {
		return redeliverWait
	}
	return duty.Never
}
