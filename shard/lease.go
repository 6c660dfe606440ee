package shard

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/storage"
)

// driftMarginDivisor sets the margin for clocks that run at different rates: a
// holder treats its lease as expired 1/driftMarginDivisor of the lease early.
const driftMarginDivisor = 10

// LeaseSettings are the timing parameters of a lease.
type LeaseSettings struct {
	// Lease is how long the lease row stays valid without a renewal.
	Lease time.Duration
	// Renew is the interval between renewals.
	Renew time.Duration
	// Poll is the interval at which a candidate reads the row.
	Poll time.Duration
	// Timeout bounds each call to the table.
	Timeout time.Duration
}

// Listener is notified of changes of the lease. Its methods must not block.
type Listener interface {
	// Held is called when this process has acquired the shard under epoch. The
	// lease is valid until the given time of the local clock.
	Held(epoch model.Epoch, until time.Time)
	// Renewed is called when the lease has been extended until the given time.
	Renewed(until time.Time)
	// Lost is called when another process has taken a later epoch.
	Lost()
	// Released is called when this process has given up the shard after Resign.
	Released()
	// HolderObserved is called with the lease row of another process that holds the shard.
	HolderObserved(holder LeaseRow)
}

// Lease acquires, renews and releases the lease row of a shard for one
// candidate process. It belongs to one duty, which calls Tick; calls to the
// table block only that duty.
type Lease struct {
	id       model.ShardID
	self     LeaseRow
	settings LeaseSettings
	table    storage.Table
	clock    clock.Clock
	listener Listener

	chart *leaseChart
	state chart.State
	// next is the event raised by the last action; pending is set while there
	// is one.
	next    chart.Event
	pending bool

	rowVersion   storage.RowVersion
	epochVersion storage.RowVersion
	// unchangedSince is when the row was first read with rowVersion. A failed
	// read resets it to zero.
	unchangedSince time.Time
	sentAt         time.Time
	renewAt        time.Time
}

// NewLease returns a candidate for the shard. instance and address identify
// this process in the lease row.
func NewLease(id model.ShardID, instance model.InstanceID, address string, settings LeaseSettings, table storage.Table, source clock.Clock, listener Listener) *Lease {
	l := &Lease{
		id:       id,
		self:     LeaseRow{Holder: instance, Address: address, Lease: settings.Lease},
		settings: settings,
		table:    table,
		clock:    source,
		listener: listener,
		chart:    newLeaseChart(),
	}
	l.chart.machine.Start(&l.state, l)
	return l
}

// Tick polls or renews the row when that is due and returns the time until the
// next Tick.
func (l *Lease) Tick() time.Duration {
	l.fire(l.chart.tick)
	if l.chart.resigned.Has(l.state) {
		l.reportSuccessor()
	}
	if l.chart.holding.Has(l.state) {
		return min(l.settings.Poll, max(l.renewAt.Sub(l.clock.Now()), 0))
	}
	return l.settings.Poll
}

// Resign releases the shard, or ends the candidacy when this process does not
// hold it. The caller repeats it until Resigned returns true.
func (l *Lease) Resign() { l.fire(l.chart.resign) }

// Resigned reports whether this process has given up both the shard and its
// candidacy.
func (l *Lease) Resigned() bool { return l.chart.resigned.Has(l.state) }

// fire sends the event to the chart, followed by the events that its actions
// raise.
func (l *Lease) fire(event chart.Event) {
	l.chart.machine.Fire(&l.state, event, l)
	for l.pending {
		l.pending = false
		l.chart.machine.Fire(&l.state, l.next, l)
	}
}

// raise sets the event that fire sends after the current one.
func (l *Lease) raise(event chart.Event) {
	l.next = event
	l.pending = true
}

func (l *Lease) validUntil() time.Time {
	return l.sentAt.Add(l.settings.Lease - l.settings.Lease/driftMarginDivisor)
}

// discardObservation restarts the wait for the lease to expire: while the row
// can't be read it may be renewed unnoticed.
func (l *Lease) discardObservation() { l.unchangedSince = time.Time{} }

func (l *Lease) notifyHeld() {
	l.renewAt = l.sentAt.Add(l.settings.Renew)
	l.listener.Held(model.Epoch(l.epochVersion+1), l.validUntil())
}

