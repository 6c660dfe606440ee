// Package deployment describes one user's deployment, as deploy/*.ini have it:
// failure domains, entry instances, workers, delays, classes and teams. The
// demo and the load tool are set up from it.
package deployment

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/settings"
)

const (
	// milliPerCore turns cores into the unit of model.CPU.
	milliPerCore = 1000
	// mibPerGB turns gigabytes into the unit of model.Memory.
	mibPerGB = 1024
	// percentDivisor is the whole of a percentage.
	percentDivisor = 100
)

// Deployment is the description of one user's deployment.
type Deployment struct {
	// Fleet is the place of everything.
	Fleet Fleet `ini:"fleet"`
	// Workers are the instances that serve as endpoints.
	Workers Workers `ini:"workers"`
	// Classes are the classes of work.
	Classes []Class `ini:"class.*" validate:"min=1,dive"`
	// Teams are the client accounts.
	Teams []Team `ini:"team.*" validate:"min=1,dive"`
}

// Fleet is the place of everything.
type Fleet struct {
	// Name names the deployment.
	Name string `ini:"name" validate:"required"`
	// Domains are the names of the failure domains.
	Domains []string `ini:"domains" validate:"min=1"`
	// Shards is the number of shards of each failure domain.
	Shards int `ini:"shards" validate:"min=1,max=16"`
	// EntryInstances is the number of entry instances of the whole deployment.
	EntryInstances int `ini:"entry_instances" validate:"min=1"`
	// DomainDelay is the one-way delay between failure domains.
	DomainDelay time.Duration `ini:"domain_delay"`
	// ClientDelay is the one-way delay between clients and entry instances.
	ClientDelay time.Duration `ini:"client_delay"`
}

// Workers are like instances that serve as endpoints.
type Workers struct {
	// Count is the number of workers of the whole deployment.
	Count int `ini:"count" validate:"min=1"`
	// PerRack is the number of workers in a rack.
	PerRack int `ini:"per_rack" validate:"min=1"`
	// Cores is the number of cores of a worker.
	Cores int64 `ini:"cores" validate:"min=1"`
	// MemoryGB is the memory of a worker in gigabytes.
	MemoryGB int64 `ini:"memory_gb" validate:"min=1"`
	// Accelerators is the number of accelerators of a worker.
	Accelerators int64 `ini:"accelerators" validate:"min=0"`
	// Slots is the number of task slots of a worker.
	Slots int64 `ini:"slots" validate:"min=1"`
	// Connections is the number of connections of a worker.
	Connections int64 `ini:"connections" validate:"min=1"`
}

// Class is a class of work with its target.
type Class struct {
	// Name names the class.
	Name string `ini:"*"`
	// MaxWait is the longest time from acceptance to start.
	MaxWait time.Duration `ini:"max_wait" validate:"min=1ms"`
	// Window is the time from acceptance within which the answer is due.
	Window time.Duration `ini:"window" validate:"min=1ms"`
	// Shortage is the treatment when capacity is short.
	Shortage string `ini:"shortage" validate:"oneof=wait throttle checkpoint rerun refuse"`
	// Repeatable says that a task may run again after a failure.
	Repeatable bool `ini:"repeatable"`
	// Open says that the class takes work without a key.
	Open bool `ini:"open"`
}

// Team is a client account.
type Team struct {
	// Name names the team.
	Name string `ini:"*"`
	// Share is the team's part of the fleet when it is full, in thousandths.
	Share int64 `ini:"share" validate:"min=1,max=1000"`
	// LimitPercent is the most the team may have running, in percent of the
	// fleet.
	LimitPercent int64 `ini:"limit_percent" validate:"min=1,max=100"`
}

// Load reads and checks the description in the file.
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

// Config returns the first configuration of the deployment, with the keys.
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
