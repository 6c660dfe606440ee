// Package election implements leader election among the instances: the elected
// instance is the holder of the cell. The lease row only tells candidates when
// they may claim; it does not exclude a second holder. Exclusion comes from the
// epoch, which the table grants to one claimant and every endpoint checks.
package election

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/storage"
)

// The rows of the election. The lease row has a part of its own, so that its
// renewals do not queue behind other writes. The epoch row is in the jobs table,
// so that readers of that table's feed see a new epoch before the jobs accepted
// after it.
const (
	LeaseTable  = "holder"
	leasePrefix = "holder/lease/"
	LeaseKey    = leasePrefix + "lease"
	EpochKey    = "jobs//holder"
)

const (
	// LeaseTime is how long a holder may act after its last renewal.
	LeaseTime = 2 * time.Second
	// VacantTime is how long after the last observed renewal candidates claim.
	// It may be shorter than LeaseTime: after a claim, a holder that still acts
	// can no longer record a start, and the new holder waits out the endpoint
	// leases that the previous one may have renewed.
	VacantTime = 1200 * time.Millisecond
	// slowVacantTime replaces VacantTime while the table is slow, when a renewal
	// takes a second and may have to be retried. The table counts as slow when a
	// call takes at least slowCallTime.
	slowVacantTime = 3500 * time.Millisecond
	slowCallTime   = 100 * time.Millisecond
	// minOutage is the least time without the feed of the lease row after which candidates
	// wait for the holder to resume. One failed read is no outage.
	minOutage = 500 * time.Millisecond
	// renewPeriod allows two renewals to fail before a candidate claims.
	renewPeriod = 400 * time.Millisecond
	// callTimeout bounds a call to the table.
	callTimeout = 700 * time.Millisecond
	// slowTimeout bounds a renewal after one that timed out: a table at 90 times
	// its normal latency takes 0.7 s for a write.
	slowTimeout = 1500 * time.Millisecond
	// releaseAttempts is the number of attempts to write the release of the lease.
	releaseAttempts = 2
	// watchWait is how long a feed read of the lease row waits for a change.
	watchWait = time.Second
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// claimBaseDelay is the delay before a claim by an instance with one full
	// core. The delay grows in inverse proportion to the CPU share, so that
	// larger instances claim first.
	claimBaseDelay = 40 * time.Millisecond
	// claimDeferral is the additional delay of an instance while another one of
	// at least twice its size is registered, or while it reaches the table only
	// through a peer. It covers one failed call and its retry.
	claimDeferral = time.Second
	// maxRelayedTime is how long a holder keeps the cell while it reaches the
	// table only through a peer: an instance with a direct connection takes over.
	maxRelayedTime = 1200 * time.Millisecond
	// yieldAfter is how long an instance holds the cell before it yields to a
	// larger one. It yields for that reason only once.
	yieldAfter = 4 * time.Second
)

// Lease is the lease row.
type Lease struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	// Renewals counts renewals, so that each one changes the row and appears in
	// the feed.
	Renewals uint64 `json:"renewals"`
	// Released is set when the holder has stopped acting.
	Released bool `json:"released,omitempty"`
}

