package holder

import (
	"log/slog"
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
	// leaseTime is how far ahead an endpoint's lease is renewed: it outlives a
	// take-over of some 3 s, and ends soon enough for lost work to be repeated.
	leaseTime = 5 * time.Second
	// clockSlack is the part by which an endpoint's clock may be slow.
	clockSlack = 0.021
	// leaseMargin is added to the end of a lease before it counts as over.
	leaseMargin = 100 * time.Millisecond
	// listWait is how long a listing waits for an end.
	listWait = 600 * time.Millisecond
	// recordWait is how long the next listing waits for the ends of the last
	// one to be recorded.
	recordWait = 400 * time.Millisecond
	// retryBase and retryMax bound the pause after a listing that failed.
	retryBase = 100 * time.Millisecond
	retryMax  = 800 * time.Millisecond
	// removalGrace is how long an entry may be missing from the registry
	// before the endpoint counts as leaving: entries that lapse while the
	// table is away are back within 2 s.
	removalGrace = 2200 * time.Millisecond
)

// link is the holder's relation to one endpoint.
type link struct {
	id      model.EndpointID
	address string
	// busy says that a renewal is under way.
	busy bool
	// clock is the endpoint's time as of clockAt; born its last known start.
	clock   fleet.EndpointTime
	clockAt time.Time
	born    int64
	// bornAt is when that start became known.
	bornAt time.Time
	// until is the latest end of a lease that was sent, leaseEnds the time by
	// which that has certainly passed.
	until     fleet.EndpointTime
	leaseEnds time.Time
	// seen is the last end that was listed, forget the last one recorded.
	seen, forget int64
	failures     int
	nextAt       time.Time
	// missing is when the registry's entry went away; zero while it is there.
	missing time.Time
	info    fleet.Endpoint
}

// leaseFor returns the time of a lease.
func (h *Holder) leaseFor() time.Duration { return min(leaseTime, h.MaxLease) }

// leaseBound returns the time by which a lease sent now has certainly ended.
func (h *Holder) leaseBound() time.Duration {
	return time.Duration(float64(h.leaseFor())*(1+clockSlack)) + leaseMargin
}

func (h *Holder) addLink(id model.EndpointID, address string) *link {
	c := h.cell
	l := &link{id: id, address: address, leaseEnds: c.inheritedEnd}
	if _, known := c.planner.Endpoint(id); !known {
		// It takes no work until its registry entry has been read.
		c.planner.SetEndpoint(fleet.Endpoint{ID: id, Address: address, Leaving: true})
	}
	c.links[id] = l
	c.inOrder = nil
	c.commands.stale = true
	return l
}

// serveLinks sends the renewals that are due and looks for leases that have
// ended.
func (h *Holder) serveLinks() {
	c := h.cell
	for _, l := range c.sortedLinks() {
		h.checkLease(l)
		if !l.busy && !h.now.Before(l.nextAt) && h.mayAct() && h.recordedOrDue(l) {
			h.renew(l)
		}
	}
}

func (c *cell) sortedLinks() []*link {
	if c.inOrder == nil {
		for _, l := range c.links {
			c.inOrder = append(c.inOrder, l)
		}
		sort.Slice(c.inOrder, func(i, k int) bool { return c.inOrder[i].id < c.inOrder[k].id })
	}
	return c.inOrder
}

// recordedOrDue keeps a listing back until the ends of the last one are
// recorded: it would show them again. The lease has to be renewed in any case.
func (h *Holder) recordedOrDue(l *link) bool {
	return l.seen == l.forget || h.now.Sub(l.clockAt) > recordWait
}

// newLife notes that the endpoint has started anew: its ends and its clock count
// from there. It takes no starts until it has told its clock.
func (l *link) newLife(born int64, now time.Time) {
	l.born, l.seen, l.forget, l.until, l.clock, l.bornAt = born, 0, 0, 0, 0, now
}

func (h *Holder) renew(l *link) {
	order := fleet.Renewal{Target: l.target(), Forget: l.forget, Wait: listWait, Epoch: h.cell.epoch}
	if l.clock > 0 && l.failures == 0 {
		// A renewal without an answer may have taken effect: while there is
		// none, the lease is left to end.
		order.Until = h.lease(l)
	}
	if l.failures > 0 {
		// It may have started anew, and would forget ends of its new life that
		// have the numbers of those recorded.
		order.Forget = 0
	}
	if l.seen != l.forget || l.clock == 0 {
		order.Wait = 0
	}
	l.busy = h.command(l, dispatch.Command{Renew: &order})
}

func (l *link) target() fleet.Target { return fleet.Target{ID: l.id, Address: l.address} }

// lease returns the end of a lease that is sent now and notes it. The
// endpoint's clock was at least l.clock at l.clockAt and may run slowly.
func (h *Holder) lease(l *link) fleet.EndpointTime {
	passed := h.now.Sub(l.clockAt)
	until := l.clock + fleet.EndpointTime((passed + h.leaseFor()).Milliseconds())
	l.until = max(l.until, until)
	span := time.Duration(l.until-l.clock) * time.Millisecond
	ends := l.clockAt.Add(time.Duration(float64(span)*(1+clockSlack)) + leaseMargin)
	if ends.After(l.leaseEnds) {
		l.leaseEnds = ends
	}
	return l.until
}

