package model

import "strconv"

// DomainName is the name of a failure domain. It may contain dashes.
type DomainName string

// TeamName is the name of a team.
type TeamName string

// ClassName is the name of a class of work.
type ClassName string

// EndpointID identifies an endpoint. It is unique in the fleet.
type EndpointID string

// InstanceID identifies one run of a process; a restarted process has a new one.
type InstanceID string

// RackName is the name of a rack. It is unique in its failure domain.
type RackName string

// IdempotencyKey is a request's key chosen by the caller. Two submissions by a
// team with the same key are the same request.
type IdempotencyKey string

// RequestID identifies a request. NewRequestID describes its format.
type RequestID string

// Epoch is the number of a shard's holder. It increases with each takeover and is
// the fencing token of every command to an endpoint.
type Epoch uint64

// ShardID identifies a shard by its failure domain and its number in it.
type ShardID struct {
	// Domain is the failure domain of the shard's endpoints.
	Domain DomainName
	// Number is the shard's number in the domain, from 0.
	Number int
}

// String returns the domain and the number, joined by a slash.
func (s ShardID) String() string {
	return string(s.Domain) + "/" + strconv.Itoa(s.Number)
}

// TaskID identifies a task of a request.
type TaskID struct {
	Request RequestID
	// Index is the position of the task in the request's answer, from 0.
	Index int
}

// String returns the request and the index, joined by a dot.
func (t TaskID) String() string {
	return string(t.Request) + "." + strconv.Itoa(t.Index)
}

// AttemptID identifies one attempt to run a task.
type AttemptID struct {
	Task TaskID
	// Number is the number of the attempt, from 1.
	Number int
}

// String returns the task and the number, joined by a dash.
func (a AttemptID) String() string {
	return a.Task.String() + "-" + strconv.Itoa(a.Number)
}
