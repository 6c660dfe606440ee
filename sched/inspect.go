package sched

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

type (
	// explain requests the reason why a request waits.
	explain struct {
		request peer.ExplainRequest
		caller  caller
	}
	// inspect requests the status of the shard.
	inspect struct {
		request peer.StatusRequest
		caller  caller
	}
)

// Explain returns the state of a request and, while it waits, the reason.
func (s *Service) Explain(request peer.ExplainRequest, reply *peer.Reply) error {
	*reply = s.call(request.ID, cancelWait, func(c caller) Message { return explain{request, c} })
	return nil
}

// Status returns the state of the shard for operators.
func (s *Service) Status(request peer.StatusRequest, reply *peer.Reply) error {
	// Calls are routed by request id; any id of the shard selects its duty.
	id := model.NewRequestID(request.Shard, 0)
	*reply = s.call(id, cancelWait, func(c caller) Message { return inspect{request, c} })
	return nil
}

func (m explain) deliver(s *Shard) {
	if !s.admit(m, m.caller) {
		return
	}
	r := s.records[m.request.ID]
	switch {
	case r == nil || (m.request.Team != "" && r.request.Team != m.request.Team):
		s.refuse(m.caller, m.request.ID, &result.Error{Code: result.UnknownRequest, Reason: "no such request of this team"})
	case r.published:
		m.caller.send(peer.Reply{Answer: *r.answer})
	default:
		m.caller.send(peer.Reply{Answer: pending(r.request.ID), Explanation: s.explanation(r)})
	}
}

// explanation describes the state of a request that has no answer yet.
func (s *Shard) explanation(r *record) *peer.Explanation {
	e := &peer.Explanation{
		State:  s.requestChart.machine.Name(r.state),
		Reason: "Its tasks have started or its end is being recorded.",
	}
	if !s.serving() {
		e.Reason = "The shard is being taken over."
		return e
	}
	if cause, waits := s.policy.Explain(s.now, r.request.ID); waits {
		e.Position, e.Reason, e.Start = cause.Position, cause.Reason, cause.Start
	}
	return e
}

func (m inspect) deliver(s *Shard) {
	if !s.admit(m, m.caller) {
		return
	}
	answer := model.Answer{Code: int(result.OK), Ran: result.Lookup(result.OK).Ran}
	m.caller.send(peer.Reply{Answer: answer, Status: s.status()})
}

// status returns the shard's state as shown to operators.
func (s *Shard) status() *peer.ShardStatus {
	status := &peer.ShardStatus{
		Shard: s.id, Holder: s.self, Epoch: s.epoch,
		ConfigVersion: s.config.Version, Endpoints: len(s.sessions),
	}
	for _, session := range s.sessions {
		if s.sessionChart.placeable.Has(session.state) {
			status.Reachable++
			status.Capacity = status.Capacity.Add(session.info.Capacity)
		}
	}
	if !s.serving() {
		return status
	}
	for _, standing := range s.policy.TeamUsages(nil) {
		status.Committed = status.Committed.Add(standing.Running)
		status.Teams = append(status.Teams, peer.TeamStatus{
			Team: standing.Team, Running: standing.Running, Queued: standing.Queued, Part: standing.Part,
		})
	}
	return status
}
