package membership

import (
	"hash/fnv"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// updatesPerMessage bounds the records in one message.
	updatesPerMessage = 8
	// joinReplyRecords bounds the records in the reply to a process that has no
	// entry yet, so that a joining process learns of the fleet in one reply.
	joinReplyRecords = 256
	// retransmitFactor times the logarithm of the fleet size is how often a
	// changed record is sent.
	retransmitFactor = 3
)

// roster holds the records of all members. It has no clock and no transport;
// only the membership duty accesses it.
type roster struct {
	self    Record
	entries map[model.InstanceID]*entry
	// targetOrder is the order in which heartbeats are sent to members; cursor is
	// the index of the member considered last.
	targetOrder []model.InstanceID
	cursor      int
	// selfTransmits counts how often the own record was sent since it last
	// changed.
	selfTransmits int
	// changed is set when the directory has to be published again.
	changed bool
}

func newRoster(self Member) *roster {
	return &roster{
		self:    Record{Member: self, State: Alive},
		entries: map[model.InstanceID]*entry{},
		changed: true,
	}
}

// setSelf replaces the process's description of itself and increases its
// revision, if a mutable field differs.
func (r *roster) setSelf(updated Member) {
	if r.self.Member.equalMutable(updated) {
		return
	}
	updated.Revision = r.self.Member.Revision + 1
	r.self.Member = updated
	r.markSelfChanged()
}

func (r *roster) markSelfChanged() {
	r.selfTransmits = 0
	r.changed = true
}

// merge applies records received from peers.
func (r *roster) merge(now time.Time, records []Record) {
	for _, record := range records {
		r.mergeOne(now, record)
	}
}

func (r *roster) mergeOne(now time.Time, record Record) {
	if record.Member.Instance == r.self.Member.Instance {
		r.refute(record)
		return
	}
	e, exists := r.entries[record.Member.Instance]
	if !exists {
		r.addEntry(now, record)
		return
	}
	if e.merge(now, record) {
		r.changed = true
	}
}

// refute raises the own incarnation above that of a received record whose state
// contradicts the own one.
func (r *roster) refute(update Record) {
	if update.State == r.self.State || update.Incarnation < r.self.Incarnation {
		return
	}
	r.self.Incarnation = update.Incarnation + 1
	r.markSelfChanged()
}

// addEntry adds a member that has no entry yet. A member that is dead or left is
// not added: its entry has expired here already.
func (r *roster) addEntry(now time.Time, record Record) {
	if record.State != Alive && record.State != Suspect || record.Member.Address == "" {
		return
	}
	e := newEntry(now, record)
	e.merge(now, record)
	id := record.Member.Instance
	r.entries[id] = e
	at, _ := slices.BinarySearchFunc(r.targetOrder, id, r.compareTargets)
	r.targetOrder = slices.Insert(r.targetOrder, at, id)
	r.changed = true
}

// compareTargets orders instances by a hash that differs at each process, so
// that the processes do not all send to the same member at once.
func (r *roster) compareTargets(a, b model.InstanceID) int {
	if x, y := r.targetHash(a), r.targetHash(b); x != y {
		if x < y {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a), string(b))
}

func (r *roster) targetHash(id model.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.self.Member.Instance))
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// expire ends the states whose timeout has passed and removes the entries of
// members in the state forgotten.
func (r *roster) expire(now time.Time) {
	for id, e := range r.entries {
		if !e.expire(now) {
			continue
		}
		r.changed = true
		if setForgotten.Has(e.state) {
			r.removeEntry(id)
		}
	}
}

func (r *roster) removeEntry(id model.InstanceID) {
	delete(r.entries, id)
	r.targetOrder = slices.DeleteFunc(r.targetOrder, func(other model.InstanceID) bool { return other == id })
}

// extendTimeouts moves the start of all states forward by the time for which this
// process was paused, since it could not receive any reply during the pause.
func (r *roster) extendTimeouts(paused time.Duration) {
	for _, e := range r.entries {
		e.enteredAt = e.enteredAt.Add(paused)
	}
}

// observe fires an event that this process itself observed in the member's
// chart.
func (r *roster) observe(now time.Time, id model.InstanceID, event chart.Event) {
	if e, ok := r.entries[id]; ok && e.fire(now, event) {
		r.changed = true
	}
}

// nextTargets returns up to n members in the given states, round robin.
func (r *roster) nextTargets(n int, set chart.StateSet) []*entry {
	var targets []*entry
	for range r.targetOrder {
		if len(targets) == n {
			break
		}
		r.cursor = (r.cursor + 1) % len(r.targetOrder)
		if e := r.entries[r.targetOrder[r.cursor]]; set.Has(e.state) {
			targets = append(targets, e)
		}
	}
	return targets
}

// updates returns the records to be sent to a member: first the record of that
// member, which is always included unless it is alive, so that the member can
// refute it; then the changed records that were sent least often.
func (r *roster) updates(to model.InstanceID) []Record {
	limit := r.retransmitLimit()
	var due []*entry
	for id, e := range r.entries {
		if e.transmits < limit || (id == to && !setAlive.Has(e.state)) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return r.compareUpdates(to, a, b) })
	due = due[:min(len(due), updatesPerMessage)]
	records := make([]Record, 0, len(due))
	for _, e := range due {
		e.transmits++
		records = append(records, e.record())
	}
	return records
}

// compareUpdates orders the record of the receiving member first, then by the
// number of times that a record was sent.
func (r *roster) compareUpdates(to model.InstanceID, a, b *entry) int {
	if a.member.Instance == to {
		return -1
	}
	if b.member.Instance == to {
		return 1
	}
	if a.transmits != b.transmits {
		return a.transmits - b.transmits
	}
	return strings.Compare(string(a.member.Instance), string(b.member.Instance))
}

// joinReply returns the records of the available members, for a process that has
// just joined.
func (r *roster) joinReply() []Record {
	var records []Record
	for _, id := range r.targetOrder {
		if e := r.entries[id]; setAvailable.Has(e.state) && len(records) < joinReplyRecords {
			records = append(records, e.record())
		}
	}
	return records
}

// hasUpdates reports whether any record is below its retransmit limit, so that
// heartbeats are sent at the shorter period.
func (r *roster) hasUpdates() bool {
	limit := r.retransmitLimit()
	if r.selfTransmits < limit {
		return true
	}
	for _, e := range r.entries {
		if e.transmits < limit {
			return true
		}
	}
	return false
}

// retransmitLimit returns how often a changed record is sent: retransmitFactor
// times the logarithm of the fleet size.
func (r *roster) retransmitLimit() int {
	return retransmitFactor * bits.Len(uint(len(r.entries)+1))
}

// addresses returns the addresses of the members in the given states.
func (r *roster) addresses(set chart.StateSet) map[string]bool {
	found := map[string]bool{}
	for _, e := range r.entries {
		if set.Has(e.state) {
			found[e.member.Address] = true
		}
	}
	return found
}
