// Package deployment reads the description of a user's deployment from a file such
// as deploy/*.ini: failure domains, entry instances, workers, network delays,
// classes and teams. The demo and the load tool are set up from it.
package deployment

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/settings"
)

const (
	// milliPerCore converts cores to millicores, the unit of model.CPU.
	milliPerCore = 1000
	// mibPerGB converts gigabytes to MiB, the unit of model.Memory.
	mibPerGB = 1024
	// percentDivisor converts a percentage to a fraction.
	percentDivisor = 100
)

// Deployment is the description of one user's deployment.
type Deployment struct {
	Fleet   Fleet   `ini:"fleet"`
	Workers Workers `ini:"workers"`
	Classes []Class `ini:"class.*" validate:"min=1,dive"`
	Teams   []Team  `ini:"team.*" validate:"min=1,dive"`
}

// Fleet is the topology of a deployment: failure domains, shards, entry instances
// and network delays.
type Fleet struct {
	// Name is the deployment's name.
	Name string `ini:"name" validate:"required"`
	// Domains are the names of the failure domains.
	Domains []string `ini:"domains" validate:"min=1"`
	// Shards is the number of shards in each failure domain.
	Shards int `ini:"shards" validate:"min=1,max=16"`
	// EntryInstances is the total number of entry instances in the deployment.
	EntryInstances int `ini:"entry_instances" validate:"min=1"`
	// DomainDelay is the one-way network delay between failure domains.
	DomainDelay time.Duration `ini:"domain_delay"`
	// ClientDelay is the one-way network delay between clients and entry
	// instances.
	ClientDelay time.Duration `ini:"client_delay"`
}

// Workers are the instances that serve as endpoints. All have the same size.
type Workers struct {
	// Count is the total number of workers in the deployment.
	Count int `ini:"count" validate:"min=1"`
	// PerRack is the number of workers in each rack.
	PerRack int `ini:"per_rack" validate:"min=1"`
	// Cores is the number of cores of each worker.
	Cores int64 `ini:"cores" validate:"min=1"`
	// MemoryGB is the memory of each worker in gigabytes.
	MemoryGB int64 `ini:"memory_gb" validate:"min=1"`
	// Accelerators is the number of accelerators of each worker.
	Accelerators int64 `ini:"accelerators" validate:"min=0"`
	// Slots is the number of task slots of each worker.
	Slots int64 `ini:"slots" validate:"min=1"`
	// Connections is the number of connections of each worker.
	Connections int64 `ini:"connections" validate:"min=1"`
}

// Class is a class of work with its service target.
type Class struct {
	Name string `ini:"*"`
	// MaxWait is the maximum time from acceptance to start.
	MaxWait time.Duration `ini:"max_wait" validate:"min=1ms"`
	// Window is the maximum time from acceptance to the answer.
	Window time.Duration `ini:"window" validate:"min=1ms"`
	// Shortage is how work of the class is treated when capacity is short.
	Shortage string `ini:"shortage" validate:"oneof=wait throttle checkpoint rerun refuse"`
	// Repeatable allows a task to run again after a failure.
	Repeatable bool `ini:"repeatable"`
	// Open allows work to be submitted without a key.
	Open bool `ini:"open"`
}

// Team is a customer account.
type Team struct {
	Name string `ini:"*"`
	// Share is the team's part of the fleet when the fleet is fully used, in
	// thousandths.
	Share int64 `ini:"share" validate:"min=1,max=1000"`
	// LimitPercent is the maximum size of the team's running work, in percent of
	// the fleet's capacity.
	LimitPercent int64 `ini:"limit_percent" validate:"min=1,max=100"`
}

// Load reads and validates the description in file. Shards defaults to 1.
func Load(file string) (*Deployment, error) {
	d := &Deployment{Fleet: Fleet{Shards: 1}}
	if err := settings.Load(file, d); err != nil {
		return nil, err
	}
	return d, nil
}

// Capacity returns the capacity of one worker.
func (w Workers) Capacity() model.Resources {
	return model.Resources{
		model.CPU:          w.Cores * milliPerCore,
		model.Memory:       w.MemoryGB * mibPerGB,
		model.Accelerators: w.Accelerators,
		model.Slots:        w.Slots,
		model.Connections:  w.Connections,
	}
}

// Config returns the deployment's initial configuration, version 1, with the given
// API keys.
func (d *Deployment) Config(keys []model.Key) *model.Config {
	config := &model.Config{Version: 1, Keys: keys}
	for _, name := range d.Fleet.Domains {
		domain := model.Domain{Name: model.DomainName(name), Shards: d.Fleet.Shards}
		config.Domains = append(config.Domains, domain)
	}
	for _, c := range d.Classes {
		config.Classes = append(config.Classes, c.model())
	}
	for _, t := range d.Teams {
		config.Teams = append(config.Teams, d.team(t))
	}
	return config
}

func (c Class) model() model.Class {
	return model.Class{
		Name:       model.ClassName(c.Name),
		MaxWait:    c.MaxWait,
		Window:     c.Window,
		Shortage:   model.Treatment(c.Shortage),
		Repeatable: c.Repeatable,
		Open:       c.Open,
	}
}

func (d *Deployment) team(t Team) model.Team {
	limit := d.Workers.Capacity().Scale(int64(d.Workers.Count) * t.LimitPercent)
	for i := range limit {
		limit[i] /= percentDivisor
	}
	return model.Team{Name: model.TeamName(t.Name), Share: t.Share, Limit: limit}
}
