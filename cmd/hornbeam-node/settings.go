package main

import (
	"time"

	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/planner"
	"github.com/hornbeamworks/hornbeam/settings"
)

// settingsEnv is the environment variable with the path of the settings file,
// used when --settings is not given.
const settingsEnv = "HORNBEAMWORKS_SETTINGS"

// nodeSettings are the settings of an entry instance. deploy/node.ini.tmpl
// generates the file from the values that the platform gives an instance.
type nodeSettings struct {
	Node    nodeSection      `ini:"node"`
	Listen  listenSection    `ini:"listen"`
	Table   tableSection     `ini:"table"`
	Advice  adviceSection    `ini:"advice"`
	Cell    cellSection      `ini:"cell"`
	Drain   drainSection     `ini:"drain"`
	Log     logging.Settings `ini:"log"`
	Runtime runtimeSection   `ini:"runtime"`
	// Requests are the limits on open requests.
	Requests httpserve.LimitSettings `ini:"requests"`
	// Front and Scheduling select optional parts.
	Front      frontSection      `ini:"front"`
	Scheduling schedulingSection `ini:"scheduling"`

	// file is the path of the settings file, for reloads.
	file string
}

// nodeSection identifies the instance.
type nodeSection struct {
	Name string `ini:"name" validate:"required"`
	// Domain is the instance's failure domain.
	Domain string `ini:"domain" validate:"required"`
}

// listenSection contains the listen addresses of the instance.
type listenSection struct {
	// Front is for callers, Ready for the platform's readiness checks, Peers
	// for the other instances and Metrics for monitoring.
	Front   string `ini:"front" validate:"hostname_port"`
	Ready   string `ini:"ready" validate:"hostname_port"`
	Peers   string `ini:"peers" validate:"hostname_port"`
	Metrics string `ini:"metrics" validate:"hostname_port"`
}

// tableSection locates the platform's table and describes its partitions.
type tableSection struct {
	// Address is the host and port of the table.
	Address string `ini:"address" validate:"hostname_port"`
	// Across is set when a transaction may touch several parts.
	Across bool `ini:"across"`
	// Parts is the number of parts over which jobs are spread. Without
	// transactions over several parts it is 1.
	Parts int `ini:"parts" validate:"min=1,max=64"`
}

// adviceSection locates the advice service.
type adviceSection struct {
	// Address is the host and port of the service; empty when there is none.
	Address string `ini:"address" validate:"omitempty,hostname_port"`
}

// cellSection contains the limits of the holder of the cell.
type cellSection struct {
	// MaxLease is the longest lease that endpoints grant.
	MaxLease time.Duration `ini:"max_lease" validate:"min=1s"`
	// StopTime is the longest time that stopping a task takes.
	StopTime time.Duration `ini:"stop_time" validate:"min=0s"`
	// DirectEndpoints is the largest number of endpoints for which the holder
	// calls all of them itself.
	DirectEndpoints int `ini:"direct_endpoints" validate:"min=0"`
	// ResumeWait is how long candidates wait for the holder after an outage of the table;
	// 0 for no wait.
	ResumeWait time.Duration `ini:"resume_wait" validate:"min=0s,max=5s"`
}

// frontSection contains the optional behaviour towards callers.
type frontSection struct {
	// StatusWait is how long a query of a running job's state waits for a change; 0 for no
	// wait.
	StatusWait time.Duration `ini:"status_wait" validate:"min=0s,max=1s"`
}

// schedulingSection selects the optional decisions of the holder, planner.Policy.
type schedulingSection struct {
	LearnedEstimates bool `ini:"learned_estimates"`
	ReadyGangs       bool `ini:"ready_gangs"`
	ShedByCost       bool `ini:"shed_by_cost"`
	Relocation       bool `ini:"relocation"`
}

func (s schedulingSection) policy() planner.Policy { return planner.Policy(s) }

// drainSection contains the limits of a graceful stop.
type drainSection struct {
	// Linger is how long calls are still accepted after the readiness page
	// returns 503, until the platform sends no more connections.
	Linger time.Duration `ini:"linger" validate:"min=0s"`
	// Timeout bounds the whole drain.
	Timeout time.Duration `ini:"timeout" validate:"min=1s"`
}

// runtimeSection contains the resources of the instance.
type runtimeSection struct {
	// CPUShare is the CPU capacity of the instance in cores.
	CPUShare float64 `ini:"cpu_share" validate:"gt=0"`
	// Memory is the instance's memory in MiB.
	Memory int64 `ini:"memory" validate:"min=32"`
}

// The defaults of settings that the platform does not give.
const (
	// defaultParts is large enough that a table whose writes take 60 times as
	// long, 0.2 s each, still accepts 250 jobs a second.
	defaultParts = 48
	// defaultBurst is the number of lines of one event per second. It allows a
	// line for each decision on a request at the rates of today's deployments,
	// and bounds the output of a burst.
	defaultBurst = 500
	// defaultDirectEndpoints keeps the calls to endpoints below a quarter of a
	// core at 2.5 starts a second on each; docs/CAPACITY.md has the cost of a
	// start.
	defaultDirectEndpoints = 96
	// defaultLinger covers two readiness checks, one a second.
	defaultLinger = 2300 * time.Millisecond
)

func loadSettings(file string) (*nodeSettings, error) {
	s := &nodeSettings{
		Table: tableSection{Parts: defaultParts},
		Cell:  cellSection{DirectEndpoints: defaultDirectEndpoints},
		Drain: drainSection{Linger: defaultLinger, Timeout: 5 * time.Second},
		Log:   logging.Settings{Level: "info", Burst: defaultBurst},

		Requests: httpserve.DefaultLimitSettings(),
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
