package holder

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/feed"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// leaseTime is the duration of an endpoint's lease. It is longer than a
	// takeover of about 3 s, and short enough for lost work to be run again in
	// time.
	leaseTime = 5 * time.Second
	// maxClockDrift is the fraction by which an endpoint's clock may run slow.
	maxClockDrift = 0.021
	// leaseMargin is added to the end of a lease before it counts as expired.
	leaseMargin = 100 * time.Millisecond
	// startLifetime is the time after sending until which an endpoint may execute a start: the
	// holder gives it up after dispatch.SendWindow and dispatch.StartStopTimeout.
	startLifetime = dispatch.SendWindow + dispatch.StartStopTimeout + readingAllowance
	// readingAllowance is the least time by which the holder's reading of an endpoint's clock
	// is taken to be behind: the endpoint's response took it, and its handling.
	readingAllowance = 200 * time.Millisecond
	// listWait is how long an endpoint delays a listing until a run ends.
	listWait = 600 * time.Millisecond
	// recordWait is how long the next renewal is delayed until the ends in the
	// last listing are recorded.
	recordWait = 400 * time.Millisecond
	// renewalRetryBase and renewalRetryMax bound the pause after a failed renewal.
	renewalRetryBase = 100 * time.Millisecond
	renewalRetryMax  = 800 * time.Millisecond
	// unreadablePause is the pause after a listing with rows that can't be read. The
	// endpoint does not delay a listing while it has ends that are not acknowledged.
	unreadablePause = 200 * time.Millisecond
	// removalGrace is how long an entry may be missing from the registry before
	// the endpoint counts as leaving: entries that lapse while the table is
	// unavailable reappear within 2 s.
	removalGrace = 2200 * time.Millisecond
)

// session is the holder's state for one endpoint: its lease, its last listing and
// its registry entry.
type session struct {
	id model.EndpointID
	// address and domain are those of the registry entry, or of the roster until it has
	// been read.
	address string
	domain  model.DomainName
	// addressUnconfirmed is set when the entry has another address than before
	// without a later start time, until the endpoint has responded there.
	addressUnconfirmed bool
	// renewing is set while a renewal is in flight.
	renewing bool
	// clock is the endpoint's time that was received at clockReadAt; 0 before the
	// incarnation's first listing. startTime identifies the incarnation.
	clock       fleet.EndpointTime
	clockReadAt time.Time
	// readingTime is the time that the last renewal took beyond its wait. A slow instance is
	// late to handle the response.
	readingTime time.Duration
	startTime   int64
	// startTimeReceivedAt is when the holder learned of the incarnation.
	startTimeReceivedAt time.Time
	// leaseUntil is the latest lease end that was sent, on the endpoint's clock.
	// leaseEndsBy is the holder's time by which that lease has expired even if the
	// endpoint's clock is slow.
	leaseUntil  fleet.EndpointTime
	leaseEndsBy time.Time
	// leaseBound is what leaseEndsBy follows from. leaseEnded is set once it has passed
	// while the endpoint does not respond.
	leaseBound leaseBound
	leaseEnded bool
	// longestUntil is the time by which a longest lease that the incarnation may have been
	// granted by a command for another one has expired; zero if there is none.
	longestUntil time.Time
	// leaseConfirmed is the latest end of a lease that the incarnation is known to have
	// granted, on the endpoint's clock; 0 for none.
	leaseConfirmed fleet.EndpointTime
	// leaseArrivesBy is the time by which every command with a lease has been executed
	// or lost; zero before the first one.
	leaseArrivesBy time.Time
	// acksArriveBy is the time by which every unanswered acknowledgement of ends has been
	// executed or lost, earlierAcksArriveBy the same without the last one that was sent.
	// formerAcksArriveBy is the time for those that were meant for former incarnations.
	acksArriveBy, earlierAcksArriveBy, formerAcksArriveBy time.Time
	// lastListedEnd and lastRecordedEnd are the numbers of the last end that the
	// endpoint listed and of the last one that is recorded. The endpoint has discarded
	// the ends up to lastDiscardedEnd.
	lastListedEnd, lastRecordedEnd, lastDiscardedEnd int64
	// unrecordedEnds are the listed ends after lastRecordedEnd, in order.
	unrecordedEnds []listedEnd
	failures       int
	nextRenewalAt  time.Time
	// missingSince is when the registry entry disappeared; zero while it exists.
	missingSince time.Time
	entry        fleet.Endpoint
	// problem describes the unreadable rows of the last listing; empty for none.
	problem string
}

