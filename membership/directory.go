package membership

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/hornbeamworks/hornbeam/model"
)

// Status is a member and its state as published in the directory.
type Status struct {
	// Member is the latest description that the process sent of itself.
	Member Member
	State  State
}

// Available reports whether requests may be sent to the member: it is alive, or
// suspected but not yet dead.
func (s Status) Available() bool { return s.State == Alive || s.State == Suspect }

// Directory provides the current members to all threads.
type Directory struct {
	// published is replaced as a whole by the membership duty. It is an atomic
	// pointer since every request reads it and none may wait for the duty.
	published atomic.Pointer[directoryState]
}

// directoryState is the published state; it is immutable.
type directoryState struct {
	members []Status
	holders map[model.ShardID]holder
}

// holder is the member that reported the highest epoch of a shard.
type holder struct {
	status Status
	epoch  model.Epoch
}

func newDirectory() *Directory {
	d := &Directory{}
	d.published.Store(&directoryState{})
	return d
}

// Members returns all registered members, including this process, ordered by
// instance. The slice must not be modified.
func (d *Directory) Members() []Status { return d.published.Load().members }

// Holder returns the member that reported the highest epoch of the shard. The
// member may be suspected. ok is false when no member reported the shard, or
// when that member is dead or left.
func (d *Directory) Holder(shard model.ShardID) (status Status, epoch model.Epoch, ok bool) {
	h, found := d.published.Load().holders[shard]
	if !found || !h.status.Available() {
		return Status{}, h.epoch, false
	}
	return h.status, h.epoch, true
}

// Candidates returns the available schedulers of the failure domain; the alive
// ones precede the suspected ones.
func (d *Directory) Candidates(domain model.DomainName) []Status {
	var found []Status
	for _, s := range d.Members() {
		if s.Member.Domain == domain && s.Member.Role == Scheduler && s.Available() {
			found = append(found, s)
		}
	}
	slices.SortStableFunc(found, func(a, b Status) int {
		return strings.Compare(string(a.State), string(b.State))
	})
	return found
}

// publish replaces the published state by that of the roster. Only the membership
// duty calls it.
func (d *Directory) publish(r *roster) {
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
			if current, ok := next.holders[held.Shard]; !ok || held.Epoch > current.epoch {
				next.holders[held.Shard] = holder{status: status, epoch: held.Epoch}
			}
		}
	}
	d.published.Store(next)
}
