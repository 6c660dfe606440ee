package model

import "time"

// ConfigVersion counts the accepted changes of the configuration.
type ConfigVersion uint64

// Treatment is what happens to work of a class when capacity is short.
type Treatment string

// The treatments, from the mildest to the hardest.
const (
	// Wait lets queued work wait inside its window.
	Wait Treatment = "wait"
	// Throttle slows running work down.
	Throttle Treatment = "throttle"
	// Checkpoint stops running work at a checkpoint and resumes it later.
	Checkpoint Treatment = "checkpoint"
	// Rerun stops running work and runs it again from its start.
	Rerun Treatment = "rerun"
	// Refuse refuses new work early.
	Refuse Treatment = "refuse"
)

// Class is a class of work with its target.
type Class struct {
	// Name names the class.
	Name ClassName `json:"name"`
	// MaxWait is the longest time from acceptance to start.
	MaxWait time.Duration `json:"max_wait_ns"`
	// Window is the time from acceptance within which the answer is due.
	Window time.Duration `json:"window_ns"`
	// Shortage is the treatment when capacity is short.
	Shortage Treatment `json:"shortage"`
	// Repeatable says that a task may run again after a failure.
	Repeatable bool `json:"repeatable"`
	// Open says that the class takes work without a key, for team OpenTeam.
	Open bool `json:"open,omitempty"`
}

// OpenTeam is the team that keyless work of open classes is accounted to.
const OpenTeam TeamName = "open"

// Team is a team with its share and its limit.
type Team struct {
	// Name names the team.
	Name TeamName `json:"name"`
	// Share is the part of the fleet, in thousandths, that the team is
	// entitled to when the cell is full.
	Share int64 `json:"share"`
	// Limit is the most the team may have running across the fleet.
	Limit Resources `json:"limit"`
}

// Role is what a key allows.
type Role string

// The roles of keys.
const (
	// Submitter may submit, read and cancel work of the key's team.
	Submitter Role = "submitter"
	// Operator may also change the configuration.
	Operator Role = "operator"
	// Auditor may read the configuration and the status.
	Auditor Role = "auditor"
)

// Key is a granted key. Only its hash is kept.
type Key struct {
	// ID names the key in lists and logs.
	ID string `json:"id"`
	// Team is the team the key belongs to; empty for operators and auditors.
	Team TeamName `json:"team,omitempty"`
	// Role is what the key allows.
	Role Role `json:"role"`
	// Hash is the SHA-256 of the secret, in hexadecimal.
	Hash string `json:"hash"`
}

// Domain is a failure domain as operators see it.
type Domain struct {
	// Name names the failure domain.
	Name DomainName `json:"name"`
	// Shards is the fixed number of shards of the domain.
	Shards int `json:"shards"`
	// Out says that operators have taken the domain out of service.
	Out bool `json:"out,omitempty"`
	// BackAt is when the domain was last brought back; requests submitted
	// while it was out live elsewhere.
	BackAt time.Time `json:"back_at,omitzero"`
}

// Config is one version of what operators have set. A Config is never changed
// once it is made; a change makes a new one.
type Config struct {
	// Version counts the changes.
	Version ConfigVersion `json:"version"`
	// Classes are the classes of work.
	Classes []Class `json:"classes"`
	// Teams are the teams.
	Teams []Team `json:"teams"`
	// Keys are the keys in force.
	Keys []Key `json:"keys"`
	// Domains are the failure domains.
	Domains []Domain `json:"domains"`
	// EndpointsOut are the endpoints taken out of service.
	EndpointsOut []EndpointID `json:"endpoints_out,omitempty"`
	// RacksOut are the racks taken out of service.
	RacksOut []RackRef `json:"racks_out,omitempty"`
}

// RackRef names a rack of a failure domain.
type RackRef struct {
	// Domain is the rack's failure domain.
	Domain DomainName `json:"domain"`
	// Rack is the rack's name.
	Rack RackName `json:"rack"`
}

// Class returns the class with the given name.
func (c *Config) Class(name ClassName) (Class, bool) {
	for _, class := range c.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// Team returns the team with the given name.
func (c *Config) Team(name TeamName) (Team, bool) {
	for _, team := range c.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Domain returns the failure domain with the given name.
func (c *Config) Domain(name DomainName) (Domain, bool) {
	for _, domain := range c.Domains {
		if domain.Name == name {
			return domain, true
		}
	}
	return Domain{}, false
}
