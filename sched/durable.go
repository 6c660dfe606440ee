package sched

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// pendingEntry is a journal entry that is not durable yet, with the action to
// run once it is.
type pendingEntry struct {
	number uint64
	action durableAction
}

// durableAction is run when its journal entry has become durable.
type durableAction interface{ onDurable(s *Shard) }

type (
	// acceptedDurable runs when a request's acceptance is durable.
	acceptedDurable struct{ record *record }
	// answerDurable runs when a request's answer is durable.
	answerDurable struct{ record *record }
	// intentDurable runs when the intent to start an attempt is durable.
	intentDurable struct{ attempt *attempt }
	// partDurable runs when the success of one of several tasks is durable.
	partDurable struct{ ended endedAttempt }
	// noAction belongs to entries that only a successor reads.
	noAction struct{}
	// membersDurable runs when a change of the shard's members is durable.
	membersDurable struct{}
)

func (c acceptedDurable) onDurable(s *Shard) { c.record.fire(s.requestChart.acceptedDurable) }

func (c answerDurable) onDurable(s *Shard) { c.record.fire(s.requestChart.answerDurable) }

func (c partDurable) onDurable(s *Shard) { s.acknowledge(c.ended) }

func (noAction) onDurable(*Shard) {}

func (membersDurable) onDurable(s *Shard) {
	s.members, s.proposed = s.proposed, nil
	s.proof.SetMembers(ids(s.members), nil)
	for _, m := range s.members {
		if session := s.sessions[m.ID]; session != nil {
			session.addToScheduler()
		}
	}
}

// append queues an entry for the journal, with the action to run when it is
// durable.
func (s *Shard) append(entry shardjournal.Entry, action durableAction) {
	s.appended++
	s.unsent = append(s.unsent, shardjournal.Append{Epoch: s.epoch, Entry: entry})
	s.pendingEntries = append(s.pendingEntries, pendingEntry{s.appended, action})
}

// unrecorded returns the number of entries that are not durable yet.
func (s *Shard) unrecorded() int { return int(s.appended - s.durable) }

// flush sends queued entries to the journal until its ring is full.
func (s *Shard) flush() {
	sent := 0
	for _, entry := range s.unsent {
		if !s.ports.Journal(entry) {
			break
		}
		sent++
	}
	s.unsent = s.unsent[sent:]
}

func (m entriesDurable) deliver(s *Shard) {
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	s.durable = m.number
	for len(s.pendingEntries) > 0 && s.pendingEntries[0].number <= m.number {
		next := s.pendingEntries[0].action
		s.pendingEntries = s.pendingEntries[1:]
		next.onDurable(s)
	}
}

func (m storeChanged) deliver(s *Shard) {
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	s.storeUp = m.up
	if m.up {
		s.logInfo("store_up")
		return
	}
	s.logInfo("store_down")
	for _, r := range s.active {
		r.fire(s.requestChart.storeDown)
	}
}

func ids(infos []model.EndpointInfo) []model.EndpointID {
	var names []model.EndpointID
	for _, info := range infos {
		names = append(names, info.ID)
	}
	return names
}
