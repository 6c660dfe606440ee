// Package membership tells each process of the system which others there are,
// what they hold and which version of the configuration they act by.
//
// Each period a process sends a heartbeat to a fixed number of others, in turn.
// A heartbeat and its reply carry a bounded number of records that changed
// lately, so that the messages of a node do not grow with the fleet. A member
// that does not answer is asked for through others, then suspected, then dead.
// A member that hears that it is suspected refutes it with a higher
// incarnation.
package membership

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Role is what a process does.
type Role string

// The roles of processes.
const (
	// Gate is an entry process for callers and operators.
	Gate Role = "gate"
	// Scheduler is a process that may hold shards.
	Scheduler Role = "sched"
)

// State is what a process holds of a member: the name of a state of the chart
// member.
type State string

// The states that travel between processes.
const (
	// Alive means that the member answers.
	Alive State = "alive"
	// Suspect means that the member did not answer and may be dead.
	Suspect State = "suspect"
	// Dead means that a suspicion was not refuted in time.
	Dead State = "dead"
	// Left means that the member said that it leaves, or that another process
	// answers at its address.
	Left State = "left"
)

// Held is a shard that a member holds.
type Held struct {
	// Shard is the shard.
	Shard model.ShardID
	// Epoch is the epoch under which it is held.
	Epoch model.Epoch
}

// Member is what a process says about itself.
type Member struct {
	// Instance names this run of the process.
	Instance model.InstanceID
	// Role is what the process does.
	Role Role
	// Domain is the process's failure domain.
	Domain model.DomainName
	// Address is the host and port of its services for peers.
	Address string
	// Shards are the shards that it holds.
	Shards []Held
	// Config is the version of the configuration that it acts by.
	Config model.ConfigVersion
	// Fresh says that its view of the configuration is confirmed.
	Fresh bool
	// Revision rises with each change of the fields above.
	Revision uint64
}

// same reports whether other says the same about the process.
func (m Member) same(other Member) bool {
	return m.Config == other.Config && m.Fresh == other.Fresh && slices.Equal(m.Shards, other.Shards)
}

// Record is a member with what is held of it.
type Record struct {
	// Member is what the process last said about itself.
	Member Member
	// Incarnation counts the suspicions that the member has refuted.
	Incarnation uint64
	// State is what is held of it.
	State State
}

// Heartbeat is what a process sends to others in turn.
type Heartbeat struct {
	// From is the sender's record of itself.
	From Record
	// News are records that changed lately.
	News []Record
}

// HeartbeatReply is the answer to a heartbeat.
type HeartbeatReply struct {
	// From is the answering process's record of itself.
	From Record
	// News are records that changed lately.
	News []Record
	// Config is the newest version of the configuration that it has.
	Config model.ConfigVersion
	// ConfigAge is how long ago Config was confirmed as the newest; it is
	// negative when it never was.
	ConfigAge time.Duration
}

// ProbeRequest asks a process to send a heartbeat to another one.
type ProbeRequest struct {
	// Address is the address of the other process.
	Address string
}

// ProbeReply is the answer to a probe. An error stands for no answer.
type ProbeReply struct {
	// From is the record that the other process gave of itself.
	From Record
}

// ConfigRequest asks for the configuration that the process has.
type ConfigRequest struct{}

// ConfigReply carries a configuration.
type ConfigReply struct {
	// Raw is the configuration as config.Encode writes it; empty for none.
	Raw []byte
}
