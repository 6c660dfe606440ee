// Package membership maintains each process's list of the other processes of
// the system, the shards that they hold and the version of the configuration
// that they act by.
//
// It is a gossip protocol in the manner of SWIM. In each period a process sends
// a heartbeat to a fixed number of other members, in turn. A heartbeat and its
// reply carry a bounded number of recently changed records, so that the messages
// of one process do not grow with the fleet. A member that does not respond is
// probed through other members, then suspected, then declared dead. A member
// that learns that it is suspected refutes the suspicion with a higher
// incarnation.
package membership

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// Role is the function of a process in the system.
type Role string

// The roles of processes.
const (
	// Gate is an entry process for callers and operators.
	Gate Role = "gate"
	// Scheduler is a process that may hold shards.
	Scheduler Role = "sched"
)

// State is the state of a member as one process has it recorded: the name of a
// state of the chart member.
type State string

// The states that are sent between processes.
const (
	// Alive means that the member responds.
	Alive State = "alive"
	// Suspect means that the member did not respond and may be dead.
	Suspect State = "suspect"
	// Dead means that the suspicion was not refuted within its timeout.
	Dead State = "dead"
	// Left means that the member announced that it leaves, or that another
	// process responds at its address.
	Left State = "left"
)

// Held is a shard that a member holds.
type Held struct {
	Shard model.ShardID
	// Epoch is the epoch under which it is held.
	Epoch model.Epoch
}

// Member is the description that a process sends of itself.
type Member struct {
	// Instance identifies one run of the process; a restarted process has another.
	Instance model.InstanceID
	Role     Role
	// Domain is the process's failure domain.
	Domain model.DomainName
	// Address is the host:port of its RPC services for peers.
	Address string
	// Shards are the shards that the process holds.
	Shards []Held
	// Config is the version of the configuration that the process acts by.
	Config model.ConfigVersion
	// Fresh is set while the view of the configuration is confirmed as up to date.
	Fresh bool
	// Revision increases with each change of the fields above.
	Revision uint64
}

// equalMutable reports whether the fields that change while a process runs are
// equal.
func (m Member) equalMutable(other Member) bool {
	return m.Config == other.Config && m.Fresh == other.Fresh && slices.Equal(m.Shards, other.Shards)
}

// Record is a member and its recorded state.
type Record struct {
	// Member is the latest description that the process sent of itself.
	Member Member
	// Incarnation counts the suspicions that the member has refuted.
	Incarnation uint64
	State       State
}

// Heartbeat is the message that a process sends to the other members in turn.
type Heartbeat struct {
	// From is the sender's record of itself.
	From Record
	// News are recently changed records, at most updatesPerMessage.
	News []Record
}

// HeartbeatReply is the reply to a heartbeat.
type HeartbeatReply struct {
	// From is the responding process's record of itself.
	From Record
	// News are recently changed records, at most updatesPerMessage. A sender
	// that the process has no record of gets up to joinReplyRecords.
	News []Record
	// Config is the newest version of the configuration that the process has.
	Config model.ConfigVersion
	// ConfigAge is the time since Config was confirmed as the newest version;
	// negative when it never was.
	ConfigAge time.Duration
}

// ProbeRequest requests that the receiver send a heartbeat to a third process.
type ProbeRequest struct {
	// Address is the address of the process to probe.
	Address string
}

// ProbeReply is the reply to a probe. When the probed process did not respond,
// the call returns an error instead.
type ProbeReply struct {
	// From is the record of itself that the probed process returned.
	From Record
}

// ConfigRequest requests the configuration that the process has.
type ConfigRequest struct{}

// ConfigReply carries a configuration.
type ConfigReply struct {
	// Raw is the configuration as encoded by config.Encode; empty when the
	// process has none.
	Raw []byte
}
