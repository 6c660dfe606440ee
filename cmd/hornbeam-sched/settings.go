package main

import (
	"time"

	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/sched"
	"github.com/hornbeamworks/hornbeam/settings"
)

// programSettings are the sections of the scheduler's settings file.
type programSettings struct {
	Sched    schedSettings    `ini:"sched"`
	Platform platformSettings `ini:"platform"`
	Times    timeSettings     `ini:"times"`
	Bounds   boundSettings    `ini:"bounds"`
	Log      logging.Settings `ini:"log"`
	// Requests are the limits on open requests, Runtime the resources of the instance.
	Requests httpserve.LimitSettings   `ini:"requests"`
	Runtime  httpserve.RuntimeSettings `ini:"runtime"`
}

// schedSettings are the listen addresses of the process, its failure domain and
// its peers.
type schedSettings struct {
	// Listen is the address for peers, Admin the one for the admin pages.
	Listen string `ini:"listen" validate:"hostname_port"`
	Admin  string `ini:"admin" validate:"hostname_port"`
	// Domain is the failure domain, Shards its number of shards.
	Domain string `ini:"domain" validate:"required"`
	Shards int    `ini:"shards" validate:"min=1,max=64"`
	// Peers are the seed addresses of the membership.
	Peers []string `ini:"peers" validate:"dive,hostname_port"`
}

// platformSettings are the addresses of the platform's services.
type platformSettings struct {
	// Table, Objects and Instances are the base URLs of the services.
	Table     string `ini:"table" validate:"url"`
	Objects   string `ini:"objects" validate:"url"`
	Instances string `ini:"instances" validate:"url"`
}

// timeSettings are the leases, periods and timeouts of package sched.
type timeSettings struct {
	ShardLease   time.Duration `ini:"shard_lease" validate:"min=500ms,max=1m"`
	ShardRenew   time.Duration `ini:"shard_renew" validate:"min=50ms,max=30s"`
	ShardPoll    time.Duration `ini:"shard_poll" validate:"min=10ms,max=10s"`
	StartLease   time.Duration `ini:"start_lease" validate:"min=200ms,max=1m"`
	TaskLease    time.Duration `ini:"task_lease" validate:"min=500ms,max=10m"`
	SyncPeriod   time.Duration `ini:"sync_period" validate:"min=10ms,max=10s"`
	IdlePeriod   time.Duration `ini:"idle_period" validate:"min=10ms,max=10s"`
	SyncTimeout  time.Duration `ini:"sync_timeout" validate:"min=10ms,max=10s"`
	Retention    time.Duration `ini:"retention" validate:"min=1s,max=24h"`
	DrainTimeout time.Duration `ini:"drain_timeout" validate:"min=100ms,max=10m"`
}

// boundSettings bound the concurrency, the stored requests and the write rate of
// the process.
type boundSettings struct {
	SyncWorkers int `ini:"sync_workers" validate:"min=1,max=256"`
	Open        int `ini:"open" validate:"min=1,max=1000000"`
	Unrecorded  int `ini:"unrecorded" validate:"min=1,max=1000000"`
	Waiters     int `ini:"waiters" validate:"min=1,max=1000000"`
	// JournalRows is the number of journal rows per second that the whole
	// system may write.
	JournalRows int `ini:"journal_rows" validate:"min=1,max=10000"`
}

// loadSettings reads the file over the defaults.
func loadSettings(file string) (*programSettings, error) {
	s := defaultSettings()
	if err := settings.Load(file, s); err != nil {
		return nil, err
	}
	return s, nil
}

func defaultSettings() *programSettings {
	d := sched.DefaultSettings()
	return &programSettings{
		Sched: schedSettings{Shards: 1},
		Log:   logging.Settings{Level: "info"},
		Times: timeSettings{
			ShardLease: d.Lease.Lease, ShardRenew: d.Lease.Renew, ShardPoll: d.Lease.Poll,
			StartLease: d.StartLease, TaskLease: d.TaskLease,
			SyncPeriod: d.SyncPeriod, IdlePeriod: d.IdlePeriod, SyncTimeout: d.SyncTimeout,
			Retention: d.Journal.Retention, DrainTimeout: d.DrainTimeout,
		},
		Bounds: boundSettings{
			SyncWorkers: d.SyncWorkers, Open: d.MaxOpen, Unrecorded: d.MaxUnrecorded, Waiters: d.MaxWaiters,
			JournalRows: d.JournalBudget,
		},
		Requests: httpserve.DefaultLimitSettings(),
		Runtime:  httpserve.RuntimeSettings{Memory: httpserve.DefaultMemory},
	}
}

// scheduler returns the settings of package sched.
func (s *programSettings) scheduler() sched.Settings {
	d := sched.DefaultSettings()
	d.Lease.Lease, d.Lease.Renew, d.Lease.Poll = s.Times.ShardLease, s.Times.ShardRenew, s.Times.ShardPoll
	d.StartLease, d.TaskLease = s.Times.StartLease, s.Times.TaskLease
	d.Journal.Retention, d.JournalBudget = s.Times.Retention, s.Bounds.JournalRows
	d.SyncPeriod, d.IdlePeriod, d.SyncTimeout = s.Times.SyncPeriod, s.Times.IdlePeriod, s.Times.SyncTimeout
	d.DrainTimeout = s.Times.DrainTimeout
	d.SyncWorkers, d.MaxOpen = s.Bounds.SyncWorkers, s.Bounds.Open
	d.MaxUnrecorded, d.MaxWaiters = s.Bounds.Unrecorded, s.Bounds.Waiters
	return d
}
