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

// ringSize is the capacity of the Router's ring. A new call that finds it full
// is refused; the news of a call under way pushes back.
const ringSize = 8192

// Settings bound the Router's work.
type Settings struct {
	// MaxHops is the most hints that one call follows.
	MaxHops int
	// RetriesPerSecond is the budget of retries to each failure domain.
	RetriesPerSecond float64
	// RetryBurst is the most retries at once.
	RetryBurst int
	// FirstPause and MaxPause bound the backoff between rounds of tries.
	FirstPause, MaxPause time.Duration
	// BreakerFailures is the number of failures in a row that open a peer's
	// breaker, and BreakerPause how long it stays open.
	BreakerFailures uint32
	BreakerPause    time.Duration
}

// DefaultSettings returns the settings of an entry instance.
func DefaultSettings() Settings {
	return Settings{
		MaxHops:          4,
		RetriesPerSecond: 200,
		RetryBurst:       400,
		FirstPause:       20 * time.Millisecond,
		MaxPause:         500 * time.Millisecond,
		BreakerFailures:  5,
		BreakerPause:     time.Second,
	}
}

// Order is what a call is to do next.
type Order struct {
	call *call
	// Over says that there is no further try.
	Over bool
	// MayHaveRun says, when Over, that a peer may have acted on the call.
	MayHaveRun bool
	// Address is the peer to try; empty when none is known or allowed now.
	Address string
	// After is how long to wait before the try.
	After time.Duration
	// Hops is the number of processes that have passed the call on.
	Hops int
}

// message is what the Router's duty takes: the begin of a call or the end of
// one of its tries.
type message struct {
	call  *call
	event chart.Event
	begin bool
	hint  string
	reply chan<- Order
}

// Router is the duty that owns the routes, the breakers and the retry budget.
type Router struct {
	*duty.Duty[message]

	settings  Settings
	clock     clock.Clock
	directory Directory
	holders   map[model.ShardID]string
	breakers  map[string]*gobreaker.TwoStepCircuitBreaker
	// budgets are the budgets of retries by failure domain, so that one that
	// is cut off does not use up the others'.
	budgets map[model.DomainName]*rate.Limiter
	// turn spreads first tries over the candidates of a domain.
	turn int
}

// NewRouter returns a Router that finds candidates in the directory.
func NewRouter(settings Settings, c clock.Clock, directory Directory) *Router {
	r := &Router{
		settings:  settings,
		clock:     c,
		directory: directory,
		holders:   map[model.ShardID]string{},
		breakers:  map[string]*gobreaker.TwoStepCircuitBreaker{},
		budgets:   map[model.DomainName]*rate.Limiter{},
	}
	r.Duty = duty.New[message]("route", ringSize, r)
	return r
}

// Handle is the Router's duty.
func (r *Router) Handle(batch []message) time.Duration {
	now := r.clock.Now()
	for _, m := range batch {
		m.call.now = now
		if m.begin {
			r.begin(m.call)
		} else {
			r.advance(m)
		}
		m.reply <- m.call.order
	}
	return duty.Never
}

func (r *Router) begin(c *call) {
	c.router = r
	c.tried = map[string]bool{}
	c.pause = r.newPause()
	forward.Start(&c.state, c)
	c.next()
}

func (r *Router) advance(m message) {
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
		c.order = Order{call: c, Over: true, MayHaveRun: mayRun.Has(c.state)}
	}
}

// choose returns the peer for the next try of the call with its breaker's
// word: the holder as far as known, then the candidates of the domain in turn.
// Peers that the call has tried and peers with an open breaker are passed over.
func (r *Router) choose(c *call) (address string, done func(bool)) {
	if holder := r.holder(c.shard); holder != "" && !c.tried[holder] {
		if done = r.allow(holder); done != nil {
			return holder, done
		}
	}
	candidates := r.directory.Candidates(c.shard.Domain)
	r.turn++
	for i := range candidates {
		candidate := candidates[(r.turn+i)%len(candidates)]
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

// forget drops the address as holder of the shard.
func (r *Router) forget(shard model.ShardID, address string) {
	if r.holders[shard] == address {
		delete(r.holders, shard)
	}
}

// allow asks the peer's breaker; nil means that it is open.
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

// mayRetry takes a retry out of the failure domain's budget.
func (r *Router) mayRetry(domain model.DomainName, now time.Time) bool {
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
		Timeout: r.settings.BreakerPause,
		ReadyToTrip: func(counts gobreaker.Counts) bool {
			return counts.ConsecutiveFailures >= r.settings.BreakerFailures
		},
	})
}

func (r *Router) newPause() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(r.settings.FirstPause),
		backoff.WithMaxInterval(r.settings.MaxPause),
		backoff.WithMaxElapsedTime(0))
}

// start hands a new call to the duty; false means that its ring is full.
func (r *Router) start(c *call, reply chan Order) bool {
	return r.Offer(message{call: c, begin: true, reply: reply})
}

// report hands the end of a try to the duty.
func (r *Router) report(c *call, event chart.Event, hint string, reply chan Order) error {
	return r.Put(context.Background(), message{call: c, event: event, hint: hint, reply: reply})
}
