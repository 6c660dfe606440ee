// Package gate is the callers' front: it checks keys and the shape of requests,
// bounds what each team may have under way, finds the home of a request and
// asks the holder of its home. It knows no transport towards callers; package
// httpapi is one front on top of it.
//
// The Admission duty owns the keys in force and the requests under way. The
// methods of a Visit run on the front's goroutines: they put typed messages on
// the rings of Admission and of the routing duty and wait for the replies.
package gate

import (
	"context"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
)

// Settings bound the work of an entry instance.
type Settings struct {
	// MaxRequests is the most requests under way, waiting ones included.
	MaxRequests int
	// MaxPerTeam is the most requests under way for one team.
	MaxPerTeam int
	// TeamRate is the most requests a second of one team, in bursts of at most
	// TeamBurst.
	TeamRate  float64
	TeamBurst int
	// SubmitBudget bounds the time for a submission to be accepted.
	SubmitBudget time.Duration
	// Try bounds one call to a peer beyond the time that the peer was asked to
	// wait.
	Try time.Duration
	// CancelBudget is how long a holder may take to stop a request's work.
	CancelBudget time.Duration
	// MaxWait is the longest wait that a caller may ask for.
	MaxWait time.Duration
	// WaitSlice is the longest wait asked of a peer at once, so that a peer
	// that has stopped is noticed.
	WaitSlice time.Duration
	// PlacementMemory is how long a domain that came back is taken to lack
	// requests which were placed during its absence.
	PlacementMemory time.Duration
}

// DefaultSettings returns the settings of an entry instance.
func DefaultSettings() Settings {
	return Settings{
		MaxRequests:     16384,
		MaxPerTeam:      2048,
		TeamRate:        2000,
		TeamBurst:       2000,
		SubmitBudget:    10 * time.Second,
		Try:             2 * time.Second,
		CancelBudget:    6 * time.Second,
		MaxWait:         30 * time.Second,
		WaitSlice:       2 * time.Second,
		PlacementMemory: routing.PlacementMemory,
	}
}

// View is the entry instance's view of the configuration; config.View is one.
type View interface {
	// Current returns the newest configuration, nil when there is none yet.
	Current() *model.Config
	// Fresh reports whether the view is recent enough to accept work by key.
	Fresh(now time.Time) bool
}

// Gate serves callers.
type Gate struct {
	settings  Settings
	clock     clock.Clock
	admission *Admission
	caller    *routing.Caller
	observer  *observer
}

// New returns a gate that admits by admission and asks peers by caller.
func New(settings Settings, c clock.Clock, admission *Admission, caller *routing.Caller, log *logging.Logger) *Gate {
	return &Gate{settings: settings, clock: c, admission: admission, caller: caller, observer: newObserver(log)}
}

// MaxWait returns the longest wait that a caller may ask for.
func (g *Gate) MaxWait() time.Duration { return g.settings.MaxWait }

// LongestVisit returns the longest time that a visit takes once its request
// has been read.
func (g *Gate) LongestVisit() time.Duration {
	return g.settings.SubmitBudget + g.settings.MaxWait + 2*g.settings.Try
}

// Enter admits a caller with the secret of its key; an empty secret is a caller
// without a key. The visit ends with Leave. A refused caller gets an error with
// a result code.
func (g *Gate) Enter(ctx context.Context, secret string, verb Verb) (*Visit, *result.Error) {
	inner, cancel := context.WithCancelCause(ctx)
	grant := g.admission.enter(secret, verb, cancel)
	if grant.refusal != nil {
		g.observer.refused(grant)
		cancel(nil)
		return nil, grant.refusal
	}
	return &Visit{gate: g, ctx: inner, cancel: cancel, grant: grant}, nil
}

// Drain refuses callers from now on and returns once those under way have
// left, or when ctx ends.
func (g *Gate) Drain(ctx context.Context) { g.admission.drain(ctx) }
