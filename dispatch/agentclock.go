package dispatch

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// maxReadingAge bounds the age of a reading of an agent's clock: within it, the clocks of
// two instances drift apart by far less than SendWindow.
const maxReadingAge = 2 * time.Second

// errOtherIncarnation rejects commands whose permissions are times of another
// incarnation's clock.
var errOtherIncarnation = eris.New("the agent has restarted")

// ClockReply is the result of ReadClock.
type ClockReply struct {
	// Incarnation identifies the agent's process.
	Incarnation uint64
	// Now is the time of the agent's clock in nanoseconds. Its zero is not specified.
	Now int64
}

// clockReading relates an agent's clock to the one of this instance.
type clockReading struct {
	ClockReply
	// receivedAt is the time of this instance's clock at which the reply arrived, which
	// is not before the agent read its clock.
	receivedAt time.Time
}

// agentTime returns a time of the agent's clock that is not later than t on this
// instance's clock: the time that the reply took is subtracted from every permission.
func (r clockReading) agentTime(t time.Time) int64 { return r.Now + int64(t.Sub(r.receivedAt)) }

func (r clockReading) fresh(now time.Time) bool {
	return r.Incarnation != 0 && now.Sub(r.receivedAt) < maxReadingAge
}

// readClock reads the agent's clock, unless the last reading is fresh.
func (r *Remote) readClock() error {
	if r.reading.fresh(r.clock.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	var reply ClockReply
	if err := r.peers.Call(ctx, r.Address, readClockMethod, Empty{}, &reply); err != nil {
		return err
	}
	r.reading = clockReading{ClockReply: reply, receivedAt: r.clock.Now()}
	return nil
}

// ReadClock returns the time of the agent's clock. A holder converts the ends of its
// permissions to that clock, since commands may reach the agent long after they were sent.
func (s *service) ReadClock(_ Empty, reply *ClockReply) error {
	*reply = ClockReply{Incarnation: s.agent.incarnation, Now: s.agent.clock.Now().UnixNano()}
	return nil
}
