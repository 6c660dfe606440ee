package sched

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

// delegation is the call of another shard about requests that it has moved
// here. The reply's channel has room for it.
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
		reply.Answers = append(reply.Answers, s.takeItem(item))
	}
	m.reply <- reply
}

// takeItem says how a moved request stands, after taking it if it is new.
func (s *Shard) takeItem(item peer.DelegatedItem) model.Answer {
	r := s.records[item.ID]
	if r == nil && item.Request == nil {
		return result.Answer(item.ID, result.UnknownRequest, "shard "+s.id.String()+" does not have it")
	}
	if r == nil {
		return s.takeMoved(item)
	}
	if r.told {
		return *r.answer
	}
	if item.Cancel && r.answer == nil {
		s.cancel(r)
	}
	return pending(item.ID)
}

// takeMoved takes a request that this shard does not know. After its window it
// can't be told from one that was answered and forgotten.
func (s *Shard) takeMoved(item peer.DelegatedItem) model.Answer {
	request := item.Request
	if !s.now.Before(request.Deadline) {
		return result.Answer(item.ID, result.OutcomeUnknown, "the window ended before shard "+s.id.String()+" could take the request")
	}
	if item.Cancel {
		return result.Answer(item.ID, result.Cancelled, "cancelled by the caller")
	}
	if len(s.active) >= s.settings.MaxOpen || s.unrecorded() >= s.settings.MaxUnrecorded {
		return result.Answer(item.ID, result.UnknownRequest, "shard "+s.id.String()+" has as many open requests as it takes")
	}
	if err := s.policy.Check(s.now, request); err != nil {
		refusal := result.Of(err)
		return result.Answer(item.ID, refusal.Code, refusal.Reason)
	}
	r := s.newRecord(request)
	r.fire(s.recordChart.submitted)
	if !request.Spec.NotRepeatable {
		s.handOver(r)
	}
	return pending(item.ID)
}
