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

// driftDivisor is the part of the lease that a holder gives up for clocks that
// run at different rates.
const driftDivisor = 10

// LeaseSettings are the times of a lease.
type LeaseSettings struct {
	// Lease is how long a row stands without a renewal.
	Lease time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Poll is the time between two looks of a candidate at the row.
	Poll time.Duration
	// Timeout bounds each call of the table.
	Timeout time.Duration
}

// Listener hears what becomes of the lease. Its methods must not block.
type Listener interface {
	// Held says that this process holds the shard under epoch, by the table
	// until the given time of the local clock.
	Held(epoch model.Epoch, until time.Time)
	// Renewed says that the table's word now lasts until the given time.
	Renewed(until time.Time)
	// Lost says that another process has taken a later epoch.
	Lost()
	// Released says that the shard was handed back.
	Released()
	// Seen says which other process the lease row names.
	Seen(holder LeaseRow)
}

// Lease is one candidate's view of the lease row of a shard. Its owner calls
// Tick from one duty; the calls of the table block that duty alone.
type Lease struct {
	id       model.ShardID
	self     LeaseRow
	settings LeaseSettings
	table    storage.Table
	clock    clock.Clock
	listener Listener

	chart *leaseChart
	state chart.State
	// next is what came of the last action; pending says that there is one.
	next    chart.Event
	pending bool

	rowVersion   storage.RowVersion
	epochVersion storage.RowVersion
	// standsSince is when the row was first seen with rowVersion, without a
	// failed read since; zero when it has not been seen.
	standsSince time.Time
	sentAt      time.Time
	renewAt     time.Time
}

// NewLease returns a candidate for the shard. instance and address name this
// process in the row.
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

// Tick does what is due now and returns the time to the next Tick.
func (l *Lease) Tick() time.Duration {
	l.fire(l.chart.tick)
	if l.chart.resigned.Has(l.state) {
		l.watchSuccessor()
	}
	if l.chart.holding.Has(l.state) {
		return min(l.settings.Poll, max(l.renewAt.Sub(l.clock.Now()), 0))
	}
	return l.settings.Poll
}

// Resign hands the shard back, or ends the candidacy. The caller repeats it
// until Resigned.
func (l *Lease) Resign() { l.fire(l.chart.resign) }

// Resigned reports whether this process neither holds nor will hold the shard.
func (l *Lease) Resigned() bool { return l.chart.resigned.Has(l.state) }

// fire hands the event to the chart, then what its actions brought about.
func (l *Lease) fire(event chart.Event) {
	l.chart.machine.Fire(&l.state, event, l)
	for l.pending {
		l.pending = false
		l.chart.machine.Fire(&l.state, l.next, l)
	}
}

// then makes event the next one to be fired.
func (l *Lease) then(event chart.Event) {
	l.next = event
	l.pending = true
}

func (l *Lease) validUntil() time.Time {
	return l.sentAt.Add(l.settings.Lease - l.settings.Lease/driftDivisor)
}

func (l *Lease) forgetRow() { l.standsSince = time.Time{} }

func (l *Lease) announceHeld() {
	l.renewAt = l.sentAt.Add(l.settings.Renew)
	l.listener.Held(model.Epoch(l.epochVersion+1), l.validUntil())
}

// readRow looks at the lease row as a candidate.
func (l *Lease) readRow() {
	row, version, err := l.getLease()
	if err != nil {
		l.forgetRow()
		return
	}
	if version == 0 || row.Released {
		l.noteFree(version)
		return
	}
	l.listener.Seen(row)
	now := l.clock.Now()
	if version != l.rowVersion || l.standsSince.IsZero() {
		l.rowVersion = version
		l.standsSince = now
		return
	}
	if now.Sub(l.standsSince) >= max(row.Lease, l.settings.Lease) {
		l.noteFree(version)
	}
}

// noteFree reads the epoch that a take-over must follow.
func (l *Lease) noteFree(version storage.RowVersion) {
	epoch, err := l.getVersion(EpochKey(l.id))
	if err != nil {
		l.forgetRow()
		return
	}
	l.rowVersion = version
	l.epochVersion = epoch
	l.then(l.chart.free)
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
	l.settle(err, l.chart.won)
}

// readEpoch settles a take-over whose reply was lost.
func (l *Lease) readEpoch() {
	row, err := l.get(EpochKey(l.id))
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return
	}
	content, err := Decode[EpochRow](row.Value)
	mine := err == nil && content.Holder == l.self.Holder
	if mine && row.Version == l.epochVersion+1 {
		l.then(l.chart.won)
		return
	}
	l.then(l.chart.conflict)
}

func (l *Lease) renew() {
	l.sentAt, l.renewAt = l.clock.Now(), l.clock.Now().Add(l.settings.Renew)
	l.settle(l.write(l.self), l.chart.renewed)
}

func (l *Lease) release() {
	row := l.self
	row.Released = true
	l.settle(l.write(row), l.chart.released)
}

// write sets the lease row if the epoch still stands.
func (l *Lease) write(row LeaseRow) error {
	return l.commit(storage.Txn{
		Checks: []storage.Check{{Key: EpochKey(l.id), Version: l.epochVersion + 1}},
		Writes: []storage.Write{{Key: LeaseKey(l.id), Value: Encode(row)}},
	})
}

func (l *Lease) settle(err error, done chart.Event) {
	if err == nil {
		l.then(done)
		return
	}
	if errors.Is(err, storage.ErrConflict) {
		l.then(l.chart.conflict)
		return
	}
	l.then(l.chart.unsure)
}

// watchSuccessor tells who holds the shard after this process has resigned.
func (l *Lease) watchSuccessor() {
	row, version, err := l.getLease()
	if err == nil && version != 0 && !row.Released && row.Holder != l.self.Holder {
		l.listener.Seen(row)
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
