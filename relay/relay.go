// Package relay lets an instance that the table turns away reach it through
// another instance, by net/rpc. Reads and conditional writes mean the same from
// anywhere, so that nothing has to be agreed on.
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
	// peersTried bounds the instances that are asked for one call.
	peersTried = 3
	// callTimeout is allowed for a call through one instance beyond its wait;
	// half of the caller's time, if that is more, since the table may be slow.
	callTimeout = 500 * time.Millisecond
	// watchTime bounds the wait of a feed's call through another instance.
	watchTime = 400 * time.Millisecond
	// directPause is how long the direct way is left alone after a failure.
	directPause = time.Second
)

// Table is a table that is reached directly or, failing that, through others.
type Table struct {
	direct storage.FeedTable
	peers  *peerrpc.Client
	others func() []string
	clock  clock.Clock
	log    *logging.Logger
	// next is the instance that served last.
	next atomic.Uint32
	// away is until when the direct way is left alone, in nanoseconds of the
	// clock; 0 while it works.
	away atomic.Int64
	// lostAt is when the direct way was lost, in nanoseconds of the clock.
	lostAt atomic.Int64
}

// New returns a table that is reached directly or through the instances at the
// addresses that others returns.
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

// Write implements storage.FeedTable. A write without an answer may be tried
// again through another instance, so that its own first try can make it fail
// with ErrConflict: txn has conditions that tell.
func (t *Table) Write(ctx context.Context, txn storage.Txn) (storage.RowVersion, error) {
	reply, err := t.do(ctx, Request{Kind: write, Txn: txn})
	return reply.Version, err
}

// Scan implements storage.FeedTable.
func (t *Table) Scan(ctx context.Context, prefix string) (storage.Snapshot, error) {
	reply, err := t.do(ctx, Request{Kind: scan, Key: prefix})
	return reply.Snapshot, err
}

// Watch implements storage.FeedTable. Through another instance it waits a
// shorter time.
func (t *Table) Watch(ctx context.Context, table string, after storage.RowVersion, wait time.Duration) (storage.Changes, error) {
	reply, err := t.do(ctx, Request{Kind: watch, Key: table, After: after, Wait: wait})
	return reply.Changes, err
}

// do makes the call directly, unless that has just failed, and then through
// other instances.
func (t *Table) do(ctx context.Context, r Request) (Reply, error) {
	doubtful := false
	var direct error
	if t.tryDirect() {
		reply, err := call(ctx, t.direct, r)
		t.noteDirect(err)
		if !lost(err) {
			return reply, err
		}
		doubtful, direct = eris.Is(err, storage.ErrUnavailable), err
	}
	reply, err := t.through(ctx, r, doubtful)
	if direct != nil && lost(err) {
		return reply, eris.Wrapf(err, "directly: %v; through others", direct)
	}
	return reply, err
}

// through makes the call through other instances. doubtful says that an earlier
// try may have taken effect.
func (t *Table) through(ctx context.Context, r Request, doubtful bool) (Reply, error) {
	r.Wait = min(r.Wait, watchTime)
	others := t.others()
	for range min(peersTried, len(others)) {
		at := t.next.Load()
		var reply Reply
		inner, cancel := context.WithTimeout(ctx, r.Wait+callTime(ctx))
		err := t.peers.Call(inner, others[int(at)%len(others)], doMethod, r, &reply)
		cancel()
		if err == nil {
			err = errorOf(reply.Code)
		} else if !eris.Is(err, peerrpc.ErrNotSent) {
			err = storage.ErrUnavailable
		}
		if err == nil || settled(err) {
			return reply, err
		}
		doubtful = doubtful || eris.Is(err, storage.ErrUnavailable)
		t.next.CompareAndSwap(at, at+1)
	}
	if doubtful {
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

// settled reports whether the error is the table's own answer.
func settled(err error) bool {
	return eris.Is(err, storage.ErrConflict) || eris.Is(err, storage.ErrNotFound) || eris.Is(err, storage.ErrHistoryGone)
}

// lost reports whether the table gave no answer.
func lost(err error) bool { return err != nil && !settled(err) }

// tryDirect reports whether to make the call directly: while the table does not
// answer, one call in a while finds out whether it does again.
func (t *Table) tryDirect() bool {
	until := t.away.Load()
	if until == 0 || len(t.others()) == 0 {
		return true
	}
	now := t.clock.Now().UnixNano()
	return now >= until && t.away.CompareAndSwap(until, now+int64(directPause))
}

// Detour returns for how long the direct way has been lost; 0 while it works.
func (t *Table) Detour() time.Duration {
	if t.away.Load() == 0 {
		return 0
	}
	return time.Duration(t.clock.Now().UnixNano() - t.lostAt.Load())
}

func (t *Table) noteDirect(err error) {
	if lost(err) {
		if t.away.Load() == 0 {
			t.lostAt.Store(t.clock.Now().UnixNano())
		}
		if t.away.Swap(t.clock.Now().UnixNano()+int64(directPause)) == 0 {
			t.log.Warn("table_lost", slog.Any("error", err))
		}
		return
	}
	if t.away.Load() != 0 && t.away.Swap(0) != 0 {
		t.log.Info("table_regained")
	}
}
