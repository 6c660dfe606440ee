package membership

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// ServiceName is the name under which the service is registered with net/rpc.
	ServiceName = "Membership"

	heartbeatMethod = ServiceName + ".Heartbeat"
	probeMethod     = ServiceName + ".Probe"
	configMethod    = ServiceName + ".Config"

	// callTimeout bounds a heartbeat and the fetching of a configuration.
	callTimeout = 500 * time.Millisecond
	// probeTimeout bounds a probe, which includes a heartbeat of the peer to the
	// probed process.
	probeTimeout = 2 * callTimeout
	// senderDuties is the number of concurrent calls, so that a few unresponsive
	// members do not delay the heartbeats to the others.
	senderDuties = 4
	// senderRing is the capacity of a sender's ring. A full ring rejects the call,
	// which is then offered to the next sender.
	senderRing = 2
)

// Caller calls methods of peers; peerrpc.Client implements it.
type Caller interface {
	// Call calls the method of the peer at address and fills reply. reply is
	// undefined when it returns an error.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// call is an RPC call to be made by a sender.
type call struct {
	// to is the member expected at the address; empty when any member may
	// respond.
	to      model.InstanceID
	address string
	// run makes the call and returns the message for the membership duty.
	run func(caller Caller, c call, sent time.Time) message
}

// sender makes calls on its own thread, since they block.
type sender struct {
	duty   *duty.Duty[call]
	caller Caller
	clock  clock.Clock
	post   func(context.Context, message) error
}

func newSender(caller Caller, clock clock.Clock, post func(context.Context, message) error) *sender {
	s := &sender{caller: caller, clock: clock, post: post}
	s.duty = duty.New("membership-send", senderRing, duty.HandlerFunc[call](s.handle))
	return s
}

func (s *sender) handle(batch []call) time.Duration {
	for _, c := range batch {
		// post fails only when the ring is closed, because the process stops. The
		// result is then no longer needed.
		_ = s.post(context.Background(), c.run(s.caller, c, s.clock.Now()))
	}
	return duty.Never
}

func runHeartbeat(heartbeat Heartbeat) func(Caller, call, time.Time) message {
	return func(caller Caller, c call, sent time.Time) message {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		reply := &HeartbeatReply{}
		if err := caller.Call(ctx, c.address, heartbeatMethod, heartbeat, reply); err != nil {
			return heartbeatFailed{to: c.to, address: c.address}
		}
		return heartbeatReplied{to: c.to, address: c.address, sent: sent, reply: *reply}
	}
}

func runProbe(target model.InstanceID, address string) func(Caller, call, time.Time) message {
	return func(caller Caller, c call, _ time.Time) message {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		reply := &ProbeReply{}
		err := caller.Call(ctx, c.address, probeMethod, ProbeRequest{Address: address}, reply)
		return probeFinished{target: target, from: reply.From, ok: err == nil}
	}
}

func runConfigFetch(caller Caller, c call, _ time.Time) message {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply := &ConfigReply{}
	if err := caller.Call(ctx, c.address, configMethod, ConfigRequest{}, reply); err != nil {
		return configFetched{}
	}
	return configFetched{raw: reply.Raw}
}

// runRelayedProbe sends a heartbeat on behalf of a peer and sends the outcome to
// done.
func runRelayedProbe(heartbeat Heartbeat, done chan<- probeOutcome) func(Caller, call, time.Time) message {
	return func(caller Caller, c call, sent time.Time) message {
		msg := runHeartbeat(heartbeat)(caller, c, sent)
		replied, ok := msg.(heartbeatReplied)
		done <- probeOutcome{from: replied.reply.From, ok: ok}
		return msg
	}
}
