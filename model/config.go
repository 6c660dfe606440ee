package model

import "time"

// ConfigVersion counts the accepted changes of the configuration.
type ConfigVersion uint64

// Treatment is the way in which work of a class is handled when capacity is
// short.
type Treatment string

// The treatments, from the least to the most disruptive.
const (
	// Wait lets queued work wait inside its window.
	Wait Treatment = "wait"
	// Throttle slows down running work.
	Throttle Treatment = "throttle"
	// Checkpoint stops running work at a checkpoint and resumes it later.
	Checkpoint Treatment = "checkpoint"
	// Rerun stops running work and later restarts it from the beginning.
	Rerun Treatment = "rerun"
	// Refuse rejects new work on submission when it would wait longer than
	// MaxWait.
	Refuse Treatment = "refuse"
)

// Class is a class of work with its service targets.
type Class struct {
	Name ClassName `json:"name"`
	// MaxWait is the longest time from acceptance to start.
	MaxWait time.Duration `json:"max_wait_ns"`
	// Window is the time from acceptance to the deadline of the answer.
	Window time.Duration `json:"window_ns"`
	// Shortage is the treatment of the class's work when capacity is short.
	Shortage Treatment `json:"shortage"`
	// Repeatable is set when a task may run again after a failure.
	Repeatable bool `json:"repeatable"`
	// Open is set when the class accepts work without a key, on the account of
	// OpenTeam.
	Open bool `json:"open,omitempty"`
}

// OpenTeam is the team to which work without a key is accounted.
const OpenTeam TeamName = "open"

// Team is a team with its share and its limit.
type Team struct {
	Name TeamName `json:"name"`
	// Share is the part of the fleet, in thousandths, that the team is
	// entitled to when the cell is fully used.
	Share int64 `json:"share"`
	// Limit is the maximum that the team may have running in the whole fleet.
	Limit Resources `json:"limit"`
}

// Role is the set of operations that a key allows.
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

// Key is an API key. Only the hash of its secret is stored.
type Key struct {
	// ID identifies the key in lists and logs.
	ID string `json:"id"`
	// Team is the team the key belongs to; empty for operators and auditors.
	Team TeamName `json:"team,omitempty"`
	Role Role     `json:"role"`
	// Hash is the SHA-256 of the secret, in hexadecimal.
	Hash string `json:"hash"`
}

// Domain is a failure domain as configured by operators.
type Domain struct {
	Name DomainName `json:"name"`
	// Shards is the fixed number of shards of the domain.
	Shards int `json:"shards"`
	// Out is set while operators have the domain out of service.
	Out bool `json:"out,omitempty"`
	// BackAt is the time at which the domain was last brought back into service.
	// Requests submitted while it was out have their home in other domains.
	BackAt time.Time `json:"back_at,omitzero"`
}

// Config is one version of the operators' configuration. It is immutable; a
// change creates a new Config.
type Config struct {
	Version ConfigVersion `json:"version"`
	Classes []Class       `json:"classes"`
	Teams   []Team        `json:"teams"`
	// Keys are the keys in force; withdrawn keys are not listed.
	Keys    []Key    `json:"keys"`
	Domains []Domain `json:"domains"`
	// EndpointsOut are the endpoints taken out of service.
	EndpointsOut []EndpointID `json:"endpoints_out,omitempty"`
	// RacksOut are the racks taken out of service.
	RacksOut []RackRef `json:"racks_out,omitempty"`
}

// RackRef identifies a rack, whose name is unique only in its failure domain.
type RackRef struct {
	Domain DomainName `json:"domain"`
	Rack   RackName   `json:"rack"`
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
