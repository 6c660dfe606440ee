package sched

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

// delegation is a Delegate call from another shard about requests that it has
// moved here. The reply channel is buffered, so that sending never blocks.
type delegation struct {
	request peer.DelegateRequest
	reply   chan<- peer.DelegateReply
}

func (m delegation) deliver(s *Shard) {
	if !s.serving() || s.config == nil {
		m.reply <- peer.DelegateReply{Holder: s.successor.Address}
		return
	}
	reply := peer.DelegateReply{Served: true}
	for _, item := range m.request.Items {
		reply.Answers = append(reply.Answers, s.handleItem(item))
	}
	m.reply <- reply
}

// handleItem returns the answer or the pending state of a moved request; a new
// request is accepted first.
func (s *Shard) handleItem(item peer.DelegatedItem) model.Answer {
	r := s.records[item.ID]
	if r == nil && item.Request == nil {
		return result.Answer(item.ID, result.UnknownRequest, "shard "+s.id.String()+" does not have it")
	}
	if r == nil {
		return s.acceptMoved(item)
	}
	if r.published {
		return *r.answer
	}
	if item.Cancel && r.answer == nil {
		s.cancel(r)
	}
	return pending(item.ID)
}

// acceptMoved accepts a moved request that this shard has no record of. After
// the end of its window the request can't be distinguished from one that was
// answered and pruned, so its outcome is unknown.
func (s *Shard) acceptMoved(item peer.DelegatedItem) model.Answer {
	request := item.Request
	if !s.now.Before(request.Deadline) {
		return result.Answer(item.ID, result.OutcomeUnknown, "the window ended before shard "+s.id.String()+" could take the request")
	}
	if len(s.active) >= s.settings.MaxOpen || s.unrecorded() >= s.settings.MaxUnrecorded {
		return result.Answer(item.ID, result.UnknownRequest, "shard "+s.id.String()+" has as many open requests as it takes")
	}
	if err := s.policy.Check(s.now, request); err != nil {
		refusal := result.Of(err)
		return result.Answer(item.ID, refusal.Code, refusal.Reason)
	}
	r := s.newRecord(request)
	r.fire(s.requestChart.submitted)
	if item.Cancel {
		// The record keeps an earlier call with the request from being accepted.
		s.cancel(r)
		return pending(item.ID)
	}
	if !request.Spec.NotRepeatable {
		s.handOver(r)
	}
	return pending(item.ID)
}
