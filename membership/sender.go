package membership

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// ServiceName is the net/rpc name of the membership's service.
	ServiceName = "Membership"

	heartbeatMethod = ServiceName + ".Heartbeat"
	probeMethod     = ServiceName + ".Probe"
	configMethod    = ServiceName + ".Config"

	// callTimeout bounds a heartbeat and the fetch of a configuration.
	callTimeout = 500 * time.Millisecond
	// probeTimeout bounds a probe, which waits for another process's call.
	probeTimeout = 2 * callTimeout
	// senderDuties is the number of calls under way at once, so that a few
	// silent members do not hold up the heartbeats to the others.
	senderDuties = 4
	// senderRing is the capacity of a sender's ring. A full ring refuses and
	// the next sender is tried.
	senderRing = 2
)

// Caller calls a method of the peer at an address: a peerrpc.Client.
type Caller interface {
	// Call fills reply or returns an error. After an error reply is not used.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// job is a call to be made by a sender.
type job struct {
	// to is the member that is expected at the address; empty when any is.
	to      model.InstanceID
	address string
	// run makes the call and returns what the membership duty is told.
	run func(caller Caller, j job, sent time.Time) message
}

// sender makes calls on a thread of its own, since they block.
type sender struct {
	duty   *duty.Duty[job]
	caller Caller
	clock  clock.Clock
	tell   func(context.Context, message) error
}

func newSender(caller Caller, clock clock.Clock, tell func(context.Context, message) error) *sender {
	s := &sender{caller: caller, clock: clock, tell: tell}
	s.duty = duty.New("membership-send", senderRing, duty.HandlerFunc[job](s.handle))
	return s
}

func (s *sender) handle(batch []job) time.Duration {
	for _, j := range batch {
		// The ring is closed once the process stops; outcomes are then moot.
		_ = s.tell(context.Background(), j.run(s.caller, j, s.clock.Now()))
	}
	return duty.Never
}

func runHeartbeat(heartbeat Heartbeat) func(Caller, job, time.Time) message {
	return func(caller Caller, j job, sent time.Time) message {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		reply := &HeartbeatReply{}
		if err := caller.Call(ctx, j.address, heartbeatMethod, heartbeat, reply); err != nil {
			return noAnswer{to: j.to, address: j.address}
		}
		return answered{to: j.to, address: j.address, sent: sent, reply: *reply}
	}
}

func runProbe(about model.InstanceID, address string) func(Caller, job, time.Time) message {
	return func(caller Caller, j job, _ time.Time) message {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		reply := &ProbeReply{}
		err := caller.Call(ctx, j.address, probeMethod, ProbeRequest{Address: address}, reply)
		return probed{about: about, from: reply.From, ok: err == nil}
	}
}

func runFetch(caller Caller, j job, _ time.Time) message {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := &ConfigReply{}
	if err := caller.Call(ctx, j.address, configMethod, ConfigRequest{}, reply); err != nil {
		return fetched{}
	}
	return fetched{raw: reply.Raw}
}

// runRelay sends a heartbeat for another process and hands it the answer.
func runRelay(heartbeat Heartbeat, done chan<- relayed) func(Caller, job, time.Time) message {
	return func(caller Caller, j job, sent time.Time) message {
		what := runHeartbeat(heartbeat)(caller, j, sent)
		a, ok := what.(answered)
		done <- relayed{from: a.reply.From, ok: ok}
		return what
	}
}
