package routing

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/sony/gobreaker"
	"golang.org/x/time/rate"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
)

// ringCapacity is the capacity of the Router's ring in messages. When it is full,
// a new call is rejected, and reporting the end of a try blocks.
const ringCapacity = 8192

// Settings are the limits of the Router.
type Settings struct {
	// MaxHops is the maximum number of hints that one call follows.
	MaxHops int
	// RetriesPerSecond is the retry budget of each failure domain.
	RetriesPerSecond float64
	// RetryBurst is the burst size of the retry budget.
	RetryBurst int
	// InitialBackoff and MaxBackoff bound the backoff before a call tries the same
	// peers again.
	InitialBackoff, MaxBackoff time.Duration
	// BreakerFailures is the number of consecutive failures that open a peer's
	// breaker; BreakerOpenTime is how long it stays open.
	BreakerFailures uint32
	BreakerOpenTime time.Duration
}

// DefaultSettings returns the settings of an entry instance.
func DefaultSettings() Settings {
	return Settings{
		MaxHops:          4,
		RetriesPerSecond: 200,
		RetryBurst:       400,
		InitialBackoff:   20 * time.Millisecond,
		MaxBackoff:       500 * time.Millisecond,
		BreakerFailures:  5,
		BreakerOpenTime:  time.Second,
	}
}

// Decision is the next action of a call.
type Decision struct {
	call *call
	// Final is set when there is no further try.
	Final bool
	// MayHaveRun is set, when Final is, if a peer may have acted on the call.
	MayHaveRun bool
	// Address is the peer to try; empty when no peer is known or every breaker is
	// open.
	Address string
	// Delay is how long to wait before the try.
	Delay time.Duration
	// Hops is the number of hints that the call has followed.
	Hops int
}

// message is a message to the Router's duty: the start of a call, or the end of
// one of its tries.
type message struct {
	call  *call
	event chart.Event
	begin bool
	hint  string
	reply chan<- Decision
}

// Router is the duty that owns the routes, the breakers and the retry budgets.
type Router struct {
	*duty.Duty[message]

	settings  Settings
	clock     clock.Clock
	directory Directory
	holders   map[model.ShardID]string
	breakers  map[string]*gobreaker.TwoStepCircuitBreaker
	// budgets are the retry budgets by failure domain, so that an unreachable
	// domain does not use up the budgets of others.
	budgets map[model.DomainName]*rate.Limiter
	// candidateOffset rotates the candidate that is tried first.
	candidateOffset int
}

// NewRouter returns a Router that looks up candidates in the directory.
func NewRouter(settings Settings, c clock.Clock, directory Directory) *Router {
	r := &Router{
		settings:  settings,
		clock:     c,
		directory: directory,
		holders:   map[model.ShardID]string{},
		breakers:  map[string]*gobreaker.TwoStepCircuitBreaker{},
		budgets:   map[model.DomainName]*rate.Limiter{},
	}
	r.Duty = duty.New[message]("route", ringCapacity, r)
	return r
}

// Handle processes the messages and replies to each with the call's next
// decision.
func (r *Router) Handle(batch []message) time.Duration {
	now := r.clock.Now()
	for _, m := range batch {
		m.call.now = now
		if m.begin {
			r.startCall(m.call)
		} else {
			r.endTry(m)
		}
		m.reply <- m.call.decision
	}
	return duty.Never
}

func (r *Router) startCall(c *call) {
	c.router = r
	c.tried = map[string]bool{}
	c.retryBackoff = r.newRetryBackoff()
	forward.Start(&c.state, c)
	c.prepareTry()
}

func (r *Router) endTry(m message) {
	c := m.call
	c.hint = m.hint
	if c.done != nil {
		c.done(!c.peerFailed(m.event))
		c.done = nil
	}
	if m.event == evReplied {
		r.holders[c.shard] = c.address
	}
	forward.Fire(&c.state, m.event, c)
	if forward.Final(c.state) {
		c.decision = Decision{call: c, Final: true, MayHaveRun: mayHaveRunStates.Has(c.state)}
	}
}

// choosePeer returns the peer for the next try and the function that reports the
// result to its breaker: the recorded holder, or else the domain's candidates in
// rotation. It skips peers that the call has tried and peers whose breaker is
// open, and returns an empty address when none is left.
func (r *Router) choosePeer(c *call) (address string, done func(bool)) {
	if holder := r.holder(c.shard); holder != "" && !c.tried[holder] {
		if done = r.allow(holder); done != nil {
			return holder, done
		}
	}
	candidates := r.directory.Candidates(c.shard.Domain)
	r.candidateOffset++
	for i := range candidates {
		candidate := candidates[(r.candidateOffset+i)%len(candidates)]
		if c.tried[candidate] {
			continue
		}
		if done = r.allow(candidate); done != nil {
			return candidate, done
		}
	}
	return "", nil
}

func (r *Router) holder(shard model.ShardID) string {
	if holder := r.holders[shard]; holder != "" {
		return holder
	}
	holder, _ := r.directory.Holder(shard)
	return holder
}

// removeHolder removes the address as the recorded holder of the shard.
func (r *Router) removeHolder(shard model.ShardID, address string) {
	if r.holders[shard] == address {
		delete(r.holders, shard)
	}
}

// allow returns the function that reports the result of a try to the peer's
// breaker, or nil when the breaker does not admit a try.
func (r *Router) allow(address string) func(success bool) {
	breaker := r.breakers[address]
	if breaker == nil {
		breaker = r.newBreaker(address)
		r.breakers[address] = breaker
	}
	done, err := breaker.Allow()
	if err != nil {
		return nil
	}
	return done
}

// takeRetry takes one retry from the failure domain's budget, if it has one.
func (r *Router) takeRetry(domain model.DomainName, now time.Time) bool {
	budget := r.budgets[domain]
	if budget == nil {
		budget = rate.NewLimiter(rate.Limit(r.settings.RetriesPerSecond), r.settings.RetryBurst)
		r.budgets[domain] = budget
	}
	return budget.AllowN(now, 1)
}

func (r *Router) newBreaker(address string) *gobreaker.TwoStepCircuitBreaker {
	return gobreaker.NewTwoStepCircuitBreaker(gobreaker.Settings{
		Name:    address,
		Timeout: r.settings.BreakerOpenTime,
		ReadyToTrip: func(counts gobreaker.Counts) bool {
			return counts.ConsecutiveFailures >= r.settings.BreakerFailures
		},
	})
}

func (r *Router) newRetryBackoff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(r.settings.InitialBackoff),
		backoff.WithMaxInterval(r.settings.MaxBackoff),
		backoff.WithMaxElapsedTime(0))
}

// offerCall offers a new call to the duty; it returns false when its ring is full.
func (r *Router) offerCall(c *call, reply chan Decision) bool {
	return r.Offer(message{call: c, begin: true, reply: reply})
}

// putTryEnd reports the end of a try to the duty and blocks while its ring is full.
func (r *Router) putTryEnd(c *call, event chart.Event, hint string, reply chan Decision) error {
	return r.Put(context.Background(), message{call: c, event: event, hint: hint, reply: reply})
}
