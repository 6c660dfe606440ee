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
	// standingsPeriod is the time between two reports of the teams' standings.
	standingsPeriod = 300 * time.Millisecond
	// partsRing is the capacity of the parts duty's ring. A full ring rejects
	// the message: the next standings supersede it.
	partsRing = 8
)

type partsMessage interface{ deliver(p *partsDuty) }

type (
	// teamStandings carries the teams' standings in the epoch that is served.
	teamStandings struct {
		epoch model.Epoch
		teams []policy.TeamUsage
	}
	// stopServing is sent when the epoch has ended.
	stopServing struct{}
)

// partsDuty runs the escrow of the epoch that is served, and announces whether
// the shard is served.
type partsDuty struct {
	id       model.ShardID
	table    storage.Table
	clock    clock.Clock
	config   func() *model.Config
	start    func(...duty.Runner)
	announce func(Holding) bool
	setPart  func(partAssigned) bool

	epoch  model.Epoch
	escrow *escrow.Escrow
}

// Holding reports whether the process serves a shard.
type Holding struct {
	Shard model.ShardID
	// Epoch is the epoch under which the shard is served; 0 when it is not.
	Epoch model.Epoch
}

// partsRunner stops the escrow together with the parts duty.
type partsRunner struct{ *duty.Duty[partsMessage] }

// Stop stops the escrow and then the duty.
func (r partsRunner) Stop() {
	// Put waits only briefly for a full ring: no message in it blocks for long.
	_ = r.Put(context.Background(), stopServing{})
	r.Duty.Stop()
}

// Handle delivers the messages in order.
func (p *partsDuty) Handle(batch []partsMessage) time.Duration {
	for _, m := range batch {
		m.deliver(p)
	}
	return duty.Never
}

func (m teamStandings) deliver(p *partsDuty) {
	if m.epoch != p.epoch {
		p.begin(m.epoch)
	}
	p.announce(Holding{p.id, p.epoch})
	p.escrow.OfferStandings(m.teams)
}

func (stopServing) deliver(p *partsDuty) {
	p.end()
	p.announce(Holding{Shard: p.id})
}

// begin starts an escrow whose writes check the epoch.
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
			return p.setPart(partAssigned{epoch, team, part})
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

// sendStandingsIfDue sends the teams' standings to the parts duty once per
// standingsPeriod.
func (s *Shard) sendStandingsIfDue() {
	if !s.serving() || s.now.Before(s.standingsAt) {
		return
	}
	s.standingsAt = s.now.Add(standingsPeriod)
	s.ports.Parts(teamStandings{s.epoch, s.policy.TeamUsages(nil)})
}

func (m partAssigned) deliver(s *Shard) {
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	s.policy.SetPart(m.team, m.part)
	s.dirty = true
}
