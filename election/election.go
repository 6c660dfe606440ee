// Package election chooses the instance that holds the cell. The lease row only
// says when a successor may come; what keeps two holders apart is the epoch,
// which the table gives to one of them and every endpoint checks.
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
// renewals wait for no other writes. The epoch row stands in the table of the jobs, so
// that whoever follows that table's feed sees a new epoch before the jobs that
// were accepted after it.
const (
	LeaseTable  = "holder"
	leasePrefix = "holder/lease/"
	LeaseKey    = leasePrefix + "lease"
	EpochKey    = "jobs//holder"
)

const (
	// LeaseTime is how long a holder may act after its last renewal.
	LeaseTime = 2 * time.Second
	// VacantTime is how long candidates wait after they have seen a renewal.
	// It is shorter than LeaseTime: a holder that still acts then can't record
	// a start any more, and a successor waits for the leases that it may have
	// renewed.
	VacantTime = 1200 * time.Millisecond
	// slowVacantTime is the same while the table is slow, when a renewal takes
	// a second and may have to be repeated; slowCall is what a call takes at
	// least then.
	slowVacantTime = 3500 * time.Millisecond
	slowCall       = 100 * time.Millisecond
	// renewPeriod is the time between two renewals: two may fail before a
	// candidate comes.
	renewPeriod = 400 * time.Millisecond
	// callTimeout bounds a call of the table.
	callTimeout = 700 * time.Millisecond
	// slowTimeout bounds a renewal after one that got no answer in callTimeout:
	// a table that takes 90 times as long for a write needs 0.7 s.
	slowTimeout = 1500 * time.Millisecond
	// releaseTries is how often a holder that stops tries to say so.
	releaseTries = 2
	// watchTime is how long the feed of the lease row waits for a change.
	watchTime = time.Second
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
	// claimBase is the pause of an instance with a whole core before it claims;
	// smaller ones wait in proportion, so that larger ones hold the cell.
	claimBase = 40 * time.Millisecond
	// deferTime is how long an instance waits in addition while one of at least
	// twice its size is known, or the table is reached only through others: the
	// time of a call that failed and its repetition.
	deferTime = time.Second
	// detourMost is how long a holder goes on through other instances: they reach
	// the table, so that one of them holds the cell better.
	detourMost = 1200 * time.Millisecond
	// yieldAfter is how long it holds the cell before it makes way for such a
	// one, once.
	yieldAfter = 4 * time.Second
)

// Lease is the lease row.
type Lease struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	// Renewals makes each renewal a change that the feed shows.
	Renewals uint64 `json:"renewals"`
	// Released says that the holder has stopped acting.
	Released bool `json:"released,omitempty"`
}

