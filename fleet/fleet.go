// Package fleet holds what is known of the endpoints and the calls that command
// them. It knows no transport; an adapter implements Commander.
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
	// ID names the endpoint.
	ID model.EndpointID
	// Service is the pool that it serves.
	Service catalog.ServiceName
	// Address is the host and port of its interface.
	Address string
	// Domain is its failure domain.
	Domain model.DomainName
	// Rack is its rack, and Labels are all its labels, the rack's included.
	Rack   model.RackName
	Labels []string
	// Capacity is what it can run at once.
	Capacity model.Resources
	// Leaving says that it drains and will exit; Remaining is the least time
	// that is left then.
	Leaving   bool
	Remaining time.Duration
	// Born is its start in Unix milliseconds. A restart has a later one.
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

// Target says where an order goes.
type Target struct {
	// ID is the endpoint meant: another one at the address refuses.
	ID model.EndpointID
	// Address is the host and port.
	Address string
}

// EndpointTime is a time on an endpoint's own steady clock, in milliseconds.
type EndpointTime int64

// Start orders a run. It is sent once.
type Start struct {
	Target
	// Run is the run to start.
	Run jobs.RunID
	// Spec is the job's specification.
	Spec string
	// Saved is the checkpoint to go on from; empty for none.
	Saved string
	// Ticket is the advice service's permission; empty where none is needed.
	Ticket string
	// Until is when the lease of everything on the endpoint ends at the least;
	// a start that arrives later has no effect.
	Until EndpointTime
	// Epoch is the fencing token.
	Epoch uint64
}

// Stop orders the end of a run. Once it is confirmed the run can never start.
type Stop struct {
	Target
	Run   jobs.RunID
	Epoch uint64
}

// Renewal extends the lease of everything on an endpoint and asks what runs
// and what has ended.
type Renewal struct {
	Target
	// Until is when the lease ends; 0 leaves it as it is.
	Until EndpointTime
	// Forget is the number of the last end that has been recorded: the
	// endpoint forgets ends up to it.
	Forget int64
	// Wait is how long the answer may wait for a new end.
	Wait  time.Duration
	Epoch uint64
}

// Sighting is a run that an endpoint is running.
type Sighting struct {
	Run jobs.RunID
	// Saved is its last checkpoint.
	Saved string
	// Percent is its progress; 100 for a lasting task at work.
	Percent float64
	// Load is the tail latency of a serving task in milliseconds, and the
	// processor use of any other in thousandths of a core.
	Load float64
}

// Outcome is how a run ended.
type Outcome string

// The outcomes of a run.
const (
	// Succeeded means that the task is done.
	Succeeded Outcome = "succeeded"
	// RunFailed means that it failed, by its own or the endpoint's fault.
	RunFailed Outcome = "failed"
	// Stopped means that it was stopped by an order.
	Stopped Outcome = "stopped"
	// Lapsed means that the lease ended.
	Lapsed Outcome = "lapsed"
	// Broken means that another member of its gang ended.
	Broken Outcome = "broken"
	// Abandoned means that the other members of its gang did not come in time.
	Abandoned Outcome = "abandoned"
)

// End is a run that has ended on an endpoint.
type End struct {
	// Number counts the endpoint's ends since its start, from 1.
	Number int64
	Run    jobs.RunID
	// Outcome is how it ended.
	Outcome Outcome
	// Saved is its last checkpoint.
	Saved string
}

// Listing is an endpoint's answer to a Renewal.
type Listing struct {
	// Clock is the endpoint's time.
	Clock EndpointTime
	// Born is the endpoint's start in Unix milliseconds.
	Born int64
	// Running and Ended are its runs.
	Running []Sighting
	Ended   []End
	// More says that there are further ends, which come once these have been
	// forgotten.
	More bool
}

// Errors of orders.
var (
	// ErrFenced means that the endpoint follows a holder with a later epoch.
	ErrFenced = eris.New("endpoint follows a later epoch")
	// ErrRefused means that the order had no effect and never will.
	ErrRefused = eris.New("endpoint refused the order")
	// ErrTicket means that a start was refused for its ticket.
	ErrTicket = eris.New("endpoint refused the ticket")
	// ErrNoRoom means that a start was refused for want of capacity.
	ErrNoRoom = eris.New("endpoint has no room")
	// ErrOtherEndpoint means that another endpoint answered at the address.
	ErrOtherEndpoint = eris.New("another endpoint answers at the address")
	// ErrNoAnswer means that nobody knows whether the order took effect or
	// will take effect.
	ErrNoAnswer = eris.New("no answer from the endpoint")
)

// Commander sends orders to endpoints. Each call takes place once.
type Commander interface {
	Start(ctx context.Context, order Start) error
	Stop(ctx context.Context, order Stop) error
	Renew(ctx context.Context, order Renewal) (Listing, error)
}
