package membership

import (
	"time"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/result"
)

// Service serves the membership's calls to peers by net/rpc. Its methods put a
// message on the duty's ring and wait for the reply.
type Service struct {
	membership *Membership
}

// Service returns the service to be registered under ServiceName.
func (m *Membership) Service() *Service { return &Service{membership: m} }

// Heartbeat takes a peer's heartbeat.
func (s *Service) Heartbeat(heartbeat Heartbeat, reply *HeartbeatReply) error {
	done := make(chan HeartbeatReply, 1)
	if !s.membership.tell(heard{heartbeat: heartbeat, reply: done}) {
		return result.Errorf(result.Busy, "the membership's ring is full")
	}
	return await(done, reply, callTimeout)
}

// Probe sends a heartbeat to another process and returns what it said.
func (s *Service) Probe(request ProbeRequest, reply *ProbeReply) error {
	done := make(chan relayed, 1)
	if !s.membership.tell(relay{address: request.Address, done: done}) {
		return result.Errorf(result.Busy, "the membership's ring is full")
	}
	var outcome relayed
	if err := await(done, &outcome, probeTimeout); err != nil {
		return err
	}
	if !outcome.ok {
		return result.Errorf(result.HomeUnreachable, "no answer from %s", request.Address)
	}
	reply.From = outcome.from
	return nil
}

// Config returns the configuration that the process has.
func (s *Service) Config(_ ConfigRequest, reply *ConfigReply) error {
	current := s.membership.keeper.View().Current()
	if current == nil {
		return nil
	}
	raw, err := config.Encode(current)
	if err != nil {
		return err
	}
	reply.Raw = raw
	return nil
}

// await waits for the duty's reply; a duty that has stopped gives none.
func await[R any](done <-chan R, reply *R, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case *reply = <-done:
		return nil
	case <-timer.C:
		return result.Errorf(result.Busy, "no reply within %s", timeout)
	}
}
