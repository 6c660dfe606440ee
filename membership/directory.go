package membership

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/hornbeamworks/hornbeam/model"
)

// Status is a member as the directory shows it.
type Status struct {
	// Member is what the process last said about itself.
	Member Member
	// State is what is held of it.
	State State
}

// Answering reports whether the member may be sent requests: it is alive, or
// suspected and not dead yet.
func (s Status) Answering() bool { return s.State == Alive || s.State == Suspect }

// Directory shows the members to any thread.
type Directory struct {
	// shown is replaced whole by the membership duty. It is an atomic pointer
	// since every request reads it and none may wait for the duty.
	shown atomic.Pointer[directoryState]
}

// directoryState is what the directory shows; it is never changed once made.
type directoryState struct {
	members []Status
	holders map[model.ShardID]holder
}

// holder is the member that holds a shard under the highest epoch heard of.
type holder struct {
	status Status
	epoch  model.Epoch
}

func newDirectory() *Directory {
	d := &Directory{}
	d.shown.Store(&directoryState{})
	return d
}

// Members returns all members that are known, this process included, in the
// order of their instance names. The slice must not be changed.
func (d *Directory) Members() []Status { return d.shown.Load().members }

// Holder returns the member that holds the shard under the highest epoch that
// was heard of. It may be suspected; ok is false when none is known or the last
// one is dead or left.
func (d *Directory) Holder(shard model.ShardID) (status Status, epoch model.Epoch, ok bool) {
	h, found := d.shown.Load().holders[shard]
	if !found || !h.status.Answering() {
		return Status{}, h.epoch, false
	}
	return h.status, h.epoch, true
}

// Candidates returns the answering schedulers of the failure domain, those that
// are alive first.
func (d *Directory) Candidates(domain model.DomainName) []Status {
	var found []Status
	for _, s := range d.Members() {
		if s.Member.Domain == domain && s.Member.Role == Scheduler && s.Answering() {
			found = append(found, s)
		}
	}
	slices.SortStableFunc(found, func(a, b Status) int {
		return strings.Compare(string(a.State), string(b.State))
	})
	return found
}

// show replaces what the directory shows. The membership duty alone calls it.
func (d *Directory) show(r *roster) {
	next := &directoryState{holders: map[model.ShardID]holder{}}
	next.members = append(next.members, Status{Member: r.self.Member, State: r.self.State})
	for _, e := range r.entries {
		record := e.record()
		next.members = append(next.members, Status{Member: record.Member, State: record.State})
	}
	slices.SortFunc(next.members, func(a, b Status) int {
		return strings.Compare(string(a.Member.Instance), string(b.Member.Instance))
	})
	for _, status := range next.members {
		for _, held := range status.Member.Shards {
			if known, ok := next.holders[held.Shard]; !ok || held.Epoch > known.epoch {
				next.holders[held.Shard] = holder{status: status, epoch: held.Epoch}
			}
		}
	}
	d.shown.Store(next)
}
