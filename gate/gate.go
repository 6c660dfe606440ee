// Package gate serves callers, independently of their transport: it checks keys,
// validates requests, limits the calls in flight of each team, and forwards each
// request to the holder of its home shard. Package httpapi is the HTTP front end.
//
// The Admission duty owns the keys in force and the calls in flight. The methods
// of a Call run on the front end's goroutines: they put typed messages on the
// rings of Admission and of the routing duty and wait for the replies.
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

// Settings are the limits and timeouts of an entry instance.
type Settings struct {
	// MaxRequests is the maximum number of calls in flight, including those that
	// wait for an answer.
	MaxRequests int
	// MaxPerTeam is the maximum number of calls in flight of one team.
	MaxPerTeam int
	// TeamRate is the maximum number of calls per second of one team, with bursts
	// of up to TeamBurst.
	TeamRate  float64
	TeamBurst int
	// SubmitTimeout is the time within which a submission must be accepted.
	SubmitTimeout time.Duration
	// CallTimeout bounds one call to a peer, in addition to the time that the
	// peer is asked to wait.
	CallTimeout time.Duration
	// CancelTimeout is the time that a holder may take to stop a request's work.
	CancelTimeout time.Duration
	// MaxWait is the longest wait that a caller may request; longer ones are
	// shortened to it.
	MaxWait time.Duration
	// PollWait is the longest wait requested from a peer in one call. It is short
	// so that a stopped peer is detected.
	PollWait time.Duration
	// PlacementLookback is the time after a domain is brought back during which
	// requests placed elsewhere while it was out are looked up at other homes.
	PlacementLookback time.Duration
}

// DefaultSettings returns the settings of an entry instance.
func DefaultSettings() Settings {
	return Settings{
		MaxRequests:       16384,
		MaxPerTeam:        2048,
		TeamRate:          2000,
		TeamBurst:         2000,
		SubmitTimeout:     10 * time.Second,
		CallTimeout:       2 * time.Second,
		CancelTimeout:     6 * time.Second,
		MaxWait:           30 * time.Second,
		PollWait:          2 * time.Second,
		PlacementLookback: routing.PlacementLookback,
	}
}

// View is the entry instance's view of the configuration; config.View
// implements it.
type View interface {
	// Current returns the newest configuration, nil when there is none yet.
	Current() *model.Config
	// Fresh reports whether the view is recent enough to accept work that is
	// submitted with a key.
	Fresh(now time.Time) bool
}

// Gate admits callers and forwards their requests to the holders of shards.
type Gate struct {
	settings  Settings
	clock     clock.Clock
	admission *Admission
	caller    *routing.Caller
	observer  *observer
}

// New returns a gate that admits calls through admission and calls peers
// through caller.
func New(settings Settings, c clock.Clock, admission *Admission, caller *routing.Caller, log *logging.Logger) *Gate {
	return &Gate{settings: settings, clock: c, admission: admission, caller: caller, observer: newObserver(log)}
}

// MaxWait returns the longest wait that a caller may request.
func (g *Gate) MaxWait() time.Duration { return g.settings.MaxWait }

// MaxCallDuration returns the longest time that a call takes after its request
// has been read.
func (g *Gate) MaxCallDuration() time.Duration {
	return g.settings.SubmitTimeout + g.settings.MaxWait + 2*g.settings.CallTimeout
}

// Admit admits a call with the secret of the caller's key; the secret is empty
// for a caller without a key. An admitted call must be ended with End. A refused
// one gets an error with a result code.
func (g *Gate) Admit(ctx context.Context, secret string, verb Verb) (*Call, *result.Error) {
	inner, cancel := context.WithCancelCause(ctx)
	grant := g.admission.requestAdmission(secret, verb, cancel)
	if grant.refusal != nil {
		g.observer.recordRefusal(grant)
		cancel(nil)
		return nil, grant.refusal
	}
	return &Call{gate: g, ctx: inner, cancel: cancel, grant: grant}, nil
}

// Drain refuses new calls and returns once those in flight have ended, or when
// ctx ends.
func (g *Gate) Drain(ctx context.Context) { g.admission.drain(ctx) }
