package faultproxy

import (
	"math/rand/v2"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
)

// direction says which way a piece goes.
type direction int

const (
	up direction = iota
	down
	directions
)

// verdict is what is to be done with a piece.
type verdict struct {
	delay time.Duration
	drip  int
	lose  bool
	reset bool
}

// message is one call on the judge's state.
type message interface{ apply(*judge) }

type (
	// pieceMessage asks for the verdict on a piece; a cut holds the reply.
	pieceMessage struct {
		way   direction
		reply chan<- verdict
	}
	// newMessage asks whether a new connection is to be reset.
	newMessage struct{ reply chan<- verdict }
	// setMessage replaces the faults.
	setMessage struct {
		faults Faults
		reply  chan<- struct{}
	}
	// statsMessage asks for the counters.
	statsMessage struct{ reply chan<- Stats }
)

// judge decides over pieces. It belongs to the proxy's duty, so that one seed
// gives one sequence of draws.
type judge struct {
	faults Faults
	random *rand.Rand
	held   [directions][]pieceMessage
	stats  Stats
}

func newJudge(seed uint64) *judge {
	return &judge{random: rand.New(rand.NewPCG(seed, seed))}
}

// Handle implements duty.Handler.
func (j *judge) Handle(batch []message) time.Duration {
	for _, m := range batch {
		m.apply(j)
	}
	return duty.Never
}

func (j *judge) rules(way direction) Direction {
	if way == up {
		return j.faults.Up
	}
	return j.faults.Down
}

func (m pieceMessage) apply(j *judge) {
	rules := j.rules(m.way)
	if rules.Cut {
		j.held[m.way] = append(j.held[m.way], m)
		return
	}
	m.reply <- j.draw(rules)
}

func (m newMessage) apply(j *judge) {
	j.stats.Connections++
	m.reply <- verdict{reset: j.faults.RefuseNew}
}

func (m setMessage) apply(j *judge) {
	j.faults = m.faults
	for way := range directions {
		waiting := j.held[way]
		j.held[way] = nil
		for _, piece := range waiting {
			piece.apply(j)
		}
	}
	m.reply <- struct{}{}
}

func (m statsMessage) apply(j *judge) {
	j.stats.Held = len(j.held[up]) + len(j.held[down])
	m.reply <- j.stats
}

func (j *judge) draw(rules Direction) verdict {
	v := verdict{delay: rules.Delay, drip: rules.DripBytes}
	if rules.Jitter > 0 {
		v.delay += time.Duration(j.random.Int64N(int64(rules.Jitter)))
	}
	v.lose = j.random.Float64() < rules.Lose
	v.reset = j.random.Float64() < rules.Reset
	switch {
	case v.reset:
		j.stats.Reset++
	case v.lose:
		j.stats.Lost++
	default:
		j.stats.Pieces++
	}
	return v
}
