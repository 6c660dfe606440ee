package main

import (
	"time"

	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/settings"
)

// settingsVariable names the environment variable with the settings file's
// path, for where no --settings is given.
const settingsVariable = "HORNBEAMWORKS_SETTINGS"

// nodeSettings are the settings of an entry instance. deploy/node.ini.tmpl
// makes them of what the platform tells an instance.
type nodeSettings struct {
	Node    nodeSection      `ini:"node"`
	Listen  listenSection    `ini:"listen"`
	Table   tableSection     `ini:"table"`
	Advice  adviceSection    `ini:"advice"`
	Cell    cellSection      `ini:"cell"`
	Drain   drainSection     `ini:"drain"`
	Log     logging.Settings `ini:"log"`
	Runtime runtimeSection   `ini:"runtime"`

	// file is where the settings were read.
	file string
}

// nodeSection says who the instance is.
type nodeSection struct {
	// Name names the instance.
	Name string `ini:"name" validate:"required"`
	// Domain is its failure domain.
	Domain string `ini:"domain" validate:"required"`
}

// listenSection are the addresses that the instance serves.
type listenSection struct {
	// Front is for callers, Ready for the platform's checks, Peers for the
	// other instances and Metrics for monitoring.
	Front   string `ini:"front" validate:"hostname_port"`
	Ready   string `ini:"ready" validate:"hostname_port"`
	Peers   string `ini:"peers" validate:"hostname_port"`
	Metrics string `ini:"metrics" validate:"hostname_port"`
}

// tableSection is the platform's table.
type tableSection struct {
	// Address is its host and port.
	Address string `ini:"address" validate:"hostname_port"`
	// Across says that a transaction may touch several parts.
	Across bool `ini:"across"`
	// Parts is the number of parts over which jobs are spread. Without
	// transactions over several parts it is 1.
	Parts int `ini:"parts" validate:"min=1,max=64"`
}

// adviceSection is the advice service.
type adviceSection struct {
	// Address is its host and port; empty where there is none.
	Address string `ini:"address" validate:"omitempty,hostname_port"`
}

// cellSection bounds what a holder does.
type cellSection struct {
	// MaxLease is the longest lease that endpoints grant.
	MaxLease time.Duration `ini:"max_lease" validate:"min=1s"`
	// StopTime is what the stop of a task takes at most.
	StopTime time.Duration `ini:"stop_time" validate:"min=0s"`
	// DirectEndpoints is the number of endpoints up to which the holder calls
	// all of them itself.
	DirectEndpoints int `ini:"direct_endpoints" validate:"min=0"`
}

// drainSection bounds a planned stop.
type drainSection struct {
	// Linger is how long calls are still taken after the ready page turned to
	// 503: until the platform sends no more connections.
	Linger time.Duration `ini:"linger" validate:"min=0s"`
	// Timeout bounds the whole drain.
	Timeout time.Duration `ini:"timeout" validate:"min=1s"`
}

// runtimeSection bounds the process.
type runtimeSection struct {
	// CPUShare is the share of a core that the instance has.
	CPUShare float64 `ini:"cpu_share" validate:"gt=0"`
	// Memory is the instance's memory in MiB.
	Memory int64 `ini:"memory" validate:"min=32"`
}

// The defaults of settings that the platform does not tell.
const (
	// defaultParts spreads the jobs over so many parts that a table that takes
	// 60 times as long for each write, 0.2 s, still takes 250 jobs a second.
	defaultParts = 48
	// defaultBurst lets each decision on a request leave its line at the rates
	// of today's deployments, and bounds what a storm writes.
	defaultBurst = 500
	// defaultDirect keeps the calls of endpoints below a quarter of a core at 2.5
	// starts a second on each: docs/CAPACITY.md has the cost of a start.
	defaultDirect = 96
	// defaultLinger covers two checks of the ready page, one a second.
	defaultLinger = 2300 * time.Millisecond
)

func loadSettings(file string) (*nodeSettings, error) {
	s := &nodeSettings{
		Table: tableSection{Parts: defaultParts},
		Cell:  cellSection{DirectEndpoints: defaultDirect},
		Drain: drainSection{Linger: defaultLinger, Timeout: 5 * time.Second},
		Log:   logging.Settings{Level: "info", Burst: defaultBurst},
	}
	if err := settings.Load(file, s); err != nil {
		return nil, err
	}
	s.file = file
	if !s.Table.Across {
		s.Table.Parts = 1
	}
	return s, nil
}
