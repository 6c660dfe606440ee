// Package result defines the numbered result codes of the system. docs/RESULTS.md
// has the same table, and a test checks that both are equal. The package is
// independent of any transport: front ends map a code to their own status.
package result

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/model"
)

// Code is a result code. Codes are never renumbered.
type Code int

// The result codes. 1xx: succeeded or pending; 2xx: the request is invalid; 3xx:
// capacity and policy; 4xx: the system could not serve the request; 5xx: changes
// by operators.
const (
	OK                Code = 100
	Pending           Code = 101
	Malformed         Code = 200
	TooLarge          Code = 201
	UnknownClass      Code = 202
	UnknownTeam       Code = 203
	BadKey            Code = 204
	ImpossibleSize    Code = 205
	UnknownRequest    Code = 206
	KeyReused         Code = 207
	NotAllowed        Code = 208
	QueueFull         Code = 300
	OverLimit         Code = 301
	WindowPassed      Code = 302
	Cancelled         Code = 303
	TaskFailed        Code = 304
	ShortOfCapacity   Code = 305
	HomeUnreachable   Code = 400
	StoreUnavailable  Code = 401
	ConfigStale       Code = 402
	Draining          Code = 403
	OutcomeUnknown    Code = 404
	NotHolder         Code = 405
	NoConfig          Code = 406
	Busy              Code = 407
	CancelledRunning  Code = 408
	HomeNotReached    Code = 409
	ChangeConflict    Code = 500
	ChangeRejected    Code = 501
	ChangeUnconfirmed Code = 502
)

// Entry is one row of the table of result codes.
type Entry struct {
	Code Code
	// Name is the short name, as used in logs and metrics.
	Name string
	// Ran states whether work that ended with this code ran.
	Ran model.Ran
	// Meaning is a one-sentence description for callers.
	Meaning string
}

// Table lists every result code in ascending order.
var Table = []Entry{
	{OK, "ok", model.DidRun, "The work ran and the answer is whole."},
	{Pending, "pending", model.Unknown, "The request is accepted and not answered yet."},
	{Malformed, "malformed", model.NotRun, "The request could not be read or a field is out of range."},
	{TooLarge, "too_large", model.NotRun, "The request is larger than the entry instance accepts."},
	{UnknownClass, "unknown_class", model.NotRun, "There is no such class of work."},
	{UnknownTeam, "unknown_team", model.NotRun, "There is no such team."},
	{BadKey, "bad_key", model.NotRun, "The key is missing, unknown or withdrawn."},
	{ImpossibleSize, "impossible_size", model.NotRun, "No endpoint of the fleet, or no limit of the team, could ever hold the job."},
	{UnknownRequest, "unknown_request", model.Unknown, "No request with this id is known."},
	{KeyReused, "key_reused", model.NotRun, "The idempotency key belongs to a request with another content; this one did not run."},
	{NotAllowed, "not_allowed", model.NotRun, "The key's role does not allow this."},
	{QueueFull, "queue_full", model.NotRun, "The queue of the class and team is full."},
	{OverLimit, "over_limit", model.NotRun, "The team stayed at its limit until the end of the window."},
	{WindowPassed, "window_passed", model.NotRun, "The window ended before the work could start."},
	{Cancelled, "cancelled", model.NotRun, "The request was cancelled before its work started."},
	{TaskFailed, "task_failed", model.DidRun, "The work ran and failed, and may not or can no longer be retried."},
	{ShortOfCapacity, "short_of_capacity", model.NotRun, "Capacity is short and the class refuses early."},
	{HomeUnreachable, "home_unreachable", model.Unknown, "The request's home failure domain does not answer; an earlier submission may have run."},
	{StoreUnavailable, "store_unavailable", model.NotRun, "The record that the work needs before it may start could not be written in time."},
	{ConfigStale, "config_stale", model.NotRun, "The entry instance's view of the keys is too old to accept work by key."},
	{Draining, "draining", model.NotRun, "The entry instance is shutting down."},
	{OutcomeUnknown, "outcome_unknown", model.Unknown, "The work was sent to an endpoint and its outcome is not known."},
	{NotHolder, "not_holder", model.NotRun, "The process does not hold the request's shard."},
	{NoConfig, "no_config", model.NotRun, "The process has no configuration yet."},
	{Busy, "busy", model.NotRun, "The process's input ring is full."},
	{CancelledRunning, "cancelled_running", model.DidRun, "The request was cancelled after its work had started; the work was stopped."},
	{HomeNotReached, "home_not_reached", model.NotRun, "The submission did not leave the entry instance, since the request's home could not be reached; this submission did not run."},
	{ChangeConflict, "change_conflict", model.NotRun, "Another change was accepted first."},
	{ChangeRejected, "change_rejected", model.NotRun, "The change is not consistent; nothing was changed."},
	{ChangeUnconfirmed, "change_unconfirmed", model.Unknown, "The table did not confirm the change; it may be in force."},
}

// Lookup returns the entry of the code; that of OutcomeUnknown for an unknown
// code.
func Lookup(code Code) Entry {
	fallback := Entry{}
	for _, e := range Table {
		if e.Code == code {
			return e
		}
		if e.Code == OutcomeUnknown {
			fallback = e
		}
	}
	return fallback
}

// String returns the short name of the code, "outcome_unknown" for an unknown
// one.
func (c Code) String() string { return Lookup(c).Name }

// Error is an error with a result code.
type Error struct {
	Code Code
	// Reason is a one-sentence explanation for the caller.
	Reason string
}

// Error returns the name of the code and the reason.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Reason }

// Errorf returns an error with the code and a stack trace for the log.
func Errorf(code Code, format string, args ...any) error {
	return eris.Wrap(&Error{Code: code, Reason: eris.Errorf(format, args...).Error()}, code.String())
}

// Of returns the code and reason of err. An error without a code is
// OutcomeUnknown, since its side effects are unknown.
func Of(err error) *Error {
	var coded *Error
	if errors.As(err, &coded) {
		return coded
	}
	return &Error{Code: OutcomeUnknown, Reason: err.Error()}
}

// Answer returns an answer without parts, with the code, the reason and the
// code's Ran.
func Answer(id model.RequestID, code Code, reason string) model.Answer {
	return model.Answer{ID: id, Code: int(code), Ran: Lookup(code).Ran, Reason: reason}
}