// Epoch is the epoch row.
type Epoch struct {
	Epoch       uint64 `json:"epoch"`
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// Elected describes an election that this instance has won.
type Elected struct {
	Epoch uint64
	// Version is the version of the epoch row. Every write of the holder is
	// conditional on it.
	Version storage.RowVersion
	// Until is when the instance must stop acting unless it renews the lease.
	Until time.Time
}

// Listener is notified of the instance's role. Its methods are called on the
// election's thread.
type Listener interface {
	Elected(Elected)
	// Renewed reports until when the instance may act.
	Renewed(until time.Time)
	Deposed()
}

// Options configure an election.
type Options struct {
	Node, Incarnation string
	// CPUShare is the instance's CPU allowance in cores.
	CPUShare float64
	// Larger reports whether another instance of at least twice this one's size
	// is registered.
	Larger func() bool
	// RelayedFor returns for how long the table has been reached only through other
	// instances; 0 while it is reached directly.
	RelayedFor func() time.Duration
	// ResumeWait is how long a candidate that has regained the lease row's feed after an
	// outage waits for the holder to renew its lease; 0 for no wait.
	ResumeWait time.Duration
	Table      storage.FeedTable
	Clock      clock.Clock
	Log        *logging.Logger
	Listener   Listener
}

// message requests a resignation; it is the only message of the duty. done
// receives a value once the resignation has been processed.
type message struct{ done chan<- struct{} }

// Election is the duty that claims, renews and releases the lease for one
// instance.
type Election struct {
	Options
	*duty.Duty[message]
	ctx            context.Context
	state          chart.State
	lease          Lease
	feedVersion    storage.RowVersion
	leaseVersion   storage.RowVersion
	leaseCached    bool
	leaseChangedAt time.Time
	// unobservedSince is when the feed of the lease row was lost, zero while it is read.
	// regainedAt is when it was regained after an outage, with the lease of regainedVersion:
	// the holder is waited for once for each renewal, so that a feed that fails again and
	// again does not keep a cell without a holder.
	unobservedSince, regainedAt time.Time
	regainedVersion             storage.RowVersion
	epoch                       Epoch
	epochVersion                storage.RowVersion
	renewAt                     time.Time
	// useSlowTimeout is set after a renewal that got no response, and for the
	// release.
	useSlowTimeout bool
	claimSentAt    time.Time
	// heldSince is when the instance won the election.
	heldSince time.Time
	// claimAt is when to claim; deferred is set once the claim has been delayed
	// by claimDeferral.
	claimAt  time.Time
	deferred bool
	// yielded is set once the cell has been yielded to a larger instance.
	yielded bool
}

var machine *chart.Machine[Election]

var evVacant, evWon, evLost, evYield, evResign chart.Event

var stFollowing, stClaiming, stHolding chart.State

func init() {
	machine = chart.MustBind(charts.MustLoad("election"),
		chart.Guards[Election]{},
		chart.Actions[Election]{
			"notify_elected": (*Election).notifyElected,
			"notify_deposed": func(e *Election) { e.Listener.Deposed() },
			"release":        (*Election).release,
		})
	evVacant = machine.MustEvent("vacant")
	evWon = machine.MustEvent("won")
	evLost = machine.MustEvent("lost")
	evYield = machine.MustEvent("yield")
	evResign = machine.MustEvent("resign")
	stFollowing = machine.MustState("following")
	stClaiming = machine.MustState("claiming")
	stHolding = machine.MustState("holding")
}

// New returns an election that has not started. ctx bounds its calls.
func New(ctx context.Context, o Options) *Election {
	e := &Election{Options: o, ctx: ctx}
	machine.Start(&e.state, e)
	e.Duty = duty.New("election", 4, duty.HandlerFunc[message](e.handle))
	return e
}

// Resign releases the lease, if this instance holds it, and takes no further
// part in the election. It returns once the release has been written or all
// attempts have failed, or when ctx is done.
func (e *Election) Resign(ctx context.Context) {
	done := make(chan struct{}, 1)
	if err := e.Put(ctx, message{done: done}); err != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (e *Election) handle(batch []message) time.Duration {
	for _, m := range batch {
		e.fire(evResign)
		m.done <- struct{}{}
	}
	switch e.state {
	case stFollowing:
		return e.follow()
	case stClaiming:
		return e.claim()
	case stHolding:
		return e.hold()
	default:
		return duty.Never
	}
}

func (e *Election) fire(event chart.Event) {
	before := e.state
	if machine.Fire(&e.state, event, e) && e.state != before {
		e.Log.Info("election_state", slog.String("state", machine.Name(e.state)),
			slog.Uint64("epoch", e.epoch.Epoch), slog.String("holder", e.lease.Node),
			slog.Duration("lease_age", e.Clock.Now().Sub(e.leaseChangedAt)))
	}
}

// follow waits until the lease row changes or its last renewal is VacantTime old.
func (e *Election) follow() time.Duration {
	if !e.leaseCached {
		return e.readLease()
	}
	requestedAt := e.Clock.Now()
	wait := min(watchWait, max(e.vacantAt().Sub(requestedAt), time.Millisecond))
	ctx, cancel := context.WithTimeout(e.ctx, wait+callTimeout)
	defer cancel()
	update, err := e.Table.Watch(ctx, LeaseTable, e.feedVersion, wait)
	if eris.Is(err, storage.ErrHistoryGone) {
		e.leaseCached = false
		return 0
	}
	if err != nil {
		e.recordUnobserved(requestedAt)
		return retryPause
	}
	e.recordObserved()
	e.feedVersion = update.Version
	for _, c := range update.Changes {
		if c.Key == LeaseKey {
			e.applyLeaseRow(c.Row, c.Deleted)
		}
	}
	if e.claimable() || len(update.Changes) == 0 && !requestedAt.Add(wait).Before(e.vacantAt()) && e.confirmVacant() {
		return e.scheduleClaim()
	}
	return 0
}

// vacantAt returns when the lease counts as vacant unless it is renewed before. An outage of
// the table shows nothing about the holder, which has kept its state and resumes with the next
// renewal: a successor has to read the cell and to list every endpoint first, which took 2 s
// and the leases of what ran.
func (e *Election) vacantAt() time.Time {
	vacant := e.leaseChangedAt.Add(VacantTime)
	if e.ResumeWait > 0 && !e.regainedAt.IsZero() {
		if resumed := e.regainedAt.Add(e.ResumeWait); resumed.After(vacant) {
			return resumed
		}
	}
	return vacant
}

// recordUnobserved records that a read of the feed that was requested at requestedAt failed.
func (e *Election) recordUnobserved(requestedAt time.Time) {
	if e.unobservedSince.IsZero() {
		e.unobservedSince = requestedAt
	}
}

// recordObserved records that the feed was read.
func (e *Election) recordObserved() {
	now := e.Clock.Now()
	if !e.unobservedSince.IsZero() && now.Sub(e.unobservedSince) >= minOutage && e.regainedVersion != e.leaseVersion {
		e.regainedAt, e.regainedVersion = now, e.leaseVersion
	}
	e.unobservedSince = time.Time{}
}

// confirmVacant reads the lease row again and reports whether it is still not
// renewed. While the table is slow, renewals are late, too, and slowVacantTime
// applies.
func (e *Election) confirmVacant() bool {
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	requestedAt := e.Clock.Now()
	row, err := e.Table.Get(ctx, LeaseKey)
	if err != nil && !eris.Is(err, storage.ErrNotFound) {
		return false
	}
	if row.Version != e.leaseVersion {
		e.applyLeaseRow(row, row.Version == 0)
		return false
	}
	now := e.Clock.Now()
	return now.Sub(requestedAt) < slowCallTime || now.Sub(e.leaseChangedAt) >= slowVacantTime
}

// claimable reports whether no running process holds the lease: the row is
// absent or released, or it belongs to a previous incarnation of this instance.
func (e *Election) claimable() bool {
	return e.leaseVersion == 0 || e.lease.Released ||
		e.lease.Node == e.Node && e.lease.Incarnation != e.Incarnation
}

func (e *Election) scheduleClaim() time.Duration {
	e.fire(evVacant)
	pause := time.Duration(float64(claimBaseDelay) / max(e.CPUShare, 0.05))
	e.claimAt, e.deferred = e.Clock.Now().Add(pause), false
	return pause
}

func (e *Election) readLease() time.Duration {
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	requestedAt := e.Clock.Now()
	snapshot, err := e.Table.Scan(ctx, leasePrefix)
	if err != nil {
		e.recordUnobserved(requestedAt)
		return retryPause
	}
	e.recordObserved()
	e.leaseCached, e.feedVersion = true, snapshot.Version
	row := storage.Row{}
	for _, r := range snapshot.Rows {
		if r.Key == LeaseKey {
			row = r
		}
	}
	if row.Version != e.leaseVersion || e.leaseChangedAt.IsZero() {
		e.applyLeaseRow(row, row.Version == 0)
	}
	if e.claimable() {
		return e.scheduleClaim()
	}
	return 0
}

func (e *Election) applyLeaseRow(row storage.Row, deleted bool) {
	e.leaseChangedAt = e.Clock.Now()
	e.leaseVersion, e.lease = row.Version, Lease{}
	if deleted {
		e.leaseVersion = 0
		return
	}
	if err := json.Unmarshal(row.Value, &e.lease); err != nil {
		e.Log.Error("lease_unreadable", slog.Any("error", err))
	}
}
