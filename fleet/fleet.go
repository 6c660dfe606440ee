// Package fleet defines the endpoints of the fleet, their runs and the commands that
// start, stop and renew them. It is independent of the transport; an adapter
// implements Commander.
package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// Endpoint is an endpoint as its registry entry describes it.
type Endpoint struct {
	ID model.EndpointID
	// Service is the pool that it belongs to.
	Service catalog.ServiceName
	// Address is the host and port of its interface.
	Address string
	// Domain is its failure domain.
	Domain model.DomainName
	Rack   model.RackName
	// Labels are all its labels, including the one of its rack.
	Labels []string
	// Capacity is the total size of the tasks that it can run at once.
	Capacity model.Resources
	// Leaving is set when it drains and will exit. Remaining is the least time
	// until then.
	Leaving   bool
	Remaining time.Duration
	// Born is its start time in Unix milliseconds. It increases with each restart.
	Born int64
}

// HasLabel reports whether the endpoint has the label.
func (e *Endpoint) HasLabel(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Target is the endpoint that a command is sent to.
type Target struct {
	// ID is the expected endpoint: another one at the address refuses the command.
	ID model.EndpointID
	// Address is the host and port.
	Address string
	// Born is the start time of the incarnation that the command is meant for: another one
	// does not get it. 0 means any incarnation.
	Born int64
}

// EndpointTime is a time on an endpoint's own monotonic clock, in milliseconds.
type EndpointTime int64

// Start is the command that starts a run. It is not retried.
type Start struct {
	Target
	Run jobs.RunID
	// Spec is the job's specification.
	Spec string
	// Saved is the checkpoint to continue from; empty for none.
	Saved string
	// Ticket is the advice service's permission for the run; empty where none is
	// required.
	Ticket string
	// Until is the earliest end of the lease, which covers all runs on the
	// endpoint. A start that arrives later has no effect.
	Until EndpointTime
	// Epoch is the fencing token.
	Epoch uint64
}

// Stop is the command that ends a run. Once it is confirmed, the run can't start any
// more.
type Stop struct {
	Target
	Run   jobs.RunID
	Epoch uint64
}

// Renewal is the command that extends the lease of all runs on an endpoint and lists
// the runs that are running and those that have ended.
type Renewal struct {
	Target
	// Until is the new end of the lease; 0 leaves the lease unchanged.
	Until EndpointTime
	// Forget is the number of the last end that the holder has recorded. The
	// endpoint discards ends up to it.
	Forget int64
	// Wait is how long the endpoint may delay the response until a run ends.
	Wait  time.Duration
	Epoch uint64
}

// RunStatus is the status of a run that an endpoint is running.
type RunStatus struct {
	Run jobs.RunID
	// Saved is its last checkpoint.
	Saved string
	// Percent is its progress; 100 for a lasting task that is working.
	Percent float64
	// Load is the tail latency of a serving task in milliseconds, and the CPU use
	// of any other task in thousandths of a core.
	Load float64
}

// Outcome is how a run ended.
type Outcome string

const (
	// Succeeded means that the task is done.
	Succeeded Outcome = "succeeded"
	// RunFailed means that it failed because of the task or the endpoint.
	RunFailed Outcome = "failed"
	// Stopped means that a Stop command ended it.
	Stopped Outcome = "stopped"
	// Lapsed means that the endpoint's lease expired.
	Lapsed Outcome = "lapsed"
	// Broken means that another member of its gang ended.
	Broken Outcome = "broken"
	// EndUnknown means that the endpoint listed the end in a way that can't be read.
	EndUnknown Outcome = "unknown"
	// Abandoned means that the other members of its gang did not start in time.
	Abandoned Outcome = "abandoned"
)

// End is a run that has ended on an endpoint.
type End struct {
	// Number counts the endpoint's ends since its start, from 1.
	Number  int64
	Run     jobs.RunID
	Outcome Outcome
	// Saved is its last checkpoint.
	Saved string
}

// Listing is an endpoint's response to a Renewal.
type Listing struct {
	// Clock is the endpoint's own time.
	Clock EndpointTime
	// Born is the endpoint's start time in Unix milliseconds.
	Born int64
	// Running has the runs in progress, Ended those that have ended and are not
	// discarded yet.
	Running []RunStatus
	Ended   []End
	// More is set when there are further ends, which are listed once these have
	// been discarded, and when a row names no run that can be read: a run that is
	// not listed may exist.
	More bool
	// Unreadable is the number of rows that could not be read completely, Problem the
	// reason for the first of them.
	Unreadable int
	Problem    string
}

// Errors of commands.
var (
	// ErrFenced means that the endpoint follows a holder with a later epoch.
	ErrFenced = eris.New("endpoint follows a later epoch")
	// ErrRefused means that the command has not taken effect and never will.
	ErrRefused = eris.New("endpoint refused the order")
	// ErrTicket means that a start was refused because its ticket is not valid.
	ErrTicket = eris.New("endpoint refused the ticket")
	// ErrNoCapacity means that a start was refused because the endpoint has not enough
	// free capacity.
	ErrNoCapacity = eris.New("endpoint has no room")
	// ErrOtherEndpoint means that another endpoint responded at the address.
	ErrOtherEndpoint = eris.New("another endpoint answers at the address")
	// ErrNoResponse means that it is unknown whether the command has taken effect or
	// will take effect.
	ErrNoResponse = eris.New("no answer from the endpoint")
)

// Commander sends commands to endpoints. It does not retry. It delivers a command for one
// incarnation of an endpoint to no other one.
type Commander interface {
	Start(ctx context.Context, command Start) error
	Stop(ctx context.Context, command Stop) error
	Renew(ctx context.Context, renewal Renewal) (Listing, error)
}