// checkLease tells the planner when an endpoint's lease has ended for certain.
func (h *Holder) checkLease(l *link) {
	c := h.cell
	if !l.missing.IsZero() && h.now.Sub(l.missing) > removalGrace && !l.info.Leaving && l.info.ID != "" {
		l.info.Leaving = true
		c.planner.SetEndpoint(l.info)
		h.Log.Info("endpoint_removed", slog.String("endpoint", string(l.id)), slog.Duration("missing", h.now.Sub(l.missing)))
	}
	if l.failures == 0 || h.now.Before(l.leaseEnds) {
		return
	}
	c.planner.Lapsed(l.id)
	if !l.missing.IsZero() && h.now.Sub(l.missing) > removalGrace && c.planner.RemoveEndpoint(l.id) {
		h.removeLink(l)
	}
}

func (h *Holder) removeLink(l *link) {
	c := h.cell
	delete(c.links, l.id)
	c.inOrder = nil
	c.commands.stale = true
	if _, listed := c.roster[l.id]; listed {
		delete(c.roster, l.id)
		c.recorder.rosterChanged = true
	}
	h.Log.Info("endpoint_forgotten", slog.String("endpoint", string(l.id)))
}

// listed takes the outcome of a renewal.
func (h *Holder) listed(l *link, p pending, o dispatch.Outcome) {
	l.busy = false
	if err := o.Err(); err != nil {
		h.listingFailed(l, err)
		return
	}
	if l.failures > 0 {
		h.Log.Info("endpoint_regained", slog.String("endpoint", string(l.id)), slog.Int("failures", l.failures))
	}
	l.failures = 0
	h.takeListing(l, p.at, o.Listing)
}

// takeListing takes what the endpoint lists; asked is when it was asked at the
// earliest.
func (h *Holder) takeListing(l *link, asked time.Time, listing fleet.Listing) {
	c := h.cell
	l.nextAt = h.now
	if listing.Born != l.born && asked.Before(l.bornAt) {
		// It was asked for in a former life: its ends have other numbers.
		return
	}
	if listing.Born != l.born {
		l.newLife(listing.Born, h.now)
	}
	l.clock, l.clockAt = listing.Clock, h.now
	fresh := listing
	fresh.Ended = nil
	for _, e := range listing.Ended {
		if e.Number > l.seen {
			l.seen = e.Number
			fresh.Ended = append(fresh.Ended, e)
			h.logEnd(l, e)
		}
	}
	for _, run := range c.planner.Listed(l.id, fresh, asked) {
		h.stopStranger(l, run)
	}
}

func (h *Holder) logEnd(l *link, e fleet.End) {
	counts.Add("runs_"+string(e.Outcome), 1)
	h.Log.Info("run_ended", slog.String("id", string(e.Run.Task.Job)), slog.String("run", e.Run.String()),
		slog.String("endpoint", string(l.id)), slog.String("outcome", string(e.Outcome)), slog.Int64("number", e.Number))
}

func (h *Holder) listingFailed(l *link, err error) {
	c := h.cell
	if eris.Is(err, fleet.ErrFenced) {
		h.stepDown("an endpoint follows a later epoch")
		return
	}
	l.failures++
	l.nextAt = h.now.Add(min(retryBase<<min(l.failures-1, 4), retryMax))
	if l.failures == 1 {
		h.Log.Warn("endpoint_lost", slog.String("endpoint", string(l.id)), slog.Any("error", err),
			slog.Duration("lease_left", l.leaseEnds.Sub(h.now)))
		c.planner.Silent(l.id)
	}
	if eris.Is(err, fleet.ErrOtherEndpoint) {
		// Another endpoint has the address, so that this one's process is over.
		l.leaseEnds = h.now
		c.planner.Lapsed(l.id)
	}
}

// stopStranger stops a run that belongs to no job.
func (h *Holder) stopStranger(l *link, run jobs.RunID) {
	h.Log.Warn("unknown_run", slog.String("id", string(run.Task.Job)), slog.String("run", run.String()), slog.String("endpoint", string(l.id)))
	h.command(l, dispatch.Command{Stop: &fleet.Stop{Target: l.target(), Run: run, Epoch: h.cell.epoch}})
}

// registryMessage are changes of the endpoints' entries.
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
			h.entryMissing(id)
			continue
		}
		info, err := h.Registry.RegistryRow(change.Row)
		if err != nil {
			h.Log.Warn("registry_entry_unusable", slog.String("endpoint", string(id)), slog.Any("error", err))
			h.entryMissing(id)
			continue
		}
		h.takeEntry(info)
	}
	if m.update.Whole {
		for id := range c.links {
			if !listed[id] {
				h.entryMissing(id)
			}
		}
	}
}

func (h *Holder) entryMissing(id model.EndpointID) {
	if l := h.cell.links[id]; l != nil && l.missing.IsZero() {
		l.missing = h.now
	}
}

func (h *Holder) takeEntry(info fleet.Endpoint) {
	c := h.cell
	l := c.links[info.ID]
	if l == nil {
		l = h.addLink(info.ID, info.Address)
	}
	if l.info.ID == "" || l.info.Leaving != info.Leaving || l.info.Born != info.Born {
		h.Log.Info("endpoint_entry", slog.String("endpoint", string(info.ID)), slog.String("address", info.Address),
			slog.String("domain", string(info.Domain)), slog.Bool("leaving", info.Leaving), slog.Int64("born", info.Born))
	}
	if info.Born > l.born && l.born > 0 {
		l.newLife(info.Born, h.now)
	}
	c.commands.stale = c.commands.stale || l.info.Domain != info.Domain
	l.info, l.address, l.missing = info, info.Address, time.Time{}
	c.planner.SetEndpoint(info)
	if _, known := c.roster[info.ID]; !known {
		c.roster[info.ID] = rosterEntry{ID: info.ID, Address: info.Address, Domain: info.Domain}
		c.recorder.rosterChanged = true
	}
}
