package faultproxy

import "time"

// Faults are what a proxy does to its connections. The zero value passes
// everything on.
type Faults struct {
	// Up is what happens to bytes on their way to the target.
	Up Direction
	// Down is what happens to bytes on their way back.
	Down Direction
	// RefuseNew closes new connections at once.
	RefuseNew bool
}

// Direction is what happens to the bytes of one direction. Probabilities are
// from 0 to 1 and are drawn for each piece that is read.
type Direction struct {
	// Cut holds everything back until it is lifted, as a network partition
	// does: what was sent before then arrives late.
	Cut bool
	// Delay is how long each piece takes.
	Delay time.Duration
	// Jitter is the most that is added to Delay.
	Jitter time.Duration
	// DripBytes is the number of bytes passed on each dripPeriod; 0 means no
	// limit.
	DripBytes int
	// Lose is the probability that a piece and all that follows it on its
	// connection is lost while the connection stays open.
	Lose float64
	// Reset is the probability that the connection is reset instead.
	Reset float64
}

// Cut returns the faults of a two-way cut.
func Cut() Faults {
	return Faults{Up: Direction{Cut: true}, Down: Direction{Cut: true}}
}

// LoseReplies returns the faults of a network on which all replies are lost.
func LoseReplies() Faults { return Faults{Down: Direction{Lose: 1}} }

// Delay returns the faults of a slow network.
func Delay(delay, jitter time.Duration) Faults {
	d := Direction{Delay: delay, Jitter: jitter}
	return Faults{Up: d, Down: d}
}

// Stats counts what a proxy has done.
type Stats struct {
	// Connections is the number of connections accepted.
	Connections int
	// Pieces is the number of pieces passed on.
	Pieces int
	// Held is the number of pieces that a cut holds back now.
	Held int
	// Lost is the number of connections that lost their pieces.
	Lost int
	// Reset is the number of connections that were reset.
	Reset int
}
