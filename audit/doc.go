// Package audit judges a run. It reads only what the stand-ins recorded and
// what callers wrote down of their answers, and reports every case in which a
// promise of the system was broken. It shares no state and no decision with
// the system that it judges.
package audit

import (
	"time"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/standin"
)

// Rule names a promise.
type Rule string

// The promises.
const (
	// Capacity: no endpoint is committed, or told to commit, beyond its
	// capacity.
	Capacity Rule = "capacity"
	// OnePlace: no task runs in two places at once.
	OnePlace Rule = "one place"
	// TeamLimit: no team has more running than its limit.
	TeamLimit Rule = "team limit"
	// AtMostOnce: a request that is not repeatable runs at most once.
	AtMostOnce Rule = "at most once"
	// OutOfService: nothing starts where operators have taken service out.
	OutOfService Rule = "out of service"
	// Leaving: a leaving endpoint is given nothing new.
	Leaving Rule = "leaving"
	// Fencing: an endpoint takes no command of a lower epoch.
	Fencing Rule = "fencing"
	// Answered: an accepted request has an answer.
	Answered Rule = "answered"
	// OneAnswer: a request has no two answers.
	OneAnswer Rule = "one answer"
	// WholeAnswer: an answer has all parts, in order, and is the caller's own.
	WholeAnswer Rule = "whole answer"
	// TrueNotRun: work that is said not to have run did not run.
	TrueNotRun Rule = "true not run"
	// TrueRan: work that is said to have run did run.
	TrueRan Rule = "true ran"
	// OwnTeam: work runs for the team whose key came with it.
	OwnTeam Rule = "own team"
	// WithdrawnKey: a withdrawn key stops working.
	WithdrawnKey Rule = "withdrawn key"
)

// Options are the times that promises leave.
type Options struct {
	// OutGrace is how long after a take-out starts may still happen.
	OutGrace time.Duration
	// LimitGrace is how long after the lowering of a limit starts may still go
	// by the former limit.
	LimitGrace time.Duration
	// LeavingGrace is how long a leaving endpoint may still be given work.
	LeavingGrace time.Duration
	// KeyGrace is how long a withdrawn key may still work.
	KeyGrace time.Duration
}

// DefaultOptions are the times of the project's promises.
func DefaultOptions() Options {
	return Options{
		OutGrace:     5 * time.Second,
		LimitGrace:   10 * time.Second,
		LeavingGrace: 2 * time.Second,
		KeyGrace:     5 * time.Second,
	}
}

// ConfigChange is a configuration and the time from which it was in force.
type ConfigChange struct {
	// Time is when it was accepted.
	Time time.Time
	// Config is the configuration.
	Config *model.Config
}

// Input is everything that a run is judged by.
type Input struct {
	// Records are the stand-ins' records, in any order.
	Records []standin.Record
	// Callers are the callers' records, one for each request.
	Callers []CallerRecord
	// Configs are configurations in force, oldest first. Those that the table
	// recorded are added.
	Configs []ConfigChange
	// Options are the times that promises leave.
	Options Options
}
