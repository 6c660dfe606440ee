// Package sched is the scheduler daemon: one set of duties for each shard that
// the process is a candidate for.
//
// The shard duty owns all state: the scheduler, the requests, the sessions
// with endpoints. It never blocks. What blocks are duties of their own: the
// lease and the journal at the table, the Syncs at the endpoints, the polls of
// the instance list. They post what came of it on the shard duty's ring.
package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/shard"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// Settings are the times and bounds of a scheduler.
type Settings struct {
	// Lease is the lease of a shard at the table.
	Lease shard.LeaseSettings
	// Journal is the journal of a shard.
	Journal shardjournal.Settings
	// JournalBudget is the number of journal rows a second that all shards of
	// the system may write together. Each shard's pace follows from it and from
	// the number of shards; 0 leaves the pace as it is set.
	JournalBudget int
	// StartLease is how long an endpoint's acceptance vouches for the epoch.
	StartLease time.Duration
	// Fresh bounds how late a Sync may take effect at an endpoint.
	Fresh time.Duration
	// TaskLease is how long a task may run without a Sync.
	TaskLease time.Duration
	// LeaseMargin is waited on top of a task's lease before the task counts as
	// ended.
	LeaseMargin time.Duration
	// SyncWorkers is the number of Syncs that can be under way at once.
	SyncWorkers int
	// SyncTimeout bounds one Sync.
	SyncTimeout time.Duration
	// SyncPeriod is the time between two Syncs of an endpoint that runs tasks.
	SyncPeriod time.Duration
	// IdlePeriod is the time between two Syncs of an endpoint that runs none.
	IdlePeriod time.Duration
	// MaxBackoff is the longest time between two tries of a silent endpoint.
	MaxBackoff time.Duration
	// ListPeriod is the time between two polls of the instance list.
	ListPeriod time.Duration
	// DrainTimeout bounds the time until the shard is handed back.
	DrainTimeout time.Duration
	// RedirectWait bounds the time that callers wait for the successor.
	RedirectWait time.Duration
	// MaxOpen is the most requests without an answer.
	MaxOpen int
	// MaxUnrecorded is the most entries that wait for the journal while new
	// requests are taken.
	MaxUnrecorded int
	// MaxWaiters is the most calls that wait for an answer.
	MaxWaiters int
}

// DefaultSettings returns the settings for today's deployments.
func DefaultSettings() Settings {
	return Settings{
		Lease: shard.LeaseSettings{
			Lease:   1500 * time.Millisecond,
			Renew:   750 * time.Millisecond,
			Poll:    150 * time.Millisecond,
			Timeout: 700 * time.Millisecond,
		},
		Journal: shardjournal.Settings{
			Pace:         150 * time.Millisecond,
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
