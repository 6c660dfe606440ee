// Package audit checks the guarantees of the system after a test run. It reads
// only the records of the stand-ins and of the callers, and reports every
// violation of a guarantee. It shares no state and no decision logic with the
// system under test.
package audit

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// Rule is the name of a guarantee.
type Rule string

// The guarantees.
const (
	// Capacity: no endpoint is committed, or commanded to commit, beyond its
	// capacity.
	Capacity Rule = "capacity"
	// SinglePlacement: no two attempts of a task run at the same time.
	SinglePlacement Rule = "one place"
	// TeamLimit: the running work of a team stays within its limit.
	TeamLimit Rule = "team limit"
	// AtMostOnce: a request that is not repeatable runs at most once.
	AtMostOnce Rule = "at most once"
	// OutOfService: no task starts on an endpoint, in a rack or in a domain
	// that operators have taken out of service.
	OutOfService Rule = "out of service"
	// Leaving: a leaving endpoint is sent no new work.
	Leaving Rule = "leaving"
	// Fencing: an endpoint accepts no command of a lower epoch.
	Fencing Rule = "fencing"
	// Answered: every accepted request gets a final answer.
	Answered Rule = "answered"
	// OneAnswer: all final answers to a request are equal.
	OneAnswer Rule = "one answer"
	// CompleteAnswer: an answer has all parts, in order, and belongs to the
	// caller's request.
	CompleteAnswer Rule = "whole answer"
	// AccurateNotRun: work that is reported as not run did not run.
	AccurateNotRun Rule = "true not run"
	// AccurateRan: work that is reported as run did run.
	AccurateRan Rule = "true ran"
	// OwnTeam: work runs for the team whose API key submitted it.
	OwnTeam Rule = "own team"
	// WithdrawnKey: no request is accepted with a withdrawn key.
	WithdrawnKey Rule = "withdrawn key"
)

// Options are the grace periods of the guarantees.
type Options struct {
	// OutGrace is how long starts may still happen after a take-out.
	OutGrace time.Duration
	// LimitGrace is how long starts may still use the previous limit after a
	// limit was lowered.
	LimitGrace time.Duration
	// LeavingGrace is how long a leaving endpoint may still be sent work.
	LeavingGrace time.Duration
	// KeyGrace is how long a withdrawn key may still be accepted.
	KeyGrace time.Duration
}

// DefaultOptions returns the grace periods that the system guarantees.
func DefaultOptions() Options {
	return Options{
		OutGrace:     5 * time.Second,
		LimitGrace:   10 * time.Second,
		LeavingGrace: 2 * time.Second,
		KeyGrace:     5 * time.Second,
	}
}

// ConfigChange is a configuration and the time from which it is in force.
type ConfigChange struct {
	// Time is when the configuration was accepted.
	Time   time.Time
	Config *model.Config
}

// Input is the data of one run.
type Input struct {
	// Records are the stand-ins' records, in any order.
	Records []standin.Record
	// Callers are the callers' records, one for each request.
	Callers []CallerRecord
	// Configs are configurations in force, oldest first, in addition to those
	// recorded by the table.
	Configs []ConfigChange
	// Options are the grace periods of the guarantees.
	Options Options
}
