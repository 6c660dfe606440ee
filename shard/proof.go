package shard

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Proof says until when a holder may act. A holder is certain of its shard
// while the table's lease stands, and also while a majority of the shard's
// endpoints have, within the start lease, accepted its epoch. A successor
// waits out both before it starts anything.
//
// All times are of the holder's monotonic clock. A Proof belongs to one duty.
type Proof struct {
	startLease time.Duration
	tableUntil time.Time
	members    []model.EndpointID
	proposed   []model.EndpointID
	accepted   map[model.EndpointID]time.Time
	scratch    []time.Time
}

// NewProof returns a proof without any word yet. startLease is how long an
// endpoint's acceptance counts.
func NewProof(startLease time.Duration) *Proof {
	return &Proof{startLease: startLease, accepted: map[model.EndpointID]time.Time{}}
}

// Table notes that the lease row stands until the given time.
func (p *Proof) Table(until time.Time) { p.tableUntil = until }

// Accepted notes that the endpoint accepted a Sync that was sent at sentAt.
func (p *Proof) Accepted(id model.EndpointID, sentAt time.Time) {
	if sentAt.After(p.accepted[id]) {
		p.accepted[id] = sentAt
	}
}

// SetMembers sets the recorded endpoints of the shard, and those of a change
// that is not recorded yet. A majority of both is needed then.
func (p *Proof) SetMembers(recorded, proposed []model.EndpointID) {
	p.members = slices.Clone(recorded)
	p.proposed = slices.Clone(proposed)
}

// Until returns the time before which the holder may send commands.
func (p *Proof) Until() time.Time {
	byEndpoints := p.majority(p.members)
	if len(p.proposed) > 0 {
		if other := p.majority(p.proposed); other.Before(byEndpoints) {
			byEndpoints = other
		}
	}
	if byEndpoints.After(p.tableUntil) {
		return byEndpoints
	}
	return p.tableUntil
}

// majority returns until when more than half of the set vouch for the epoch;
// the zero time when they never did.
func (p *Proof) majority(set []model.EndpointID) time.Time {
	if len(set) == 0 {
		return time.Time{}
	}
	p.scratch = p.scratch[:0]
	for _, id := range set {
		p.scratch = append(p.scratch, p.accepted[id])
	}
	slices.SortFunc(p.scratch, func(a, b time.Time) int { return b.Compare(a) })
	needed := p.scratch[len(set)/2]
	if needed.IsZero() {
		return time.Time{}
	}
	return needed.Add(p.startLease)
}
