package election

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/storage"
)

// claim tries to write the next epoch together with the lease.
func (e *Election) claim() time.Duration {
	if wait := e.claimAt.Sub(e.Clock.Now()); wait > 0 {
		return wait
	}
	if !e.deferred && (e.Larger() || e.RelayedFor() > 0) {
		e.deferred, e.claimAt = true, e.Clock.Now().Add(claimDeferral)
		return claimDeferral
	}
	ctx, cancel := context.WithTimeout(e.ctx, 2*callTimeout)
	defer cancel()
	previous, version, err := e.readEpoch(ctx)
	if err != nil {
		e.fire(evLost)
		return retryPause
	}
	sentAt := e.Clock.Now()
	next := Epoch{Epoch: previous.Epoch + 1, Node: e.Node, Incarnation: e.Incarnation}
	lease := Lease{Node: e.Node, Incarnation: e.Incarnation, Epoch: next.Epoch}
	err = e.Table.Commit(ctx, storage.Txn{
		Checks: []storage.Check{{Key: LeaseKey, Version: e.leaseVersion}, {Key: EpochKey, Version: version}},
		Writes: []storage.Write{{Key: LeaseKey, Value: storage.Encode(lease)}, {Key: EpochKey, Value: storage.Encode(next)}},
	})
	if err != nil && !eris.Is(err, storage.ErrUnavailable) {
		e.leaseCached = false
		e.fire(evLost)
		return retryPause
	}
	return e.confirm(ctx, next, lease, sentAt)
}

// confirm reads the rows back to decide the election: a commit that got no
// response may have taken effect.
func (e *Election) confirm(ctx context.Context, next Epoch, lease Lease, sentAt time.Time) time.Duration {
	current, version, err := e.readEpoch(ctx)
	e.leaseCached = false
	if err == nil && current == next {
		e.leaseVersion, err = e.ownLease(ctx, lease)
	}
	if err != nil || current != next {
		e.fire(evLost)
		return retryPause
	}
	e.epoch, e.epochVersion, e.lease, e.claimSentAt, e.heldSince = next, version, lease, sentAt, sentAt
	e.renewAt = sentAt.Add(renewPeriod)
	e.fire(evWon)
	return e.renewAt.Sub(e.Clock.Now())
}

func (e *Election) readEpoch(ctx context.Context) (Epoch, storage.RowVersion, error) {
	var epoch Epoch
	row, err := e.Table.Get(ctx, EpochKey)
	if eris.Is(err, storage.ErrNotFound) {
		return epoch, 0, nil
	}
	if err != nil {
		return epoch, 0, err
	}
	return epoch, row.Version, json.Unmarshal(row.Value, &epoch)
}

// ownLease returns the version of the lease row, or storage.ErrConflict if
// another instance or incarnation holds the lease.
func (e *Election) ownLease(ctx context.Context, own Lease) (storage.RowVersion, error) {
	row, err := e.Table.Get(ctx, LeaseKey)
	if err != nil {
		return 0, err
	}
	var lease Lease
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		return 0, eris.Wrap(err, "decoding the lease row")
	}
	if lease.Epoch != own.Epoch || lease.Incarnation != own.Incarnation {
		return 0, storage.ErrConflict
	}
	return row.Version, nil
}

func (e *Election) notifyElected() {
	e.Listener.Elected(Elected{Epoch: e.epoch.Epoch, Version: e.epochVersion, Until: e.claimSentAt.Add(LeaseTime)})
}

// hold renews the lease. A conflict means that another instance holds the cell.
// If renewals get no response, the lease expires without further action.
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
	e.useSlowTimeout = eris.Is(err, storage.ErrUnavailable)
	switch {
	case err == nil && e.RelayedFor() > maxRelayedTime:
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

// release marks the lease as released, so that candidates claim at once. A
// failed write is retried: without it, candidates wait up to slowVacantTime
// while the table is slow.
func (e *Election) release() {
	e.Listener.Deposed()
	e.useSlowTimeout = true
	for range releaseAttempts {
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
	if e.useSlowTimeout {
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
	// Either an earlier renewal that got no response took effect and the cached
	// version is stale, or another instance holds the cell.
	e.leaseVersion, err = e.ownLease(ctx, e.lease)
	if err != nil {
		return err
	}
	return e.putLease(ctx)
}

// putLease writes the lease row on condition that its version is the cached one.
func (e *Election) putLease(ctx context.Context) error {
	version, err := e.Table.Write(ctx, storage.Txn{
		Checks: []storage.Check{{Key: LeaseKey, Version: e.leaseVersion}},
		Writes: []storage.Write{{Key: LeaseKey, Value: storage.Encode(e.lease)}},
	})
	if err == nil {
		e.leaseVersion = version
	}
	return err
}
