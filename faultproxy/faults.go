package faultproxy

import (
	"bytes"
	"time"
)

// Faults are the faults that a proxy injects. The zero value forwards
// everything unchanged.
type Faults struct {
	// Up applies to bytes sent to the target.
	Up DirectionFaults
	// Down applies to bytes sent back to the client.
	Down DirectionFaults
	// RefuseNew resets new connections.
	RefuseNew bool
}

// DirectionFaults is the faults of one direction. Probabilities are from 0 to 1 and
// are drawn for each chunk that is read.
type DirectionFaults struct {
	// Partitioned holds all bytes back until it is cleared, as a network partition
	// does: bytes sent in the meantime arrive late.
	Partitioned bool
	// HoldContaining holds back, until it is changed, the chunks that contain the text, and
	// with each of them all later ones of its connection; empty for none.
	HoldContaining string
	// Delay is added to the transfer of each chunk.
	Delay time.Duration
	// Jitter is the upper bound of a random time added to Delay.
	Jitter time.Duration
	// DripBytes is the number of bytes forwarded in each dripPeriod; 0 means
	// no limit.
	DripBytes int
	// LossProbability is the probability that a chunk and everything after it on its
	// connection is dropped while the connection stays open.
	LossProbability float64
	// ResetProbability is the probability that the connection is reset instead of
	// forwarding the chunk.
	ResetProbability float64
}

// holds reports whether the chunk is held back.
func (d DirectionFaults) holds(chunk []byte) bool {
	return d.Partitioned || d.HoldContaining != "" && bytes.Contains(chunk, []byte(d.HoldContaining))
}

// Partition returns the faults of a partition in both directions.
func Partition() Faults {
	return Faults{Up: DirectionFaults{Partitioned: true}, Down: DirectionFaults{Partitioned: true}}
}

// LoseReplies returns faults that drop all replies.
func LoseReplies() Faults { return Faults{Down: DirectionFaults{LossProbability: 1}} }

// Delay returns faults that delay both directions.
func Delay(delay, jitter time.Duration) Faults {
	d := DirectionFaults{Delay: delay, Jitter: jitter}
	return Faults{Up: d, Down: d}
}

// Stats are the counters of a proxy since its start; Held is a current number.
type Stats struct {
	// Connections is the number of accepted connections, refused ones included.
	Connections int
	// Chunks is the number of chunks forwarded.
	Chunks int
	// Held is the number of chunks held back.
	Held int
	// Lost is the number of connections on which bytes were dropped.
	Lost int
	// Reset is the number of connections reset by Direction.Reset.
	Reset int
}
