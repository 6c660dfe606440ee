package model

import "time"

// EndpointInfo is what is fixed about an endpoint.
type EndpointInfo struct {
	// ID names the endpoint.
	ID EndpointID `json:"id"`
	// Domain is its failure domain.
	Domain DomainName `json:"domain"`
	// Rack is its rack.
	Rack RackName `json:"rack"`
	// Address is the host and port of its interface.
	Address string `json:"address"`
	// Capacity is what it can run at once.
	Capacity Resources `json:"capacity"`
	// Leaving says that the platform is taking the instance away.
	Leaving bool `json:"leaving,omitempty"`
}

// Outcome is how an attempt ended on an endpoint.
type Outcome string

// The outcomes of an attempt.
const (
	// Succeeded means that the task ran to its end.
	Succeeded Outcome = "succeeded"
	// Failed means that the task ran and failed.
	Failed Outcome = "failed"
	// Stopped means that the task was stopped by command.
	Stopped Outcome = "stopped"
	// Checkpointed means that the task was stopped at a checkpoint.
	Checkpointed Outcome = "checkpointed"
	// Lapsed means that the task's lease ran out and the endpoint stopped it.
	Lapsed Outcome = "lapsed"
)

// Running is an attempt that an endpoint is running.
type Running struct {
	// Attempt names the attempt.
	Attempt AttemptID `json:"attempt"`
	// Size is the size that the endpoint has committed.
	Size Resources `json:"size"`
	// Usage is what the task used when it was last sampled; it lags.
	Usage Resources `json:"usage"`
	// Elapsed is how long the attempt has been running.
	Elapsed time.Duration `json:"elapsed_ns"`
	// Request is the request as the start command carried it. Only the reply
	// to an adoption has it; a holder knows the requests that it started.
	Request *Request `json:"request,omitempty"`
}

// Finished is an attempt that has ended on an endpoint.
type Finished struct {
	// Attempt names the attempt.
	Attempt AttemptID `json:"attempt"`
	// Outcome is how it ended.
	Outcome Outcome `json:"outcome"`
	// Output is what the task returned when it succeeded.
	Output string `json:"output,omitempty"`
	// Elapsed is how long the attempt ran.
	Elapsed time.Duration `json:"elapsed_ns"`
	// Peak is the most that the task used.
	Peak Resources `json:"peak"`
	// Request is the request as the start command carried it. Only the reply
	// to an adoption has it; a holder knows the requests that it started.
	Request *Request `json:"request,omitempty"`
}
