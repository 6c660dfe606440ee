package model

import "strconv"

// DomainName names a failure domain.
type DomainName string

// TeamName names a team.
type TeamName string

// ClassName names a class of work.
type ClassName string

// EndpointID names an endpoint; it is unique in the fleet.
type EndpointID string

// InstanceID names one run of one process: a restart gets a new one.
type InstanceID string

// RackName names a rack; it is unique in its failure domain.
type RackName string

// IdempotencyKey is the caller's name for a request. Two requests of a team
// with the same key are the same request.
type IdempotencyKey string

// RequestID names an accepted request. See NewRequestID for its shape.
type RequestID string

// Epoch counts the holders of a shard. It rises with each take-over and is the
// fencing token of every command to an endpoint.
type Epoch uint64

// ShardID names a shard: a failure domain and a number within it.
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

// TaskID names a task of a request.
type TaskID struct {
	// Request is the request that the task belongs to.
	Request RequestID
	// Index is the task's place in the request's answer, from 0.
	Index int
}

// String returns the request and the index, joined by a dot.
func (t TaskID) String() string {
	return string(t.Request) + "." + strconv.Itoa(t.Index)
}

// AttemptID names one try to run a task.
type AttemptID struct {
	// Task is the task that is tried.
	Task TaskID
	// Number counts the tries from 1.
	Number int
}

// String returns the task and the number, joined by a dash.
func (a AttemptID) String() string {
	return a.Task.String() + "-" + strconv.Itoa(a.Number)
}
