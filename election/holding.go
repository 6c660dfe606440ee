package election

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/storage"
)

// claim tries to take the next epoch.
func (e *Election) claim() time.Duration {
	if wait := e.claimAt.Sub(e.Clock.Now()); wait > 0 {
		return wait
	}
	if !e.deferred && (e.Larger() || e.Detour() > 0) {
		e.deferred, e.claimAt = true, e.Clock.Now().Add(deferTime)
		return deferTime
	}
	ctx, cancel := context.WithTimeout(e.ctx, 2*callTimeout)
	defer cancel()
	previous, version, err := e.readEpoch(ctx)
	if err != nil {
		e.fire(evLost)
		return retryPause
	}
	sent := e.Clock.Now()
	next := Epoch{Epoch: previous.Epoch + 1, Node: e.Node, Incarnation: e.Incarnation}
	lease := Lease{Node: e.Node, Incarnation: e.Incarnation, Epoch: next.Epoch}
	err = e.Table.Commit(ctx, storage.Txn{
		Checks: []storage.Check{{Key: LeaseKey, Version: e.leaseAt}, {Key: EpochKey, Version: version}},
		Writes: []storage.Write{{Key: LeaseKey, Value: storage.Encode(lease)}, {Key: EpochKey, Value: storage.Encode(next)}},
	})
	if err != nil && !eris.Is(err, storage.ErrUnavailable) {
		e.known = false
		e.fire(evLost)
		return retryPause
	}
	return e.confirm(ctx, next, lease, sent)
}

// confirm reads the rows: a commit without an answer may have taken effect.
func (e *Election) confirm(ctx context.Context, next Epoch, lease Lease, sent time.Time) time.Duration {
	found, version, err := e.readEpoch(ctx)
	e.known = false
	if err == nil && found == next {
		e.leaseAt, err = e.ownLease(ctx, lease)
	}
	if err != nil || found != next {
		e.fire(evLost)
		return retryPause
	}
	e.epoch, e.epochAt, e.lease, e.sent, e.heldSince = next, version, lease, sent, sent
	e.renewAt = sent.Add(renewPeriod)
	e.fire(evWon)
	return e.renewAt.Sub(e.Clock.Now())
}

func (e *Election) readEpoch(ctx context.Context) (Epoch, storage.RowVersion, error) {
	var found Epoch
	row, err := e.Table.Get(ctx, EpochKey)
	if eris.Is(err, storage.ErrNotFound) {
		return found, 0, nil
	}
	if err != nil {
		return found, 0, err
	}
	return found, row.Version, json.Unmarshal(row.Value, &found)
}

// ownLease returns the version of the lease row, or storage.ErrConflict if it is
// another instance's.
func (e *Election) ownLease(ctx context.Context, own Lease) (storage.RowVersion, error) {
	row, err := e.Table.Get(ctx, LeaseKey)
	if err != nil {
		return 0, err
	}
	var found Lease
	if err := json.Unmarshal(row.Value, &found); err != nil {
		return 0, eris.Wrap(err, "decoding the lease row")
	}
	if found.Epoch != own.Epoch || found.Incarnation != own.Incarnation {
		return 0, storage.ErrConflict
	}
	return row.Version, nil
}

func (e *Election) tellElected() {
	e.Listener.Elected(Elected{Epoch: e.epoch.Epoch, Version: e.epochAt, Until: e.sent.Add(LeaseTime)})
}

// hold renews the lease. A conflict means that another instance holds the cell;
// without an answer the right to act runs out by itself.
func (e *Election) hold() time.Duration {
	now := e.Clock.Now()
	if wait := e.renewAt.Sub(now); wait > 0 {
		return wait
	}
	if !e.yielded && now.Sub(e.heldSince) > yieldAfter && e.Larger() {
		e.yielded = true
		e.fire(evYield)
		return 0
	}
	err := e.writeLease(e.ctx, false)
	e.slow = eris.Is(err, storage.ErrUnavailable)
	switch {
	case err == nil && e.Detour() > detourMost:
		e.fire(evYield)
		return 0
	case err == nil:
		e.Listener.Renewed(now.Add(LeaseTime))
		e.renewAt = now.Add(renewPeriod)
	case eris.Is(err, storage.ErrConflict):
		e.fire(evLost)
	default:
		e.Log.Warn("lease_not_renewed", slog.Uint64("epoch", e.epoch.Epoch), slog.Any("error", err))
		e.renewAt = e.Clock.Now().Add(retryPause)
	}
	return max(e.renewAt.Sub(e.Clock.Now()), 0)
}

// release tells candidates that they may claim at once. A write without an answer
// is repeated: without it they wait for seconds while the table is slow.
func (e *Election) release() {
	e.Listener.Deposed()
	e.slow = true
	for range releaseTries {
		err := e.writeLease(context.WithoutCancel(e.ctx), true)
		if err == nil {
			return
		}
		e.Log.Warn("lease_not_released", slog.Uint64("epoch", e.epoch.Epoch), slog.Any("error", err))
		if eris.Is(err, storage.ErrConflict) {
			return
		}
	}
}

func (e *Election) writeLease(parent context.Context, released bool) error {
	timeout := callTimeout
	if e.slow {
		timeout = slowTimeout
	}
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	e.lease.Renewals++
	e.lease.Released = released
	err := e.putLease(ctx)
	if !eris.Is(err, storage.ErrConflict) {
		return err
	}
	// An earlier renewal without an answer took effect, the known version is
	// not the row's, or another instance holds the cell.
	e.leaseAt, err = e.ownLease(ctx, e.lease)
	if err != nil {
		return err
	}
	return e.putLease(ctx)
}

// putLease writes the lease row if it is the one that this instance knows.
func (e *Election) putLease(ctx context.Context) error {
	version, err := e.Table.Write(ctx, storage.Txn{
		Checks: []storage.Check{{Key: LeaseKey, Version: e.leaseAt}},
		Writes: []storage.Write{{Key: LeaseKey, Value: storage.Encode(e.lease)}},
	})
	if err == nil {
		e.leaseAt = version
	}
	return err
}
