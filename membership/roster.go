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
	// newsPerMessage bounds the records in one message.
	newsPerMessage = 8
	// welcomeRecords bounds the records in the reply to a process that is heard
	// of for the first time: it learns the fleet at once.
	welcomeRecords = 256
	// sendsFactor times the logarithm of the fleet is how often a changed
	// record is passed on.
	sendsFactor = 3
)

// roster is all that this process holds of the members. It has no clock and no
// transport; the membership duty owns it.
type roster struct {
	self    Record
	entries map[model.InstanceID]*entry
	// ring is the order in which members are sent heartbeats; next is the place
	// of the next one.
	ring []model.InstanceID
	next int
	// selfSends counts how often the own record went out since it changed.
	selfSends int
	// changed is set when anything shown in the directory changed.
	changed bool
}

func newRoster(self Member) *roster {
	return &roster{
		self:    Record{Member: self, State: Alive},
		entries: map[model.InstanceID]*entry{},
		changed: true,
	}
}

// setFacts replaces what the process says about itself, if it differs.
func (r *roster) setFacts(facts Member) {
	if r.self.Member.same(facts) {
		return
	}
	facts.Revision = r.self.Member.Revision + 1
	r.self.Member = facts
	r.touchSelf()
}

func (r *roster) touchSelf() {
	r.selfSends = 0
	r.changed = true
}

// merge takes others' word about any member.
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
	e, known := r.entries[record.Member.Instance]
	if !known {
		r.admit(now, record)
		return
	}
	if e.tell(now, record) {
		r.changed = true
	}
}

// refute raises the own incarnation above a word that it does not answer to.
func (r *roster) refute(word Record) {
	if word.State == r.self.State || word.Incarnation < r.self.Incarnation {
		return
	}
	r.self.Incarnation = word.Incarnation + 1
	r.touchSelf()
}

// admit adds a member that is heard of for the first time. Members that are
// dead or left are not added: they have been forgotten here.
func (r *roster) admit(now time.Time, record Record) {
	if record.State != Alive && record.State != Suspect || record.Member.Address == "" {
		return
	}
	e := newEntry(now, record)
	e.tell(now, record)
	id := record.Member.Instance
	r.entries[id] = e
	at, _ := slices.BinarySearchFunc(r.ring, id, r.compare)
	r.ring = slices.Insert(r.ring, at, id)
	r.changed = true
}

// compare orders instances by a hash that differs at each process, so that not
// all processes send to the same one at once.
func (r *roster) compare(a, b model.InstanceID) int {
	if x, y := r.place(a), r.place(b); x != y {
		if x < y {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a), string(b))
}

func (r *roster) place(id model.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.self.Member.Instance))
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// expire ends states that have lasted their time and forgets members.
func (r *roster) expire(now time.Time) {
	for id, e := range r.entries {
		if !e.expire(now) {
			continue
		}
		r.changed = true
		if setForgotten.Has(e.state) {
			r.forget(id)
		}
	}
}

func (r *roster) forget(id model.InstanceID) {
	delete(r.entries, id)
	r.ring = slices.DeleteFunc(r.ring, func(other model.InstanceID) bool { return other == id })
}

// forgive moves the begin of all states by the time that this process was
// itself paused, since nobody could answer it then.
func (r *roster) forgive(paused time.Duration) {
	for _, e := range r.entries {
		e.since = e.since.Add(paused)
	}
}

// observe hands an own observation about a member to its chart.
func (r *roster) observe(now time.Time, id model.InstanceID, event chart.Event) {
	if e, ok := r.entries[id]; ok && e.fire(now, event) {
		r.changed = true
	}
}

// nextTargets returns up to n members of the set, in turn.
func (r *roster) nextTargets(n int, set chart.StateSet) []*entry {
	var targets []*entry
	for range r.ring {
		if len(targets) == n {
			break
		}
		r.next = (r.next + 1) % len(r.ring)
		if e := r.entries[r.ring[r.next]]; set.Has(e.state) {
			targets = append(targets, e)
		}
	}
	return targets
}

// news returns the records to be passed on to a member: what it does not know
// of itself first, then those that went out least.
func (r *roster) news(to model.InstanceID) []Record {
	limit := r.sendLimit()
	var due []*entry
	for id, e := range r.entries {
		if e.sends < limit || (id == to && !setAlive.Has(e.state)) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int { return r.compareNews(to, a, b) })
	due = due[:min(len(due), newsPerMessage)]
	records := make([]Record, 0, len(due))
	for _, e := range due {
		e.sends++
		records = append(records, e.record())
	}
	return records
}

func (r *roster) compareNews(to model.InstanceID, a, b *entry) int {
	if a.member.Instance == to {
		return -1
	}
	if b.member.Instance == to {
		return 1
	}
	if a.sends != b.sends {
		return a.sends - b.sends
	}
	return strings.Compare(string(a.member.Instance), string(b.member.Instance))
}

// welcome returns the records of answering members for a process that knows
// nobody yet.
func (r *roster) welcome() []Record {
	var records []Record
	for _, id := range r.ring {
		if e := r.entries[id]; setAnswering.Has(e.state) && len(records) < welcomeRecords {
			records = append(records, e.record())
		}
	}
	return records
}

// hasNews reports whether something is to be passed on before the next period.
func (r *roster) hasNews() bool {
	limit := r.sendLimit()
	if r.selfSends < limit {
		return true
	}
	for _, e := range r.entries {
		if e.sends < limit {
			return true
		}
	}
	return false
}

// sendLimit is how often a changed record is passed on: the logarithm of the
// fleet times a constant.
func (r *roster) sendLimit() int {
	return sendsFactor * bits.Len(uint(len(r.entries)+1))
}

// addresses returns the addresses of the members in the set.
func (r *roster) addresses(set chart.StateSet) map[string]bool {
	found := map[string]bool{}
	for _, e := range r.entries {
		if set.Has(e.state) {
			found[e.member.Address] = true
		}
	}
	return found
}
