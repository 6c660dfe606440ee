package model

import "time"

// EndpointInfo is the registered description of an endpoint.
type EndpointInfo struct {
	ID     EndpointID `json:"id"`
	Domain DomainName `json:"domain"`
	Rack   RackName   `json:"rack"`
	// Address is the host and port of the endpoint's interface.
	Address string `json:"address"`
	// Capacity is the amount of each resource that its tasks can use at once.
	Capacity Resources `json:"capacity"`
	// Leaving is set when the platform is about to remove the instance.
	Leaving bool `json:"leaving,omitempty"`
}

// Outcome is the way in which an attempt ended on an endpoint.
type Outcome string

// The outcomes of an attempt.
const (
	// Succeeded means that the task completed.
	Succeeded Outcome = "succeeded"
	// Failed means that the task ran and failed.
	Failed Outcome = "failed"
	// Stopped means that the task was stopped by a command.
	Stopped Outcome = "stopped"
	// Checkpointed means that the task was stopped at a checkpoint.
	Checkpointed Outcome = "checkpointed"
	// Lapsed means that the task's lease expired and the endpoint stopped it.
	Lapsed Outcome = "lapsed"
)

// Running is an attempt that an endpoint is running.
type Running struct {
	Attempt AttemptID `json:"attempt"`
	// Size is the amount of resources that the endpoint has committed.
	Size Resources `json:"size"`
	// Usage is the task's resource usage at the last sample; it lags.
	Usage Resources `json:"usage"`
	// Elapsed is the time for which the attempt has been running.
	Elapsed time.Duration `json:"elapsed_ns"`
	// Request is the request from the start command. It is set only in the reply
	// to an adoption, since a holder has the requests that it started itself.
	Request *Request `json:"request,omitempty"`
}

// Finished is an attempt that has ended on an endpoint.
type Finished struct {
	Attempt AttemptID `json:"attempt"`
	Outcome Outcome   `json:"outcome"`
	// Output is the task's result; empty unless it succeeded.
	Output string `json:"output,omitempty"`
	// Elapsed is the run time of the attempt.
	Elapsed time.Duration `json:"elapsed_ns"`
	// Peak is the task's peak usage of each resource.
	Peak Resources `json:"peak"`
	// Request is the request from the start command. It is set only in the reply
	// to an adoption, since a holder has the requests that it started itself.
	Request *Request `json:"request,omitempty"`
}
