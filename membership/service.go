package membership

import (
	"time"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/result"
)

// Service implements the methods that peers call by net/rpc. Heartbeat and
// Probe put a message on the membership duty's ring and wait for the reply.
type Service struct {
	membership *Membership
}

// Service returns the service to be registered under ServiceName.
func (m *Membership) Service() *Service { return &Service{membership: m} }

// Heartbeat handles a peer's heartbeat. It returns result.Busy when the ring is
// full or the duty does not reply within callTimeout.
func (s *Service) Heartbeat(heartbeat Heartbeat, reply *HeartbeatReply) error {
	done := make(chan HeartbeatReply, 1)
	if !s.membership.post(heartbeatReceived{heartbeat: heartbeat, reply: done}) {
		return result.Errorf(result.Busy, "the membership's ring is full")
	}
	return await(done, reply, callTimeout)
}

// Probe sends a heartbeat to another process and returns that process's record of
// itself. It returns result.HomeUnreachable when the process does not respond.
func (s *Service) Probe(request ProbeRequest, reply *ProbeReply) error {
	done := make(chan probeOutcome, 1)
	if !s.membership.post(probeRequested{address: request.Address, done: done}) {
		return result.Errorf(result.Busy, "the membership's ring is full")
	}
	var outcome probeOutcome
	if err := await(done, &outcome, probeTimeout); err != nil {
		return err
	}
	if !outcome.ok {
		return result.Errorf(result.HomeUnreachable, "no answer from %s", request.Address)
	}
	reply.From = outcome.from
	return nil
}

// Config returns the current configuration; Raw stays empty when there is none.
func (s *Service) Config(_ ConfigRequest, reply *ConfigReply) error {
	current := s.membership.configStore.View().Current()
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

// await waits for the duty's reply. The timeout is needed since a duty that has
// stopped does not reply.
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
