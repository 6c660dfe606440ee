// Package dispatch sends the commands of the cell's holder to endpoints: from the
// holder's own instance or, where there are many endpoints, through agents on other
// instances, which receive commands and return outcomes in batches over net/rpc.
// It does not decide which commands to send.
package dispatch

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/fleet"
)

const (
	// SendWindow bounds the time from the decision to the call of the endpoint. The holder
	// gives up a command without an outcome later than that, so that a command that it
	// has given up is not sent.
	SendWindow = 500 * time.Millisecond
	// StartStopTimeout bounds a start or a stop. Endpoints respond within a few
	// milliseconds.
	StartStopTimeout = 400 * time.Millisecond
	// ListTimeout is the time allowed for a renewal in addition to its Wait.
	ListTimeout = 600 * time.Millisecond
)

// Command is one call to an endpoint. Exactly one of Start, Stop and Renew is set.
type Command struct {
	// ID is unique within an epoch.
	ID    uint64
	Start *fleet.Start
	Stop  *fleet.Stop
	Renew *fleet.Renewal
	// SendBy is the time of the receiving agent's clock until which it may send the command
	// to the endpoint, in nanoseconds. It is 0 if the holder is of an older build: the
	// agent then applies SendWindow from the command's arrival.
	SendBy int64
	// validUntil is the time until which it may be sent, on this instance's clock; zero
	// means without limit.
	validUntil time.Time
}

// Until returns the command with the end of the permission to send it: a process may be
// suspended at any point between the decision and the call.
func (c Command) Until(t time.Time) Command {
	c.validUntil = t
	return c
}

func (c Command) expired(now time.Time) bool {
	return !c.validUntil.IsZero() && !now.Before(c.validUntil)
}

// expiredOutcome is the outcome of a command that was not sent, since it had expired.
func (c Command) expiredOutcome() Outcome {
	return Outcome{ID: c.ID, Code: Refused, Reason: "the permission to send it had ended"}
}

// Timeout returns how long the call may take.
func (c Command) Timeout() time.Duration {
	if c.Renew != nil {
		return c.Renew.Wait + ListTimeout
	}
	return StartStopTimeout
}

// Target returns the endpoint to call.
func (c Command) Target() fleet.Target {
	switch {
	case c.Start != nil:
		return c.Start.Target
	case c.Stop != nil:
		return c.Stop.Target
	default:
		return c.Renew.Target
	}
}

// Code is the result of a command. It identifies an error of package fleet between
// instances.
type Code uint8

const (
	// Executed means that the endpoint has executed the command.
	Executed Code = iota
	// Fenced, Refused, Ticket, NoCapacity and OtherEndpoint correspond to the
	// errors in fleetErrors.
	Fenced
	Refused
	Ticket
	NoCapacity
	OtherEndpoint
	// NoResponse means that it is unknown whether the command took effect.
	NoResponse
)

// codeNames are the names of the codes in logs and metrics.
var codeNames = [...]string{
	Executed: "executed", Fenced: "fenced", Refused: "refused", Ticket: "ticket",
	NoCapacity: "no_capacity", OtherEndpoint: "other_endpoint", NoResponse: "no_response",
}

// String returns the code's name.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unknown"
}

// fleetErrors maps each code except Executed to its error.
var fleetErrors = map[Code]error{
	Fenced:        fleet.ErrFenced,
	Refused:       fleet.ErrRefused,
	Ticket:        fleet.ErrTicket,
	NoCapacity:    fleet.ErrNoCapacity,
	OtherEndpoint: fleet.ErrOtherEndpoint,
	NoResponse:    fleet.ErrNoResponse,
}

// Outcome is the result of a command.
type Outcome struct {
	ID   uint64
	Code Code
	// Reason is the error's text.
	Reason string
	// Listing is the endpoint's response to a renewal.
	Listing fleet.Listing
}

// outcomeOf returns the outcome of a command that ended with err. An error that is
// not in fleetErrors counts as NoResponse.
func outcomeOf(id uint64, listing fleet.Listing, err error) Outcome {
	if err == nil {
		return Outcome{ID: id, Listing: listing}
	}
	for code, fleetErr := range fleetErrors {
		if eris.Is(err, fleetErr) {
			return Outcome{ID: id, Code: code, Reason: err.Error()}
		}
	}
	return Outcome{ID: id, Code: NoResponse, Reason: err.Error()}
}

// Err returns the error of the outcome's code, wrapped with Reason; nil for
// Executed.
func (o Outcome) Err() error {
	fleetErr := fleetErrors[o.Code]
	if fleetErr == nil {
		return nil
	}
	return eris.Wrap(fleetErr, o.Reason)
}
