package peer

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
)

// ExplainRequest queries the holder why a request waits. The reply carries an
// Explanation, unless the code of its answer gives the reason for its absence.
type ExplainRequest struct {
	// ID is the request's id.
	ID model.RequestID
	// Team is the team of the caller's API key; empty for operators, who may see
	// the requests of all teams.
	Team model.TeamName
	// Hops counts the processes that have forwarded the request.
	Hops int
}

// Explanation describes the current state of a request and why it waits.
type Explanation struct {
	// State is the name of the request's state in its chart.
	State string `json:"state"`
	// Position is the number of requests ahead of it in the queue.
	Position int `json:"position"`
	// Reason is one sentence that explains why the request waits, or its state.
	Reason string `json:"reason"`
	// Start is the estimated start time; zero when there is no estimate.
	Start time.Time `json:"start,omitzero"`
}

// StatusRequest queries the holder of a shard for the shard's status. The
// answer in the reply has the code OK and the reply carries a ShardStatus.
type StatusRequest struct {
	Shard model.ShardID
	// Hops counts the processes that have forwarded the request.
	Hops int
}

// ShardStatus is the status of one shard as shown to operators.
type ShardStatus struct {
	Shard model.ShardID `json:"shard"`
	// Holder is the instance that holds the shard.
	Holder model.InstanceID `json:"holder"`
	// Epoch is the epoch under which the holder acts.
	Epoch model.Epoch `json:"epoch"`
	// ConfigVersion is the version of the configuration in force at the holder.
	ConfigVersion model.ConfigVersion `json:"config_version"`
	// Endpoints is the number of the shard's endpoints, Reachable the number of
	// those that respond.
	Endpoints int `json:"endpoints"`
	Reachable int `json:"reachable"`
	// Capacity is the total capacity of the responding endpoints, Committed the
	// part of it that is committed.
	Capacity  model.Resources `json:"capacity"`
	Committed model.Resources `json:"committed"`
	// Teams is the resource usage of each team.
	Teams []TeamStatus `json:"teams"`
}

// TeamStatus is the resource usage of one team at one shard.
type TeamStatus struct {
	Team model.TeamName `json:"team"`
	// Running is the resources committed for the team, Queued those requested by
	// its waiting tasks, Part the part of the team's limit that the shard holds.
	Running model.Resources `json:"running"`
	Queued  model.Resources `json:"queued"`
	Part    model.Resources `json:"part"`
}
