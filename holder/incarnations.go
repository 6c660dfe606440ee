package holder

import "time"

// leaseBound is what determines the time by which an endpoint's lease has ended.
type leaseBound string

const (
	// boundGranted is the end of a lease that this holder has sent.
	boundGranted leaseBound = "granted"
	// boundLongest is the longest lease, from the last command that may have reached the
	// endpoint after its restart.
	boundLongest leaseBound = "longest"
	// boundInherited is the end of the leases of a former holder.
	boundInherited leaseBound = "inherited"
	// boundReplaced means that another endpoint responds at the address.
	boundReplaced leaseBound = "replaced"
)

// restartSource is what shows that an endpoint has restarted.
type restartSource string

const (
	sourceEntry   restartSource = "entry"
	sourceListing restartSource = "listing"
)

// observeIncarnation applies a restart of the endpoint, which source shows. A command that
// was on its way may have reached the new incarnation, whose clock is behind the lease's
// end: it grants the longest lease.
func (h *Holder) observeIncarnation(s *session, startTime int64, source restartSource) {
	before := s.startTime
	s.newIncarnation(startTime, h.now)
	if !s.leaseArrivesBy.IsZero() {
		s.boundByLongestLease(s.leaseArrivesBy.Add(expiryBound(h.MaxLease)))
	}
	if before > 0 {
		h.logRestart(s, before, source)
	}
	h.recordEndpoint(s)
}

// inheritIncarnation applies what the former holder has recorded of the endpoint. Commands
// of that holder may still be on their way.
func (h *Holder) inheritIncarnation(s *session, recorded rosterEntry) {
	c := h.cell
	s.startTime, s.leaseArrivesBy = recorded.Born, c.inheritedArriveBy
	if recorded.LongestLease || recorded.Born == 0 {
		s.boundByLongestLease(c.inheritedArriveBy.Add(expiryBound(h.MaxLease)))
	}
}

// recordEndpoint records what the next holder has to know of the endpoint. A run that is
// started on its incarnation is recorded later, or at the same time. An address that is
// not confirmed may be that of another endpoint.
func (h *Holder) recordEndpoint(s *session) {
	c := h.cell
	recorded, listed := c.roster[s.id]
	if !listed {
		return
	}
	current := recorded
	current.LongestLease = !s.longestUntil.IsZero()
	if s.startTime > 0 {
		current.Born = s.startTime
	}
	if !s.addressUnconfirmed {
		current.Address, current.Domain = s.address, s.domain
	}
	if current != recorded {
		c.roster[s.id] = current
		c.recorder.markRosterChanged(s.id)
	}
}

func (s *session) boundByLongestLease(endsBy time.Time) {
	s.longestUntil = endsBy
	s.extendBound(endsBy, boundLongest)
}

// expireLongestLease records that a longest lease has expired.
func (h *Holder) expireLongestLease(s *session) {
	if s.longestUntil.IsZero() || h.now.Before(s.longestUntil) {
		return
	}
	s.longestUntil = time.Time{}
	h.recordEndpoint(s)
}

// extendBound moves leaseEndsBy to the given time unless it is later already.
func (s *session) extendBound(endsBy time.Time, bound leaseBound) {
	if endsBy.After(s.leaseEndsBy) {
		s.leaseEndsBy, s.leaseBound = endsBy, bound
	}
}
