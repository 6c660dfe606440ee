package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/hornbeamworks/hornbeam/endpoint"
	"github.com/hornbeamworks/hornbeam/model"
)

// The users' stated target.
const (
	targetWorkers  = 1600
	targetRunning  = 17000
	targetTeams    = 71
	targetDomains  = 6
	targetStarts   = 750
	targetInstance = 40
)

// runningPerEndpoint is the mean number of running tasks per endpoint at the target.
const runningPerEndpoint = float64(targetRunning) / targetWorkers

// exampleRequest returns a request of typical size; i makes it unique.
func exampleRequest(i int) model.Request {
	id := model.NewRequestID(model.ShardID{Domain: "fd1"}, uint64(i)*0x9E3779B97F4A7C15)
	return model.Request{
		ID:       id,
		Team:     "packer_a",
		Key:      model.IdempotencyKey(fmt.Sprintf("batch-%08d", i)),
		Spec:     model.Spec{Class: "formulation_batch", Kind: model.Batch, Tasks: 1, Size: model.Resources{1000, 2048, 0, 1, 4}, Estimate: time.Second},
		Accepted: time.Unix(int64(i), 0),
		Deadline: time.Unix(int64(i)+60, 0),
	}
}

// syncReply returns the typical reply of an endpoint that runs n tasks.
func syncReply(n int) endpoint.SyncReply {
	var reply endpoint.SyncReply
	for i := range n {
		request := exampleRequest(i)
		reply.Running = append(reply.Running, model.Running{
			Attempt: model.AttemptID{Task: model.TaskID{Request: request.ID}, Number: 1},
			Size:    request.Spec.Size,
			Usage:   request.Spec.Size,
			Elapsed: time.Second,
		})
	}
	return reply
}

// SyncBytes measures the size of an endpoint's Sync reply that lists all running
// tasks.
func SyncBytes() Slope {
	s := Slope{
		Name: "Sync reply", SizeUnit: "running tasks", Unit: "bytes",
		Target: runningPerEndpoint, Mechanism: "one Sync for all tasks of an endpoint",
	}
	for _, n := range []int{4, 8, 16, 32, 64} {
		s.Samples = append(s.Samples, Sample{Size: float64(n), Value: encodedBytes(syncReply(n))})
	}
	return s
}

// ConfigBytes measures the encoded size of the configuration.
func ConfigBytes() Slope {
	s := Slope{
		Name: "configuration", SizeUnit: "teams", Unit: "bytes",
		Target: targetTeams, Mechanism: "one row, sent in full on a change; a poll reads the version",
	}
	for _, n := range []int{6, 12, 24, 48, 96} {
		s.Samples = append(s.Samples, Sample{Size: float64(n), Value: encodedBytes(exampleConfig(n))})
	}
	return s
}

// exampleConfig returns a configuration of n teams with four keys each, eight
// classes and the target number of failure domains.
func exampleConfig(n int) model.Config {
	const keysPerTeam, classes = 4, 8
	var config model.Config
	for i := range classes {
		config.Classes = append(config.Classes, model.Class{Name: model.ClassName(fmt.Sprintf("class-%02d", i)), MaxWait: time.Second, Window: time.Minute, Shortage: model.Wait})
	}
	for i := range targetDomains {
		config.Domains = append(config.Domains, model.Domain{Name: model.DomainName(fmt.Sprintf("fd%d", i)), Shards: 1})
	}
	for i := range n {
		team := model.TeamName(fmt.Sprintf("team-%04d", i))
		config.Teams = append(config.Teams, model.Team{Name: team, Share: 10, Limit: model.Resources{1000, 2048, 0, 1, 4}})
		for k := range keysPerTeam {
			config.Keys = append(config.Keys, model.Key{ID: fmt.Sprintf("%s-%d", team, k), Team: team, Role: model.Submitter, Hash: fmt.Sprintf("%064d", k)})
		}
	}
	return config
}

// encodedBytes returns the size of the value's JSON encoding.
func encodedBytes(value any) float64 {
	raw, err := json.Marshal(value)
	if err != nil {
		return 0
	}
	return float64(len(raw))
}
