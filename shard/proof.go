package shard

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Proof computes until when a holder may act. A holder is certain of its shard
// while its lease in the table is valid, and also while a majority of the
// shard's endpoints have accepted its epoch within the start lease. A successor
// waits until both have expired before it starts anything.
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

// NewProof returns a Proof without a table lease or accepted Syncs. startLease
// is how long an endpoint's acceptance is valid.
func NewProof(startLease time.Duration) *Proof {
	return &Proof{startLease: startLease, accepted: map[model.EndpointID]time.Time{}}
}

// SetTableLease records that the lease in the table is valid until the given time.
func (p *Proof) SetTableLease(until time.Time) { p.tableUntil = until }

// RecordAcceptance records that the endpoint accepted a Sync that was sent at sentAt.
func (p *Proof) RecordAcceptance(id model.EndpointID, sentAt time.Time) {
	if sentAt.After(p.accepted[id]) {
		p.accepted[id] = sentAt
	}
}

// SetMembers sets the recorded endpoints of the shard, and the endpoints of a
// change that is not durable yet, if there is one. While there is, a majority of
// each set is needed.
func (p *Proof) SetMembers(recorded, proposed []model.EndpointID) {
	p.members = slices.Clone(recorded)
	p.proposed = slices.Clone(proposed)
}

// Until returns the time before which the holder may send commands.
func (p *Proof) Until() time.Time {
	byEndpoints := p.majorityUntil(p.members)
	if len(p.proposed) > 0 {
		if other := p.majorityUntil(p.proposed); other.Before(byEndpoints) {
			byEndpoints = other
		}
	}
	if byEndpoints.After(p.tableUntil) {
		return byEndpoints
	}
	return p.tableUntil
}

// majorityUntil returns the time until which the acceptances of more than half
// of the set are valid; the zero time when no majority has accepted the epoch.
func (p *Proof) majorityUntil(set []model.EndpointID) time.Time {
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
