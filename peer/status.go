package peer

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// ExplainRequest asks the holder why a request waits. The reply carries an
// Explanation unless its answer's code says why not.
type ExplainRequest struct {
	// ID is the request's id.
	ID model.RequestID
	// Team is the team of the key; empty for operators, who see every team's.
	Team model.TeamName
	// Hops counts the processes that have passed the request on.
	Hops int
}

// Explanation says where a request stands.
type Explanation struct {
	// State is the state of the request in its chart.
	State string `json:"state"`
	// Position is the number of requests that stand before it, from 0.
	Position int `json:"position"`
	// Reason is one sentence.
	Reason string `json:"reason"`
	// Start is the estimated start; zero when there is no estimate.
	Start time.Time `json:"start,omitzero"`
}

// StatusRequest asks the holder of the shard how it stands. The reply's answer
// has the code OK and the reply carries a ShardStatus.
type StatusRequest struct {
	// Shard is the shard.
	Shard model.ShardID
	// Hops counts the processes that have passed the request on.
	Hops int
}

// ShardStatus is what operators see of one shard.
type ShardStatus struct {
	// Shard is the shard.
	Shard model.ShardID `json:"shard"`
	// Holder is the process that holds it.
	Holder model.InstanceID `json:"holder"`
	// Epoch is the holder's epoch.
	Epoch model.Epoch `json:"epoch"`
	// ConfigVersion is the version in force at the holder.
	ConfigVersion model.ConfigVersion `json:"config_version"`
	// Endpoints is the number of the shard's endpoints, Reachable the number
	// of those that answer.
	Endpoints int `json:"endpoints"`
	Reachable int `json:"reachable"`
	// Capacity is what the endpoints that answer can run, Committed what is
	// committed of it.
	Capacity  model.Resources `json:"capacity"`
	Committed model.Resources `json:"committed"`
	// Teams is the standing of each team.
	Teams []TeamStatus `json:"teams"`
}

// TeamStatus is one team's standing at one shard.
type TeamStatus struct {
	// Team is the team.
	Team model.TeamName `json:"team"`
	// Running is what is committed for the team, Queued what its waiting tasks
	// ask for, Part the part of its limit that the shard holds.
	Running model.Resources `json:"running"`
	Queued  model.Resources `json:"queued"`
	Part    model.Resources `json:"part"`
}