// Epoch is the epoch row.
type Epoch struct {
	Epoch       uint64 `json:"epoch"`
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// Elected says that this instance holds the cell.
type Elected struct {
	Epoch uint64
	// Version is the version of the epoch row: writes of the holder depend on
	// it.
	Version storage.RowVersion
	// Until is when its right to act ends unless it is renewed.
	Until time.Time
}

// Listener is told what becomes of the election, on the election's thread.
type Listener interface {
	Elected(Elected)
	// Renewed says until when the instance may act.
	Renewed(until time.Time)
	Deposed()
}

// Options are what an election needs.
type Options struct {
	Node, Incarnation string
	// CPUShare is the share of a core that the instance has.
	CPUShare float64
	// Larger reports whether another instance of at least twice its size is
	// known.
	Larger func() bool
	// Detour returns for how long the table has been reached only through other
	// instances; 0 while it is reached directly.
	Detour   func() time.Duration
	Table    storage.FeedTable
	Clock    clock.Clock
	Log      *logging.Logger
	Listener Listener
}

// message asks the election to resign; it is the only one.
type message struct{ done chan<- struct{} }

// Election is the duty that takes part in the choice.
type Election struct {
	Options
	*duty.Duty[message]
	ctx     context.Context
	state   chart.State
	lease   Lease
	version storage.RowVersion
	leaseAt storage.RowVersion
	known   bool
	changed time.Time
	epoch   Epoch
	epochAt storage.RowVersion
	renewAt time.Time
	// slow says that the last renewal got no answer.
	slow bool
	sent time.Time
	// heldSince is when the instance won.
	heldSince time.Time
	// claimAt is when to claim; deferred says that larger instances have been
	// waited for.
	claimAt  time.Time
	deferred bool
	// yielded says that the cell was given up for a larger instance.
	yielded bool
}

var machine *chart.Machine[Election]

var evVacant, evWon, evLost, evYield, evResign chart.Event

var stFollowing, stClaiming, stHolding chart.State

func init() {
	machine = chart.MustBind(charts.MustLoad("election"),
		chart.Guards[Election]{},
		chart.Actions[Election]{
			"tell_elected": (*Election).tellElected,
			"tell_deposed": func(e *Election) { e.Listener.Deposed() },
			"release":      (*Election).release,
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

// New returns an election that has not started; its calls end with ctx.
func New(ctx context.Context, o Options) *Election {
	e := &Election{Options: o, ctx: ctx}
	machine.Start(&e.state, e)
	e.Duty = duty.New("election", 4, duty.HandlerFunc[message](e.handle))
	return e
}

// Resign gives up the cell, if this instance holds it, and takes no part any
// more. It returns once that is written or ctx has ended.
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
			slog.Duration("lease_age", e.Clock.Now().Sub(e.changed)))
	}
}

// follow waits for the lease row to change or to grow old.
func (e *Election) follow() time.Duration {
	if !e.known {
		return e.readLease()
	}
	asked := e.Clock.Now()
	wait := min(watchTime, max(e.vacantAt().Sub(asked), time.Millisecond))
	ctx, cancel := context.WithTimeout(e.ctx, wait+callTimeout)
	defer cancel()
	found, err := e.Table.Watch(ctx, LeaseTable, e.version, wait)
	if eris.Is(err, storage.ErrHistoryGone) {
		e.known = false
		return 0
	}
	if err != nil {
		return retryPause
	}
	e.version = found.Version
	for _, c := range found.Changes {
		if c.Key == LeaseKey {
			e.note(c.Row, c.Deleted)
		}
	}
	if e.free() || len(found.Changes) == 0 && !asked.Add(wait).Before(e.vacantAt()) && e.vacant() {
		return e.prepare()
	}
	return 0
}

func (e *Election) vacantAt() time.Time { return e.changed.Add(VacantTime) }

// vacant asks once more whether the lease has not been renewed. While the table
// is slow, so are renewals.
func (e *Election) vacant() bool {
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	asked := e.Clock.Now()
	row, err := e.Table.Get(ctx, LeaseKey)
	if err != nil && !eris.Is(err, storage.ErrNotFound) {
		return false
	}
	if row.Version != e.leaseAt {
		e.note(row, row.Version == 0)
		return false
	}
	now := e.Clock.Now()
	return now.Sub(asked) < slowCall || now.Sub(e.changed) >= slowVacantTime
}

// free reports whether the lease is held by nobody who can act: it was given
// up, or this instance has started anew since.
func (e *Election) free() bool {
	return e.leaseAt == 0 || e.lease.Released ||
		e.lease.Node == e.Node && e.lease.Incarnation != e.Incarnation
}

// prepare begins a claim.
func (e *Election) prepare() time.Duration {
	e.fire(evVacant)
	pause := time.Duration(float64(claimBase) / max(e.CPUShare, 0.05))
	e.claimAt, e.deferred = e.Clock.Now().Add(pause), false
	return pause
}

func (e *Election) readLease() time.Duration {
	ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
	defer cancel()
	found, err := e.Table.Scan(ctx, leasePrefix)
	if err != nil {
		return retryPause
	}
	e.known, e.version = true, found.Version
	row := storage.Row{}
	for _, r := range found.Rows {
		if r.Key == LeaseKey {
			row = r
		}
	}
	if row.Version != e.leaseAt || e.changed.IsZero() {
		e.note(row, row.Version == 0)
	}
	if e.free() {
		return e.prepare()
	}
	return 0
}

func (e *Election) note(row storage.Row, deleted bool) {
	e.changed = e.Clock.Now()
	e.leaseAt, e.lease = row.Version, Lease{}
	if deleted {
		e.leaseAt = 0
		return
	}
	if err := json.Unmarshal(row.Value, &e.lease); err != nil {
		e.Log.Error("lease_unreadable", slog.Any("error", err))
	}
}
