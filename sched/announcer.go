package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/membership"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// announcerRing is the capacity of the announcer's ring. A full ring
	// rejects the message: each shard repeats its report every
	// standingsPeriod.
	announcerRing = 64
	// announceRetry is the time until the next attempt to publish when the
	// membership's ring was full.
	announceRetry = 100 * time.Millisecond
)

// Announcer is the duty that publishes to the members which shards the process
// holds.
type Announcer struct {
	publish func([]membership.Held) bool
	duty    *duty.Duty[Holding]

	epochs map[model.ShardID]model.Epoch
	dirty  bool
}

// NewAnnouncer returns an announcer whose duty is not started yet; publish
// reports whether the membership accepted the list.
func NewAnnouncer(publish func([]membership.Held) bool) *Announcer {
	a := &Announcer{publish: publish, epochs: map[model.ShardID]model.Epoch{}}
	a.duty = duty.New("announcer", announcerRing, a)
	return a
}

// Duty returns the duty to be started.
func (a *Announcer) Duty() duty.Runner { return a.duty }

// Announce posts the state of one shard to the announcer's ring and reports
// false when the ring is full.
func (a *Announcer) Announce(h Holding) bool { return a.duty.Offer(h) }

// Handle applies the batch and publishes the list of held shards when it has
// changed.
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
	if !a.publish(held) {
		return announceRetry
	}
	a.dirty = false
	return duty.Never
}