// listedEnd is the number of an end, and the job of its run.
type listedEnd struct {
	number int64
	job    jobs.ID
}

// endsRecorded is called when the ends up to the number are recorded.
func (s *session) endsRecorded(number int64) {
	s.lastRecordedEnd = number
	s.unrecordedEnds = slices.DeleteFunc(s.unrecordedEnds, func(e listedEnd) bool { return e.number <= number })
}

func (h *Holder) leaseDuration() time.Duration { return min(leaseTime, h.MaxLease) }

// leaseDurationBound returns the time after which a lease granted now has expired
// even if the endpoint's clock is slow.
func (h *Holder) leaseDurationBound() time.Duration { return expiryBound(h.leaseDuration()) }

// expiryBound returns the time in which an endpoint's slow clock has advanced by d.
func expiryBound(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockDrift)) + leaseMargin
}

func (h *Holder) addSession(id model.EndpointID, address string, domain model.DomainName) *session {
	c := h.cell
	s := &session{id: id, address: address, domain: domain, leaseEndsBy: c.inheritedLeaseEnd, leaseBound: boundInherited}
	if _, registered := c.planner.Endpoint(id); !registered {
		// It gets no work until its registry entry has been read.
		c.planner.SetEndpoint(fleet.Endpoint{ID: id, Address: address, Leaving: true})
	}
	c.sessions[id] = s
	c.sessionOrder = nil
	c.commands.routesStale = true
	return s
}

// serveSessions sends the renewals that are due and checks for expired leases.
func (h *Holder) serveSessions() {
	c := h.cell
	for _, s := range c.sortedSessions() {
		h.checkLease(s)
		h.expireLongestLease(s)
		if !s.renewing && !h.now.Before(s.nextRenewalAt) && h.mayAct() && h.endsRecordedOrOverdue(s) {
			h.renew(s)
		}
	}
}

func (c *cell) sortedSessions() []*session {
	if c.sessionOrder == nil {
		for _, s := range c.sessions {
			c.sessionOrder = append(c.sessionOrder, s)
		}
		sort.Slice(c.sessionOrder, func(i, k int) bool { return c.sessionOrder[i].id < c.sessionOrder[k].id })
	}
	return c.sessionOrder
}

// endsRecordedOrOverdue reports whether the endpoint may be renewed. A renewal
// waits until the ends of the last listing are recorded, since its listing would
// show them again, but for no longer than recordWait, since the lease has to be
// renewed.
func (h *Holder) endsRecordedOrOverdue(s *session) bool {
	return s.lastListedEnd == s.lastRecordedEnd || h.now.Sub(s.clockReadAt) > recordWait
}

