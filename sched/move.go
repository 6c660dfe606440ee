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
	// maxAsked bounds the requests in one call to another shard.
	maxAsked = 1024
	// silenceGrace is how long after the end of the window another shard is
	// asked for the answer.
	silenceGrace = 5 * time.Second
)

// requestsMoved counts the requests that were moved to another shard.
var requestsMoved = expvar.NewInt("sched_requests_moved")

// relocate moves the requests that wait for a start to other shards while this
// failure domain is out of service.
func (s *Shard) relocate() {
	if !s.serving() || !s.domainOut() {
		return
	}
	for _, r := range s.active {
		r.fire(s.recordChart.relocate)
	}
}

func (s *Shard) domainOut() bool {
	if s.config == nil {
		return false
	}
	domain, known := s.config.Domain(s.id.Domain)
	return known && domain.Out
}

// movable reports whether the request can be run elsewhere: nothing of it runs
// or may run here, and another shard is in service.
func (r *record) movable() bool {
	started := len(r.attempts) > 0 || len(r.parts) > 0 || r.unsettled > 0
	spent := r.request.Spec.NotRepeatable && (r.exposed || r.ran || r.uncertain)
	if started || spent || r.answer != nil || r.ending != nil {
		return false
	}
	_, found := r.shard.destination(r)
	return found
}

// destination returns the shard that is to run the request instead. It is
// never the request's home, which has moved it here.
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

// leaveScheduler takes the request from the scheduler. The ending that this
// brings about is not the request's.
func (r *record) leaveScheduler() {
	r.movedTo, _ = r.shard.destination(r)
	if r.handed {
		r.shard.policy.Cancel(r.shard.now, r.request.ID)
		r.shard.dirty = true
	}
	r.handed = false
}

func (r *record) recordMove() {
	requestsMoved.Add(1)
	entry := shardjournal.Entry{Moved: &shardjournal.Moved{Request: r.request.ID, To: r.movedTo}}
	r.shard.append(entry, movedDurable{r})
}

// movedDurable follows the record of a request's move.
type movedDurable struct{ record *record }

func (c movedDurable) follow(s *Shard) { c.record.fire(s.recordChart.movedDurable) }

// overdue reports whether the other shard has been silent for too long.
func (r *record) overdue() bool {
	return r.shard.now.After(r.request.Deadline.Add(silenceGrace))
}

// giveUp ends a request whose shard elsewhere stays silent.
func (r *record) giveUp() {
	answer := result.Answer(r.request.ID, result.OutcomeUnknown, "shard "+r.movedTo.String()+", which runs the request, does not answer")
	r.answer = &answer
}

// ask asks other shards about the requests that were moved there.
func (s *Shard) ask() {
	if !s.serving() {
		return
	}
	batches := map[model.ShardID][]peer.DelegatedItem{}
	for _, r := range s.active {
		to := r.movedTo
		if !s.recordChart.elsewhere.Has(r.state) || s.asking[to] || len(batches[to]) >= maxAsked {
			continue
		}
		batches[to] = append(batches[to], r.delegated())
	}
	for to, items := range batches {
		s.asking[to] = s.ports.Delegate(delegateJob{epoch: s.epoch, to: to, items: items})
	}
}

// delegated is the request as the other shard is asked about it.
func (r *record) delegated() peer.DelegatedItem {
	item := peer.DelegatedItem{ID: r.request.ID, Cancel: r.cancelled}
	if !r.taken {
		item.Request = r.request
	}
	return item
}

// asked is what another shard has said of requests that were moved there.
type asked struct {
	epoch   model.Epoch
	to      model.ShardID
	answers []model.Answer
}

func (m asked) deliver(s *Shard) {
	if m.epoch != s.epoch || !s.holding() {
		return
	}
	delete(s.asking, m.to)
	for _, answer := range m.answers {
		s.takeAnswer(m.to, answer)
	}
}

func (s *Shard) takeAnswer(from model.ShardID, answer model.Answer) {
	r := s.records[answer.ID]
	if r == nil || !s.recordChart.elsewhere.Has(r.state) || r.movedTo != from {
		return
	}
	code := result.Code(answer.Code)
	r.taken = code != result.UnknownRequest
	if code == result.Pending || code == result.UnknownRequest {
		return
	}
	r.answer = &answer
	r.fire(s.recordChart.answeredElsewhere)
}