// readRow reads the lease row as a candidate. The shard is free when the row does
// not exist, was released, or has not changed for its lease and the configured
// one.
func (l *Lease) readRow() {
	row, version, err := l.getLease()
	if err != nil {
		l.discardObservation()
		return
	}
	if version == 0 || row.Released {
		l.prepareTakeover(version)
		return
	}
	l.listener.HolderObserved(row)
	now := l.clock.Now()
	if version != l.rowVersion || l.unchangedSince.IsZero() {
		l.rowVersion = version
		l.unchangedSince = now
		return
	}
	if now.Sub(l.unchangedSince) >= max(row.Lease, l.settings.Lease) {
		l.prepareTakeover(version)
	}
}

// prepareTakeover records the versions of the lease row and the epoch row that
// the takeover checks, and raises free.
func (l *Lease) prepareTakeover(version storage.RowVersion) {
	epoch, err := l.getVersion(EpochKey(l.id))
	if err != nil {
		l.discardObservation()
		return
	}
	l.rowVersion = version
	l.epochVersion = epoch
	l.raise(l.chart.free)
}

func (l *Lease) commitEpoch() {
	l.sentAt = l.clock.Now()
	err := l.commit(storage.Txn{
		Checks: []storage.Check{
			{Key: EpochKey(l.id), Version: l.epochVersion},
			{Key: LeaseKey(l.id), Version: l.rowVersion},
		},
		Writes: []storage.Write{
			{Key: EpochKey(l.id), Value: Encode(EpochRow{Holder: l.self.Holder})},
			{Key: LeaseKey(l.id), Value: Encode(l.self)},
		},
	})
	l.raiseCommitResult(err, l.chart.acquired)
}

// readEpoch determines from the epoch row whether a takeover whose reply was
// lost took effect.
func (l *Lease) readEpoch() {
	row, err := l.get(EpochKey(l.id))
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return
	}
	content, err := Decode[EpochRow](row.Value)
	mine := err == nil && content.Holder == l.self.Holder
	if mine && row.Version == l.epochVersion+1 {
		l.raise(l.chart.acquired)
		return
	}
	l.raise(l.chart.conflict)
}

func (l *Lease) renew() {
	l.sentAt, l.renewAt = l.clock.Now(), l.clock.Now().Add(l.settings.Renew)
	l.raiseCommitResult(l.write(l.self), l.chart.renewed)
}

func (l *Lease) release() {
	row := l.self
	row.Released = true
	l.raiseCommitResult(l.write(row), l.chart.released)
}

// write sets the lease row, provided that the epoch is still this process's.
func (l *Lease) write(row LeaseRow) error {
	return l.commit(storage.Txn{
		Checks: []storage.Check{{Key: EpochKey(l.id), Version: l.epochVersion + 1}},
		Writes: []storage.Write{{Key: LeaseKey(l.id), Value: Encode(row)}},
	})
}

// raiseCommitResult raises the event for the result of a commit; committed is
// the event for success.
func (l *Lease) raiseCommitResult(err error, committed chart.Event) {
	if err == nil {
		l.raise(committed)
		return
	}
	if errors.Is(err, storage.ErrConflict) {
		l.raise(l.chart.conflict)
		return
	}
	l.raise(l.chart.outcomeUnknown)
}

// reportSuccessor notifies the listener of the shard's next holder after this
// process has resigned.
func (l *Lease) reportSuccessor() {
	row, version, err := l.getLease()
	if err == nil && version != 0 && !row.Released && row.Holder != l.self.Holder {
		l.listener.HolderObserved(row)
	}
}

func (l *Lease) getLease() (LeaseRow, storage.RowVersion, error) {
	row, err := l.get(LeaseKey(l.id))
	if errors.Is(err, storage.ErrNotFound) {
		return LeaseRow{}, 0, nil
	}
	if err != nil {
		return LeaseRow{}, 0, err
	}
	content, err := Decode[LeaseRow](row.Value)
	return content, row.Version, err
}

func (l *Lease) getVersion(key string) (storage.RowVersion, error) {
	row, err := l.get(key)
	if errors.Is(err, storage.ErrNotFound) {
		return 0, nil
	}
	return row.Version, err
}

func (l *Lease) get(key string) (storage.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.Timeout)
	defer cancel()
	return l.table.Get(ctx, key)
}

func (l *Lease) commit(txn storage.Txn) error {
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.Timeout)
	defer cancel()
	return l.table.Commit(ctx, txn)
}
