// Package relay lets an instance that cannot reach the table use it through
// another instance, over net/rpc. Reads and conditional writes have the same effect
// from every instance, so the instances need no coordination.
package relay

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// maxPeersTried bounds the instances that are tried for one call.
	maxPeersTried = 3
	// callTimeout is the least time allowed for a call through one instance, in
	// addition to its wait. It is half of the caller's remaining time if that is
	// more, since the table may be slow.
	callTimeout = 500 * time.Millisecond
	// relayedWatchWait bounds the wait of a Watch through another instance.
	relayedWatchWait = 400 * time.Millisecond
	// firstRetryPause is the time after the first failed direct call before the next one: it
	// may have been sent on a connection that has gone silent. directRetryPause is that
	// between further ones.
	firstRetryPause  = 250 * time.Millisecond
	directRetryPause = time.Second
	// relayGap is the time without an answer through other instances after which they, too,
	// do not reach the table. Single calls fail also while they do: a direct attempt may use
	// up the time of a call before it is made through others.
	relayGap = time.Second
)

// Table is a storage.FeedTable that is called directly or, when that fails, through
// other instances.
type Table struct {
	direct storage.FeedTable
	peers  *peerrpc.Client
	others func() []string
	clock  clock.Clock
	log    *logging.Logger
	// next selects the instance to try first: the one that served the last call.
	next atomic.Uint32
	// retryDirectAt is when to make the next direct call, in nanoseconds of the
	// clock; 0 while direct calls succeed.
	retryDirectAt atomic.Int64
	// relayedSince is since when calls have been answered only through other instances, in
	// nanoseconds of the clock; 0 while direct calls succeed or none is answered.
	relayedSince atomic.Int64
	// relayedAt is when a call was last answered through another instance, in nanoseconds of
	// the clock.
	relayedAt atomic.Int64
	// answeredAt is when the table last answered a direct call, in nanoseconds of the clock.
	answeredAt atomic.Int64
}

// New returns a table that is called through direct or through the instances at
// the addresses that others returns.
func New(direct storage.FeedTable, peers *peerrpc.Client, others func() []string, c clock.Clock, log *logging.Logger) *Table {
	return &Table{direct: direct, peers: peers, others: others, clock: c, log: log}
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key string) (storage.Row, error) {
	reply, err := t.do(ctx, Request{Kind: get, Key: key})
	return reply.Row, err
}

// List implements storage.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	reply, err := t.do(ctx, Request{Kind: list, Key: prefix, From: after, Limit: limit})
	return reply.Snapshot.Rows, err
}

// Commit implements storage.Table.
func (t *Table) Commit(ctx context.Context, txn storage.Txn) error {
	_, err := t.Write(ctx, txn)
	return err
}

// Write implements storage.FeedTable. A write without a reply may be retried
// through another instance, so that the first attempt can make the retry fail with
// ErrConflict. txn therefore needs conditions that detect a repetition.
func (t *Table) Write(ctx context.Context, txn storage.Txn) (storage.RowVersion, error) {
	reply, err := t.do(ctx, Request{Kind: write, Txn: txn})
	return reply.Version, err
}

// Scan implements storage.FeedTable.
func (t *Table) Scan(ctx context.Context, prefix string) (storage.Snapshot, error) {
	reply, err := t.do(ctx, Request{Kind: scan, Key: prefix})
	return reply.Snapshot, err
}

// Watch implements storage.FeedTable. Through another instance it waits for at
// most relayedWatchWait.
func (t *Table) Watch(ctx context.Context, table string, after storage.RowVersion, wait time.Duration) (storage.Changes, error) {
	reply, err := t.do(ctx, Request{Kind: watch, Key: table, After: after, Wait: wait})
	return reply.Changes, err
}

