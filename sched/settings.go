// Package sched is the scheduler daemon: one set of duties for each shard that
// the process is a candidate for.
//
// The shard duty owns all state (the scheduler, the requests, the sessions with
// endpoints) and never blocks. Blocking calls run in duties of their own, which
// post the results to the shard duty's ring: the lease and the journal at the
// table, the Syncs with the endpoints, the polls of the instance list.
package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// Settings are the times and bounds of a scheduler.
type Settings struct {
	// Lease has the settings of a shard's lease at the table.
	Lease shard.LeaseSettings
	// Journal has the settings of a shard's journal.
	Journal shardjournal.Settings
	// JournalBudget is the number of journal rows per second that all shards of
	// the system may write together. Each shard's pace is set to an equal share
	// of it; 0 keeps Journal.RowInterval.
	JournalBudget int
	// StartLease is how long an endpoint's acceptance of a Sync proves that the
	// epoch is current.
	StartLease time.Duration
	// Fresh is the maximum delay after which a Sync may still take effect at an
	// endpoint.
	Fresh time.Duration
	// TaskLease is how long a task may run without a Sync.
	TaskLease time.Duration
	// LeaseMargin is added to a task's lease before the task counts as ended.
	LeaseMargin time.Duration
	// SyncWorkers is the number of Syncs that can be in flight at once.
	SyncWorkers int
	// SyncTimeout bounds one Sync.
	SyncTimeout time.Duration
	// SyncPeriod is the time between two Syncs of an endpoint that runs tasks.
	SyncPeriod time.Duration
	// IdlePeriod is the time between two Syncs of an endpoint that runs none.
	IdlePeriod time.Duration
	// MaxBackoff is the longest time between two Syncs with an unresponsive
	// endpoint.
	MaxBackoff time.Duration
	// ListPeriod is the time between two polls of the domain's instance list.
	ListPeriod time.Duration
	// DrainTimeout bounds the time until the shard is released.
	DrainTimeout time.Duration
	// RedirectWait bounds the time that callers wait for the successor.
	RedirectWait time.Duration
	// MaxOpen is the maximum number of requests without a durable answer.
	MaxOpen int
	// MaxUnrecorded is the number of entries that are not durable yet at which
	// new requests are rejected.
	MaxUnrecorded int
	// MaxWaiters is the maximum number of calls that wait for a reply.
	MaxWaiters int
}

// DefaultSettings returns the settings that apply where a deployment sets none.
func DefaultSettings() Settings {
	return Settings{
		Lease: shard.LeaseSettings{
			Lease:   1500 * time.Millisecond,
			Renew:   750 * time.Millisecond,
			Poll:    150 * time.Millisecond,
			Timeout: 700 * time.Millisecond,
		},
		Journal: shardjournal.Settings{
			RowInterval:  150 * time.Millisecond,
			RowEntries:   1024,
			SnapshotRows: 512,
			Retention:    10 * time.Minute,
			Timeout:      time.Second,
			Retry:        200 * time.Millisecond,
			DownAfter:    500 * time.Millisecond,
		},
		JournalBudget: 20,
		StartLease:    time.Second,
		Fresh:         time.Second,
		TaskLease:     3 * time.Second,
		LeaseMargin:   500 * time.Millisecond,
		SyncWorkers:   8,
		SyncTimeout:   300 * time.Millisecond,
		SyncPeriod:    150 * time.Millisecond,
		IdlePeriod:    400 * time.Millisecond,
		MaxBackoff:    time.Second,
		ListPeriod:    time.Second,
		DrainTimeout:  3 * time.Second,
		RedirectWait:  2 * time.Second,
		MaxOpen:       20_000,
		MaxUnrecorded: 20_000,
		MaxWaiters:    50_000,
	}
}