// newIncarnation resets the session after a restart of the endpoint: the numbers
// of its ends and its clock begin again. The endpoint gets no starts until a
// listing has shown its new clock, and until an acknowledgement of the former
// incarnation's ends can no longer discard ends of these runs.
func (s *session) newIncarnation(startTime int64, now time.Time) {
	s.startTime, s.startTimeReceivedAt = startTime, now
	s.lastListedEnd, s.lastRecordedEnd, s.lastDiscardedEnd = 0, 0, 0
	s.unrecordedEnds = nil
	s.formerAcksArriveBy = latest(s.formerAcksArriveBy, s.acksArriveBy)
	s.acksArriveBy, s.earlierAcksArriveBy = time.Time{}, time.Time{}
	s.leaseUntil, s.leaseConfirmed, s.clock = 0, 0, 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (h *Holder) renew(s *session) {
	renewal := fleet.Renewal{Target: s.target(), Wait: listWait, Epoch: h.cell.epoch}
	if s.clock > 0 && s.failures == 0 {
		// A renewal that got no response may have taken effect. The lease is not
		// extended until the endpoint responds again, so that it can expire.
		renewal.Until = h.extendLease(s)
	}
	if s.failures == 0 && s.lastRecordedEnd > s.lastDiscardedEnd {
		// The endpoint may have restarted. Its new incarnation would discard
		// unread ends that have the same numbers as the recorded ones: it has none
		// yet if it applies the renewal at once, but some while it waits.
		renewal.Forget, renewal.Wait = s.lastRecordedEnd, 0
		s.earlierAcksArriveBy, s.acksArriveBy = s.acksArriveBy, h.now.Add(dispatch.ListTimeout+remoteAllowance)
	}
	if s.lastListedEnd != s.lastRecordedEnd || s.clock == 0 {
		renewal.Wait = 0
	}
	if s.failures == 0 && s.leaseConfirmed == 0 {
		// Until the first lease is confirmed, starts carry its end.
		renewal.Wait = 0
	}
	if renewal.Until == 0 && renewal.Forget == 0 {
		// It only asks for a listing, of whichever incarnation responds.
		renewal.Target.Born = 0
	}
	s.renewing = h.sendCommand(s, dispatch.Command{Renew: &renewal})
}

func (s *session) target() fleet.Target {
	return fleet.Target{ID: s.id, Address: s.address, Born: s.startTime}
}

// extendLease returns the end of a lease that is sent now and updates leaseUntil
// and leaseEndsBy. The endpoint's clock was at least clock at clockReadAt and may
// have run slow since.
func (h *Holder) extendLease(s *session) fleet.EndpointTime {
	s.leaseUntil = max(s.leaseUntil, h.endpointTime(s, h.leaseDuration()))
	span := time.Duration(s.leaseUntil-s.clock) * time.Millisecond
	s.extendBound(s.clockReadAt.Add(expiryBound(span)), boundGranted)
	h.markLeaseSent(s)
	return s.leaseUntil
}

// startUntil returns the time on the endpoint's clock until which it may execute a start
// that is sent now. The run's lease ends then, too, unless the endpoint has granted a longer
// one: until it has confirmed that, the start carries the end of a whole lease.
func (h *Holder) startUntil(s *session) fleet.EndpointTime {
	until := h.endpointTime(s, startLifetime+max(0, s.readingTime-readingAllowance))
	if s.leaseConfirmed < until {
		return h.extendLease(s)
	}
	h.markLeaseSent(s)
	return until
}

// endpointTime returns the time of the endpoint's clock d from now. The clock may be ahead of it
// by the time that its last reading took, or behind it if it runs slow.
func (h *Holder) endpointTime(s *session, d time.Duration) fleet.EndpointTime {
	return s.clock + fleet.EndpointTime((h.now.Sub(s.clockReadAt) + d).Milliseconds())
}

func (h *Holder) markLeaseSent(s *session) {
	s.leaseArrivesBy = latest(s.leaseArrivesBy, h.now.Add(listWait+dispatch.ListTimeout+remoteAllowance))
}

// checkLease marks an endpoint as leaving if its entry has been missing for
// removalGrace. Once the lease of an unresponsive endpoint has expired, it notifies
// the planner, and removes the endpoint if its entry is missing as well.
func (h *Holder) checkLease(s *session) {
	c := h.cell
	if !s.missingSince.IsZero() && h.now.Sub(s.missingSince) > removalGrace && !s.entry.Leaving && s.entry.ID != "" {
		s.entry.Leaving = true
		c.planner.SetEndpoint(s.entry)
		h.Log.Info("endpoint_removed", slog.String("endpoint", string(s.id)), slog.Duration("missing", h.now.Sub(s.missingSince)))
	}
	if s.failures == 0 || h.now.Before(s.leaseEndsBy) {
		return
	}
	h.logLeaseEnded(s)
	c.planner.EndpointLapsed(s.id)
	if !s.missingSince.IsZero() && h.now.Sub(s.missingSince) > removalGrace && c.planner.RemoveEndpoint(s.id) {
		h.removeSession(s)
	}
}

func (h *Holder) removeSession(s *session) {
	c := h.cell
	delete(c.sessions, s.id)
	c.sessionOrder = nil
	c.commands.routesStale = true
	if _, listed := c.roster[s.id]; listed {
		delete(c.roster, s.id)
		c.recorder.markRosterChanged(s.id)
	}
	h.Log.Info("endpoint_forgotten", slog.String("endpoint", string(s.id)))
}

func (h *Holder) handleRenewal(s *session, p pendingCommand, o dispatch.Outcome) {
	s.renewing = false
	if err := o.Err(); err != nil {
		h.handleRenewalFailure(s, p.command.Target(), err)
		return
	}
	if s.addressUnconfirmed && p.command.Target().Address == s.address {
		s.addressUnconfirmed = false
		h.recordEndpoint(s)
	}
	if s.failures > 0 {
		h.Log.Info("endpoint_regained", slog.String("endpoint", string(s.id)), slog.Int("failures", s.failures))
	}
	s.failures, s.leaseEnded = 0, false
	s.readingTime = h.now.Sub(p.sentAt) - p.command.Renew.Wait
	h.applyListing(s, p.sentAt, o.Listing)
	if o.Listing.Born == s.startTime && !p.sentAt.Before(s.startTimeReceivedAt) {
		s.lastDiscardedEnd = max(s.lastDiscardedEnd, p.command.Renew.Forget)
		s.leaseConfirmed = max(s.leaseConfirmed, p.command.Renew.Until)
		if p.command.Renew.Forget > 0 {
			s.acksArriveBy = s.earlierAcksArriveBy
		}
	}
}

// applyListing applies an endpoint's listing. requestedAt is the earliest time at
// which it may have been requested.
func (h *Holder) applyListing(s *session, requestedAt time.Time, listing fleet.Listing) {
	c := h.cell
	s.nextRenewalAt = h.now
	if listing.Born != s.startTime && requestedAt.Before(s.startTimeReceivedAt) {
		// The listing was requested before the restart was observed. It comes from
		// the previous incarnation, whose ends have other numbers.
		return
	}
	if listing.Born != s.startTime {
		h.observeIncarnation(s, listing.Born, sourceListing)
	}
	s.clock, s.clockReadAt = listing.Clock, h.now
	h.checkReadable(s, listing)
	newListing := listing
	newListing.Ended = nil
	for _, e := range listing.Ended {
		if e.Number > s.lastListedEnd {
			s.lastListedEnd = e.Number
			s.unrecordedEnds = append(s.unrecordedEnds, listedEnd{number: e.Number, job: e.Run.Task.Job})
			newListing.Ended = append(newListing.Ended, e)
			c.recorder.keepEnd(e)
			h.logEnd(s, e)
		}
	}
	h.logRunsAfterCancel(s, newListing)
	h.logOtherIncarnation(s, newListing)
	for _, run := range c.planner.ApplyListing(s.id, newListing, requestedAt) {
		h.stopUnknownRun(s, run)
	}
	if h.now.Before(s.formerAcksArriveBy) {
		c.planner.ExcludeEndpoint(s.id, s.formerAcksArriveBy)
	}
}

// checkReadable delays the next renewal after a listing with unreadable rows, and
// logs them when they have changed.
func (h *Holder) checkReadable(s *session, listing fleet.Listing) {
	if listing.Unreadable > 0 {
		s.nextRenewalAt = h.now.Add(unreadablePause)
	}
	if listing.Problem == s.problem {
		return
	}
	s.problem = listing.Problem
	h.Log.Warn("listing_rows_unreadable", slog.String("endpoint", string(s.id)), slog.Int("rows", listing.Unreadable),
		slog.String("error", listing.Problem))
}

func (h *Holder) logEnd(s *session, e fleet.End) {
	counts.Add("runs_"+string(e.Outcome), 1)
	h.Log.Info("run_ended", slog.String("id", string(e.Run.Task.Job)), slog.String("run", e.Run.String()),
		slog.String("endpoint", string(s.id)), slog.String("outcome", string(e.Outcome)), slog.Int64("number", e.Number),
		slog.String("checkpoint", e.Saved))
}

func (h *Holder) handleRenewalFailure(s *session, to fleet.Target, err error) {
	c := h.cell
	if eris.Is(err, fleet.ErrFenced) {
		h.stepDown("an endpoint follows a later epoch")
		return
	}
	s.failures++
	s.nextRenewalAt = h.now.Add(min(renewalRetryBase<<min(s.failures-1, 4), renewalRetryMax))
	if s.failures == 1 {
		h.Log.Warn("endpoint_lost", append(h.leaseAttrs(s), slog.String("endpoint", string(s.id)), slog.Any("error", err))...)
		c.planner.EndpointUnresponsive(s.id)
	}
	current := to.Address == s.address && (to.Born == 0 || to.Born == s.startTime)
	if eris.Is(err, fleet.ErrOtherEndpoint) && !s.addressUnconfirmed && current {
		// Another endpoint uses the address, so this one's process has ended.
		s.leaseEndsBy, s.leaseBound = h.now, boundReplaced
		c.planner.EndpointReplaced(s.id)
	}
}

// stopUnknownRun stops a run that belongs to no job.
func (h *Holder) stopUnknownRun(s *session, run jobs.RunID) {
	h.Log.Warn("unknown_run", slog.String("id", string(run.Task.Job)), slog.String("run", run.String()), slog.String("endpoint", string(s.id)),
		slog.Int64("born", s.startTime), slog.Uint64("epoch", h.cell.epoch))
	h.sendCommand(s, dispatch.Command{Stop: &fleet.Stop{Target: s.target(), Run: run, Epoch: h.cell.epoch}})
}

// registryMessage reports changes of the endpoint registry.
type registryMessage struct {
	epoch  uint64
	update feed.Update
}

func (m registryMessage) apply(h *Holder) {
	c := h.cell
	if c == nil || c.epoch != m.epoch || !actingStates.Has(h.state) {
		return
	}
	listed := map[model.EndpointID]bool{}
	for _, change := range m.update.Changes {
		id := h.Registry.EndpointID(change.Row)
		listed[id] = !change.Deleted
		if change.Deleted {
			h.markEntryMissing(id)
			continue
		}
		entry, err := h.Registry.RegistryRow(change.Row, h.Wall.Now())
		if err == nil && h.catalog != nil && h.catalog.Services[entry.Service] == nil {
			err = eris.Errorf("there is no service %.80q", entry.Service)
		}
		if err != nil {
			h.Log.Warn("registry_entry_unusable", slog.String("endpoint", string(id)), slog.Any("error", err))
			h.markEntryUnusable(id)
			continue
		}
		h.applyEntry(entry)
	}
	if m.update.Full {
		for id := range c.sessions {
			if !listed[id] {
				h.markEntryMissing(id)
			}
		}
	}
	c.registryReadAt = m.update.RequestedAt
}

func (h *Holder) markEntryMissing(id model.EndpointID) {
	if s := h.cell.sessions[id]; s != nil && s.missingSince.IsZero() {
		s.missingSince = h.now
	}
}

// retryRenewalsAt makes the renewals due of the unresponsive endpoints at the
// address, which a new endpoint uses. Its response shows that they have ended.
func (c *cell) retryRenewalsAt(address string, now time.Time) {
	for _, s := range c.sessions {
		if s.address == address && s.failures > 0 {
			s.nextRenewalAt = now
		}
	}
}

// markEntryUnusable ends the use of an endpoint whose entry can't be used: it gets
// no further starts until it has a usable entry. Its runs and its lease go on at its
// last address.
func (h *Holder) markEntryUnusable(id model.EndpointID) {
	h.markEntryMissing(id)
	if s := h.cell.sessions[id]; s != nil && s.entry.ID != "" && !s.entry.Leaving {
		s.entry.Leaving = true
		h.cell.planner.SetEndpoint(s.entry)
	}
}

func (h *Holder) applyEntry(entry fleet.Endpoint) {
	c := h.cell
	s := c.sessions[entry.ID]
	if s == nil {
		s = h.addSession(entry.ID, entry.Address, entry.Domain)
		c.retryRenewalsAt(entry.Address, h.now)
	}
	if s.entry.ID == "" || s.entry.Leaving != entry.Leaving || s.entry.Born != entry.Born {
		h.Log.Info("endpoint_entry", slog.String("endpoint", string(entry.ID)), slog.String("address", entry.Address),
			slog.String("domain", string(entry.Domain)), slog.Bool("leaving", entry.Leaving), slog.Int64("born", entry.Born))
	}
	if s.entry.ID != "" && s.entry.Capacity != entry.Capacity {
		h.Log.Info("endpoint_capacity", slog.String("endpoint", string(entry.ID)), slog.Any("before", s.entry.Capacity),
			slog.Any("after", entry.Capacity), slog.Any("used", c.planner.Used(entry.ID)))
	}
	switch {
	case entry.Born > s.startTime && s.startTime > 0:
		h.observeIncarnation(s, entry.Born, sourceEntry)
	case s.address != "" && s.address != entry.Address:
		s.addressUnconfirmed = true
	}
	c.commands.routesStale = c.commands.routesStale || s.domain != entry.Domain
	s.entry, s.address, s.domain, s.missingSince = entry, entry.Address, entry.Domain, time.Time{}
	c.planner.SetEndpoint(entry)
	if _, listed := c.roster[entry.ID]; !listed {
		c.roster[entry.ID] = rosterEntry{ID: entry.ID, Born: entry.Born}
	}
	h.recordEndpoint(s)
}
