package faultproxy

import (
	"math/rand/v2"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
)

// direction is the direction in which a chunk is forwarded: up is from the
// client to the target.
type direction int

const (
	up direction = iota
	down
	directions
)

// action is what the copier does with a chunk or a new connection.
type action struct {
	delay     time.Duration
	dripBytes int
	lose      bool
	reset     bool
}

// message is a request to the fault injector.
type message interface{ apply(*faultInjector) }

type (
	// chunkMessage requests the action for a chunk; the reply is withheld
	// while the direction is partitioned or the chunk is to be held. The chunk is not
	// changed before the reply.
	chunkMessage struct {
		dir   direction
		chunk []byte
		reply chan<- action
	}
	// connectionMessage requests the action for a new connection.
	connectionMessage struct{ reply chan<- action }
	setFaultsMessage  struct {
		faults Faults
		reply  chan<- struct{}
	}
	statsMessage struct{ reply chan<- Stats }
)

// faultInjector decides which fault each chunk meets. The proxy's duty owns it,
// so that the draws of a seed are made in one sequence.
type faultInjector struct {
	faults Faults
	random *rand.Rand
	held   [directions][]chunkMessage
	stats  Stats
}

func newFaultInjector(seed uint64) *faultInjector {
	return &faultInjector{random: rand.New(rand.NewPCG(seed, seed))}
}

// Handle implements duty.Handler.
func (f *faultInjector) Handle(batch []message) time.Duration {
	for _, m := range batch {
		m.apply(f)
	}
	return duty.Never
}

func (f *faultInjector) faultsFor(dir direction) DirectionFaults {
	if dir == up {
		return f.faults.Up
	}
	return f.faults.Down
}

func (m chunkMessage) apply(f *faultInjector) {
	faults := f.faultsFor(m.dir)
	if faults.holds(m.chunk) {
		f.held[m.dir] = append(f.held[m.dir], m)
		return
	}
	m.reply <- f.draw(faults)
}

func (m connectionMessage) apply(f *faultInjector) {
	f.stats.Connections++
	m.reply <- action{reset: f.faults.RefuseNew}
}

func (m setFaultsMessage) apply(f *faultInjector) {
	f.faults = m.faults
	for dir := range directions {
		waiting := f.held[dir]
		f.held[dir] = nil
		for _, chunk := range waiting {
			chunk.apply(f)
		}
	}
	m.reply <- struct{}{}
}

func (m statsMessage) apply(f *faultInjector) {
	f.stats.Held = len(f.held[up]) + len(f.held[down])
	m.reply <- f.stats
}

func (f *faultInjector) draw(faults DirectionFaults) action {
	v := action{delay: faults.Delay, dripBytes: faults.DripBytes}
	if faults.Jitter > 0 {
		v.delay += time.Duration(f.random.Int64N(int64(faults.Jitter)))
	}
	v.lose = f.random.Float64() < faults.LossProbability
	v.reset = f.random.Float64() < faults.ResetProbability
	switch {
	case v.reset:
		f.stats.Reset++
	case v.lose:
		f.stats.Lost++
	default:
		f.stats.Chunks++
	}
	return v
}
