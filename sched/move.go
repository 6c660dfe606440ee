package sched

import (
	"expvar"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

const (
	// maxDelegated bounds the requests in one call to another shard.
	maxDelegated = 1024
	// answerGrace is how long after the end of a moved request's window the
	// other shard is still queried for the answer.
	answerGrace = 5 * time.Second
)

// requestsMoved counts the requests that were moved to another shard.
var requestsMoved = expvar.NewInt("sched_requests_moved")

// relocate moves the requests that wait for a start to other shards while this
// failure domain is taken out of service.
func (s *Shard) relocate() {
	if !s.serving() || !s.domainOut() {
		return
	}
	for _, r := range s.active {
		r.fire(s.requestChart.relocate)
	}
}

func (s *Shard) domainOut() bool {
	if s.config == nil {
		return false
	}
	domain, known := s.config.Domain(s.id.Domain)
	return known && domain.Out
}

// movable reports whether the request can be moved: none of its attempts runs
// or may run here, and a shard in another domain in service can run it.
func (r *record) movable() bool {
	started := len(r.attempts) > 0 || len(r.parts) > 0 || r.unconfirmed > 0
	notRetryable := r.request.Spec.NotRepeatable && (r.everSent || r.ran || r.mayHaveRun)
	if started || notRetryable || r.answer != nil || r.ending != nil {
		return false
	}
	_, found := r.shard.destination(r)
	return found
}

// destination returns the shard that is to run the request instead. It is
// never the request's home: when this shard isn't the home, the home has moved
// the request here.
func (s *Shard) destination(r *record) (to model.ShardID, found bool) {
	placement, err := s.homes.Place(r.request.Team, r.request.Key, s.now, 0)
	if err != nil {
		return model.ShardID{}, false
	}
	to, err = placement.Home.Home()
	if err != nil || to == s.id {
		return model.ShardID{}, false
	}
	home, err := r.request.ID.Home()
	return to, err == nil && to != home
}

// removeFromScheduler cancels the request at the scheduler. The ending that
// the scheduler reports for this is ignored, since the request continues at the
// other shard.
func (r *record) removeFromScheduler() {
	r.movedTo, _ = r.shard.destination(r)
	if r.inScheduler {
		r.shard.policy.Cancel(r.shard.now, r.request.ID)
		r.shard.dirty = true
	}
	r.inScheduler = false
}

func (r *record) recordMove() {
	requestsMoved.Add(1)
	entry := shardjournal.Entry{Moved: &shardjournal.Moved{Request: r.request.ID, To: r.movedTo}}
	r.shard.append(entry, movedDurable{r})
}

// movedDurable runs when the journal entry of a request's move is durable.
type movedDurable struct{ record *record }

func (c movedDurable) onDurable(s *Shard) { c.record.fire(s.requestChart.movedDurable) }

// overdue reports whether the other shard has not returned an answer within
// answerGrace after the end of the window.
func (r *record) overdue() bool {
	return r.shard.now.After(r.request.Deadline.Add(answerGrace))
}

// setOutcomeUnknown sets the answer of a moved request whose shard does not
// respond.
func (r *record) setOutcomeUnknown() {
	answer := result.Answer(r.request.ID, result.OutcomeUnknown, "shard "+r.movedTo.String()+", which runs the request, does not answer")
	r.answer = &answer
}

// queryMoved queries other shards for the answers of the requests that were
// moved there, with at most one call in flight for each shard.
func (s *Shard) queryMoved() {
	if !s.serving() {
		return
	}
	batches := map[model.ShardID][]peer.DelegatedItem{}
	for _, r := range s.active {
		to := r.movedTo
		if !s.requestChart.elsewhere.Has(r.state) || s.delegating[to] || len(batches[to]) >= maxDelegated {
			continue
		}
		batches[to] = append(batches[to], r.delegatedItem())
	}
	for to, items := range batches {
		s.delegating[to] = s.ports.Delegate(delegateJob{epoch: s.epoch, to: to, items: items})
	}
}

// delegatedItem returns the item of the Delegate call for this request. It has
// the whole request until the other shard has acknowledged the move.
func (r *record) delegatedItem() peer.DelegatedItem {
	item := peer.DelegatedItem{ID: r.request.ID, Cancel: r.cancelled}
	if !r.moveAcknowledged {
		item.Request = r.request
	}
	return item
}

// delegateReplied is the reply of another shard about requests that were moved
// there; answers is empty when the call failed.
type delegateReplied struct {
	epoch   model.Epoch
	to      model.ShardID
	answers []model.Answer
}

func (m delegateReplied) deliver(s *Shard) {
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	delete(s.delegating, m.to)
	for _, answer := range m.answers {
		s.applyAnswer(m.to, answer)
	}
}

func (s *Shard) applyAnswer(from model.ShardID, answer model.Answer) {
	r := s.records[answer.ID]
	if r == nil || !s.requestChart.elsewhere.Has(r.state) || r.movedTo != from {
		return
	}
	code := result.Code(answer.Code)
	r.moveAcknowledged = code != result.UnknownRequest
	if code == result.Pending || code == result.UnknownRequest {
		return
	}
	r.answer = &answer
	r.fire(s.requestChart.answeredElsewhere)
}
