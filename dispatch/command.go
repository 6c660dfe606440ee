// Package dispatch carries the orders of the cell's holder to endpoints: from the
// holder's own instance or, where there are many endpoints, through other
// instances, which take orders and hand back outcomes in batches by net/rpc.
package dispatch

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/fleet"
)

const (
	// OrderTimeout bounds a start or a stop; endpoints answer within some
	// milliseconds.
	OrderTimeout = 400 * time.Millisecond
	// ListTimeout is allowed for a listing beyond its wait.
	ListTimeout = 600 * time.Millisecond
)

// Command is one call of an endpoint; one of its orders is set.
type Command struct {
	// ID numbers the commands of one epoch.
	ID    uint64
	Start *fleet.Start
	Stop  *fleet.Stop
	Renew *fleet.Renewal
}

// Timeout returns how long the call may take.
func (e Command) Timeout() time.Duration {
	if e.Renew != nil {
		return e.Renew.Wait + ListTimeout
	}
	return OrderTimeout
}

// Target returns the endpoint that is called.
func (e Command) Target() fleet.Target {
	switch {
	case e.Start != nil:
		return e.Start.Target
	case e.Stop != nil:
		return e.Stop.Target
	default:
		return e.Renew.Target
	}
}

// Code says how a command ended; it stands for an error of package fleet.
type Code uint8

// The codes.
const (
	// Answered means that the endpoint has carried the order out.
	Answered Code = iota
	// Fenced, Refused, Ticket, NoRoom and OtherEndpoint stand for the errors of
	// these names.
	Fenced
	Refused
	Ticket
	NoRoom
	OtherEndpoint
	// NoAnswer means that nobody knows whether the order took effect.
	NoAnswer
)

// fleetErrors are the errors by code.
var fleetErrors = map[Code]error{
	Fenced:        fleet.ErrFenced,
	Refused:       fleet.ErrRefused,
	Ticket:        fleet.ErrTicket,
	NoRoom:        fleet.ErrNoRoom,
	OtherEndpoint: fleet.ErrOtherEndpoint,
	NoAnswer:      fleet.ErrNoAnswer,
}

// Outcome is what came of a command.
type Outcome struct {
	ID   uint64
	Code Code
	// Reason is the error's text.
	Reason string
	// Listing is the answer to a renewal.
	Listing fleet.Listing
}

// outcomeOf returns the outcome of the command that ended with err.
func outcomeOf(id uint64, listing fleet.Listing, err error) Outcome {
	if err == nil {
		return Outcome{ID: id, Listing: listing}
	}
	for code, known := range fleetErrors {
		if eris.Is(err, known) {
			return Outcome{ID: id, Code: code, Reason: err.Error()}
		}
	}
	return Outcome{ID: id, Code: NoAnswer, Reason: err.Error()}
}

// Err returns the error that the outcome stands for.
func (o Outcome) Err() error {
	known := fleetErrors[o.Code]
	if known == nil {
		return nil
	}
	return eris.Wrap(known, o.Reason)
}
