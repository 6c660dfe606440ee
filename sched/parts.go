package sched

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/escrow"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// standingPeriod is the time between two looks at the teams' standings.
	standingPeriod = 300 * time.Millisecond
	// partsRing is the capacity of the ring of the parts duty. A full ring
	// refuses: the next standings say the same or better.
	partsRing = 8
)

// partsMessage is a message to the parts duty.
type partsMessage interface{ deliver(p *partsDuty) }

type (
	// stand says how the teams stand in the epoch that is served.
	stand struct {
		epoch model.Epoch
		teams []policy.Standing
	}
	// stopServing says that the epoch is over.
	stopServing struct{}
)

// partsDuty runs the escrow of the epoch that is served, and tells others which
// shard is held.
type partsDuty struct {
	id       model.ShardID
	table    storage.Table
	clock    clock.Clock
	config   func() *model.Config
	start    func(...duty.Runner)
	announce func(Holding) bool
	setPart  func(parted) bool

	epoch  model.Epoch
	escrow *escrow.Escrow
}

// Holding says whether the process serves a shard.
type Holding struct {
	// Shard is the shard.
	Shard model.ShardID
	// Epoch is the epoch under which it is served; 0 when it is not.
	Epoch model.Epoch
}

// partsRunner ends the escrow with the parts duty.
type partsRunner struct{ *duty.Duty[partsMessage] }

// Stop lets the duty end the escrow and itself.
func (r partsRunner) Stop() {
	// The ring is worked off at once: nothing in it blocks for long.
	_ = r.Put(context.Background(), stopServing{})
	r.Duty.Stop()
}

// Handle works through the messages.
func (p *partsDuty) Handle(batch []partsMessage) time.Duration {
	for _, m := range batch {
		m.deliver(p)
	}
	return duty.Never
}

func (m stand) deliver(p *partsDuty) {
	if m.epoch != p.epoch {
		p.begin(m.epoch)
	}
	p.announce(Holding{p.id, p.epoch})
	p.escrow.Standings(m.teams)
}

func (stopServing) deliver(p *partsDuty) {
	p.end()
	p.announce(Holding{Shard: p.id})
}

// begin starts an escrow whose writes need the epoch.
func (p *partsDuty) begin(epoch model.Epoch) {
	p.end()
	p.epoch = epoch
	p.escrow = escrow.New(escrow.Options{
		Shard:  p.id,
		Epoch:  storage.Check{Key: shard.EpochKey(p.id), Version: storage.RowVersion(epoch)},
		Table:  p.table,
		Config: p.config,
		Clock:  p.clock,
		SetPart: func(team model.TeamName, part model.Resources) bool {
			return p.setPart(parted{epoch, team, part})
		},
	})
	p.start(p.escrow.Duties()...)
}

func (p *partsDuty) end() {
	if p.escrow != nil {
		p.escrow.Stop()
	}
	p.escrow = nil
	p.epoch = 0
}

// standIfDue hands the teams' standings to the parts duty.
func (s *Shard) standIfDue() {
	if !s.serving() || s.now.Before(s.standAt) {
		return
	}
	s.standAt = s.now.Add(standingPeriod)
	s.ports.Parts(stand{s.epoch, s.policy.Standings(nil)})
}

func (m parted) deliver(s *Shard) {
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	s.policy.SetPart(m.team, m.part)
	s.dirty = true
}