// do makes the call directly, unless a direct call has failed within
// directRetryPause. Without a reply it makes the call through other instances.
func (t *Table) do(ctx context.Context, r Request) (Reply, error) {
	ambiguous := false
	var direct error
	if t.tryDirect() {
		startedAt := t.clock.Now().UnixNano()
		reply, err := call(ctx, t.direct, r)
		t.recordDirect(startedAt, err)
		if !noReply(err) {
			return reply, err
		}
		ambiguous, direct = eris.Is(err, storage.ErrUnavailable), err
	}
	reply, err := t.doRelayed(ctx, r, ambiguous)
	t.recordRelayed(err)
	if direct != nil && noReply(err) {
		return reply, eris.Wrapf(err, "directly: %v; through others", direct)
	}
	return reply, err
}

// doRelayed makes the call through other instances. ambiguous is set when an
// earlier attempt may have taken effect.
func (t *Table) doRelayed(ctx context.Context, r Request, ambiguous bool) (Reply, error) {
	r.Wait = min(r.Wait, relayedWatchWait)
	others := t.others()
	for range min(maxPeersTried, len(others)) {
		if ctx.Err() != nil {
			// A call that is sent now has no one to receive its reply.
			break
		}
		index := t.next.Load()
		var reply Reply
		callCtx, cancel := context.WithTimeout(ctx, r.Wait+callTime(ctx))
		err := t.peers.Call(callCtx, others[int(index)%len(others)], doMethod, r, &reply)
		cancel()
		if err == nil {
			err = errorOf(reply.Code)
		} else if !eris.Is(err, peerrpc.ErrNotSent) {
			err = storage.ErrUnavailable
		}
		if err == nil || isTableReply(err) {
			return reply, err
		}
		ambiguous = ambiguous || eris.Is(err, storage.ErrUnavailable)
		t.next.CompareAndSwap(index, index+1)
	}
	if ambiguous {
		return Reply{}, storage.ErrUnavailable
	}
	return Reply{}, storage.ErrRefused
}

// callTime returns how long a call through one instance may take.
func callTime(ctx context.Context) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return callTimeout
	}
	return max(callTimeout, time.Until(deadline)/2)
}

// isTableReply reports whether the error is a reply of the table.
func isTableReply(err error) bool {
	return eris.Is(err, storage.ErrConflict) || eris.Is(err, storage.ErrNotFound) || eris.Is(err, storage.ErrHistoryGone)
}

// noReply reports whether the call failed without a reply of the table.
func noReply(err error) bool { return err != nil && !isTableReply(err) }

// tryDirect reports whether to make the call directly. While direct calls fail,
// one call per directRetryPause tests whether the table responds again.
func (t *Table) tryDirect() bool {
	until := t.retryDirectAt.Load()
	if until == 0 || len(t.others()) == 0 {
		return true
	}
	now := t.clock.Now().UnixNano()
	return now >= until && t.retryDirectAt.CompareAndSwap(until, now+int64(directRetryPause))
}

// RelayedFor returns for how long calls have been answered only through other instances; 0
// while direct calls succeed. An outage of the table, in which no instance reaches it, does
// not count.
func (t *Table) RelayedFor() time.Duration {
	since := t.relayedSince.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(t.clock.Now().UnixNano() - since)
}

// recordRelayed records the end of a call through other instances.
func (t *Table) recordRelayed(err error) {
	now := t.clock.Now().UnixNano()
	switch {
	case noReply(err):
		if now-t.relayedAt.Load() > int64(relayGap) {
			t.relayedSince.Store(0)
		}
	case t.retryDirectAt.Load() != 0:
		t.relayedAt.Store(now)
		t.relayedSince.CompareAndSwap(0, now)
	}
}

// recordDirect records the end of a direct call. Calls that were made before the failure that
// is known do not delay the next attempt, and those made before the last answer show nothing.
func (t *Table) recordDirect(startedAt int64, err error) {
	now := t.clock.Now().UnixNano()
	if noReply(err) {
		if startedAt < t.answeredAt.Load() || t.retryDirectAt.Load() != 0 {
			return
		}
		if t.retryDirectAt.CompareAndSwap(0, now+int64(firstRetryPause)) {
			t.log.Warn("table_lost", slog.Any("error", err))
		}
		return
	}
	t.answeredAt.Store(now)
	t.relayedSince.Store(0)
	if t.retryDirectAt.Load() != 0 && t.retryDirectAt.Swap(0) != 0 {
		t.log.Info("table_regained")
	}
}
