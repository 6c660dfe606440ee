package sched

import (
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// onRecord is what follows once the entry with the number is on record.
type onRecord struct {
	number uint64
	then   consequence
}

// consequence is what follows from an entry that is on record.
type consequence interface{ follow(s *Shard) }

type (
	// acceptedDurable follows the acceptance of a request.
	acceptedDurable struct{ record *record }
	// answerDurable follows the answer to a request.
	answerDurable struct{ record *record }
	// intentDurable follows the intent to start an attempt.
	intentDurable struct{ attempt *attempt }
	// partDurable follows the success of one of several tasks.
	partDurable struct{ settled settledAttempt }
	// nothing follows an entry that only a successor reads.
	nothing struct{}
	// membersDurable follows a change of the shard's endpoints.
	membersDurable struct{}
)

func (c acceptedDurable) follow(s *Shard) { c.record.fire(s.recordChart.acceptedDurable) }

func (c answerDurable) follow(s *Shard) { c.record.fire(s.recordChart.answerDurable) }

func (c partDurable) follow(s *Shard) { s.acknowledge(c.settled) }

func (nothing) follow(*Shard) {}

func (membersDurable) follow(s *Shard) {
	s.members, s.proposed = s.proposed, nil
	s.proof.SetMembers(ids(s.members), nil)
	for _, m := range s.members {
		if session := s.sessions[m.ID]; session != nil {
			session.place()
		}
	}
}

// append puts an entry on its way to the shardjournal.
func (s *Shard) append(entry shardjournal.Entry, then consequence) {
	s.appended++
	s.unsent = append(s.unsent, shardjournal.Append{Epoch: s.epoch, Entry: entry})
	s.onRecord = append(s.onRecord, onRecord{s.appended, then})
}

// unrecorded is the number of entries that are not on record yet.
func (s *Shard) unrecorded() int { return int(s.appended - s.durable) }

// flush hands entries to the journal as far as its ring has room.
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

func (m durable) deliver(s *Shard) {
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	s.durable = m.number
	for len(s.onRecord) > 0 && s.onRecord[0].number <= m.number {
		next := s.onRecord[0].then
		s.onRecord = s.onRecord[1:]
		next.follow(s)
	}
}

func (m store) deliver(s *Shard) {
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
		r.fire(s.recordChart.storeDown)
	}
}

// ids returns the names of the endpoints.
func ids(infos []model.EndpointInfo) []model.EndpointID {
	var names []model.EndpointID
	for _, info := range infos {
		names = append(names, info.ID)
	}
	return names
}
