package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// announcerRing is the capacity of the announcer's ring. A full ring
	// refuses: each shard says again every second what it holds.
	announcerRing = 64
	// announceRetry is the time until the members are told again when the
	// membership's ring was full.
	announceRetry = 100 * time.Millisecond
)

// Announcer is the duty that tells the members which shards the process holds.
type Announcer struct {
	tell func([]membership.Held) bool
	duty *duty.Duty[Holding]

	epochs map[model.ShardID]model.Epoch
	dirty  bool
}

// NewAnnouncer returns an announcer that has not started; tell reports whether
// the word was taken.
func NewAnnouncer(tell func([]membership.Held) bool) *Announcer {
	a := &Announcer{tell: tell, epochs: map[model.ShardID]model.Epoch{}}
	a.duty = duty.New("announcer", announcerRing, a)
	return a
}

// Duty returns the duty to be started.
func (a *Announcer) Duty() duty.Runner { return a.duty }

// Announce says what a shard of the process has come to.
func (a *Announcer) Announce(h Holding) bool { return a.duty.Offer(h) }

// Handle tells the members what has changed.
func (a *Announcer) Handle(batch []Holding) time.Duration {
	for _, h := range batch {
		a.dirty = a.dirty || a.epochs[h.Shard] != h.Epoch
		a.epochs[h.Shard] = h.Epoch
	}
	if !a.dirty {
		return duty.Never
	}
	var held []membership.Held
	for id, epoch := range a.epochs {
		if epoch > 0 {
			held = append(held, membership.Held{Shard: id, Epoch: epoch})
		}
	}
	if !a.tell(held) {
		return announceRetry
	}
	a.dirty = false
	return duty.Never
}
