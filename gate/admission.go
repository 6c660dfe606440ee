package gate

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
)

// admissionRing is the capacity of Admission's ring. New calls are rejected as
// busy when it is full; a call that ends blocks until its message fits.
const admissionRing = 8192

// errKeyWithdrawn is the cancellation cause of calls whose key is no longer in
// force. Its text reaches callers as the reason.
var errKeyWithdrawn = eris.New("the key was withdrawn")

// Verb is the kind of operation that a caller requests.
type Verb int

// The kinds of operations.
const (
	// VerbSubmit submits a request.
	VerbSubmit Verb = iota
	// VerbRead reads the answer to a request.
	VerbRead
	// VerbCancel cancels a request.
	VerbCancel
	// VerbInspect explains why a request waits or reads the status of the fleet.
	// It is allowed for keys of every role.
	VerbInspect
)

// Admission is the duty that owns the keys in force and the set of calls in
// flight.
type Admission struct {
	*duty.Duty[admissionMessage]

	settings Settings
	clock    clock.Clock
	view     View
	applied  func(model.ConfigVersion)

	config       *model.Config
	homes        *routing.Homes
	keys         *config.Keyring
	calls        map[*grant]bool
	teams        map[model.TeamName]*teamUsage
	drainWaiters []chan<- struct{}
	draining     bool
}

// teamUsage is a team's number of calls in flight and its rate limiter.
type teamUsage struct {
	calls int
	rate  *rate.Limiter
}

// grant is the result of an admission: the identity of an admitted call, or its
// refusal. Its fields do not change once it has been sent to the caller.
type grant struct {
	digest  config.Digest
	hasKey  bool
	key     model.Key
	team    model.TeamName
	config  *model.Config
	homes   *routing.Homes
	cancel  context.CancelCauseFunc
	refusal *result.Error
}

// admissionMessage is a message on Admission's ring.
type admissionMessage interface {
	apply(a *Admission, now time.Time)
}

// admitMessage requests the admission of a call.
type admitMessage struct {
	grant *grant
	verb  Verb
	reply chan<- *grant
}

// releaseMessage reports the end of a call.
type releaseMessage struct{ grant *grant }

// configMessage delivers a newer configuration.
type configMessage struct{ config *model.Config }

// drainMessage stops the admission of calls; drained is closed once all calls
// have ended.
type drainMessage struct{ drained chan<- struct{} }

// NewAdmission returns the duty. view reports whether the configuration is up
// to date.
func NewAdmission(settings Settings, c clock.Clock, view View) *Admission {
	a := &Admission{
		settings: settings,
		clock:    c,
		view:     view,
		applied:  func(model.ConfigVersion) {},
		calls:    map[*grant]bool{},
		teams:    map[model.TeamName]*teamUsage{},
	}
	a.Duty = duty.New[admissionMessage]("admission", admissionRing, a)
	return a
}

// OnApplied registers the callback that is notified of each version that
// Admission puts in force. It must be called before the duty starts.
func (a *Admission) OnApplied(applied func(model.ConfigVersion)) { a.applied = applied }

// SetConfig posts a newer configuration. It returns false when the ring is full,
// and the caller must then retry.
func (a *Admission) SetConfig(config *model.Config) bool {
	return a.Offer(configMessage{config: config})
}

// Handle applies a batch of messages.
func (a *Admission) Handle(batch []admissionMessage) time.Duration {
	now := a.clock.Now()
	for _, m := range batch {
		m.apply(a, now)
	}
	return duty.Never
}

// requestAdmission runs on a front end's goroutine and waits for the decision.
func (a *Admission) requestAdmission(secret string, verb Verb, cancel context.CancelCauseFunc) *grant {
	g := &grant{hasKey: secret != "", digest: config.DigestOf(secret), cancel: cancel}
	reply := make(chan *grant, 1)
	if !a.Offer(admitMessage{grant: g, verb: verb, reply: reply}) {
		g.refuse(result.Busy, "the entry instance has too much under way")
		return g
	}
	return <-reply
}

// release runs on a front end's goroutine. The error of a closed ring is
// ignored, since it means that the process has stopped.
func (a *Admission) release(g *grant) { _ = a.Put(context.Background(), releaseMessage{grant: g}) }

func (a *Admission) drain(ctx context.Context) {
	drained := make(chan struct{})
	if err := a.Put(ctx, drainMessage{drained: drained}); err != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-drained:
	}
}

func (m admitMessage) apply(a *Admission, now time.Time) {
	a.admit(m.grant, m.verb, now)
	if m.grant.refusal == nil {
		a.calls[m.grant] = true
		a.usageOf(m.grant.team).calls++
	}
	m.reply <- m.grant
}

func (m releaseMessage) apply(a *Admission, _ time.Time) {
	if !a.calls[m.grant] {
		return
	}
	delete(a.calls, m.grant)
	a.usageOf(m.grant.team).calls--
	a.notifyDrained()
}

func (m drainMessage) apply(a *Admission, _ time.Time) {
	a.draining = true
	a.drainWaiters = append(a.drainWaiters, m.drained)
	a.notifyDrained()
}

// apply puts the configuration in force and cancels the calls whose key it no
// longer has.
func (m configMessage) apply(a *Admission, _ time.Time) {
	if a.config != nil && m.config.Version <= a.config.Version {
		return
	}
	a.config = m.config
	a.homes = routing.NewHomes(m.config.Domains)
	a.keys = config.NewKeyring(m.config.Keys)
	for g := range a.calls {
		if !a.stillValid(g) {
			g.cancel(errKeyWithdrawn)
		}
	}
	a.evictIdleTeams()
	a.applied(m.config.Version)
}

func (a *Admission) stillValid(g *grant) bool {
	if !g.hasKey {
		return true
	}
	key, ok := a.keys.Find(g.digest)
	return ok && key.Team == g.key.Team && key.Role == g.key.Role
}

// admit fills in the grant, or its refusal.
func (a *Admission) admit(g *grant, verb Verb, now time.Time) {
	switch {
	case a.draining:
		g.refuse(result.Draining, "the entry instance is shutting down")
	case a.config == nil:
		g.refuse(result.NoConfig, "the entry instance has no configuration yet")
	case len(a.calls) >= a.settings.MaxRequests:
		g.refuse(result.Busy, "the entry instance has too much under way")
	default:
		a.authorize(g, verb, now)
	}
	if g.refusal == nil {
		a.checkTeamLimits(g, now)
	}
}

// authorize sets the team of the grant. The key is checked before the view's
// freshness, so that an unknown key never gets a retryable code.
func (a *Admission) authorize(g *grant, verb Verb, now time.Time) {
	g.config, g.homes, g.team = a.config, a.homes, model.OpenTeam
	if !g.hasKey {
		return
	}
	key, ok := a.keys.Find(g.digest)
	if !ok {
		g.refuse(result.BadKey, "the key is unknown or withdrawn")
		return
	}
	g.key, g.team = key, key.Team
	if key.Role != model.Submitter && verb == VerbInspect {
		return
	}
	if key.Role != model.Submitter {
		g.refuse(result.NotAllowed, "the key's role may not submit, read or cancel work")
		return
	}
	if _, exists := a.config.Team(key.Team); !exists {
		g.refuse(result.UnknownTeam, "the key's team does not exist")
		return
	}
	if verb == VerbSubmit && !a.view.Fresh(now) {
		g.refuse(result.ConfigStale, "the entry instance's view of the keys is too old")
	}
}

// checkTeamLimits refuses calls beyond the team's limits at this entry instance.
func (a *Admission) checkTeamLimits(g *grant, now time.Time) {
	usage := a.usageOf(g.team)
	switch {
	case usage.calls >= a.settings.MaxPerTeam:
		g.refuse(result.Busy, "the team has too many requests under way at the entry instance")
	case !usage.rate.AllowN(now, 1):
		g.refuse(result.Busy, "the team sends too many requests a second to the entry instance")
	}
}

func (a *Admission) usageOf(team model.TeamName) *teamUsage {
	usage := a.teams[team]
	if usage == nil {
		usage = &teamUsage{rate: rate.NewLimiter(rate.Limit(a.settings.TeamRate), a.settings.TeamBurst)}
		a.teams[team] = usage
	}
	return usage
}

// evictIdleTeams removes the counters of teams that the configuration no longer
// has and that have no calls in flight.
func (a *Admission) evictIdleTeams() {
	for name, usage := range a.teams {
		if _, exists := a.config.Team(name); !exists && usage.calls == 0 {
			delete(a.teams, name)
		}
	}
}

func (a *Admission) notifyDrained() {
	if len(a.calls) > 0 {
		return
	}
	for _, waiter := range a.drainWaiters {
		close(waiter)
	}
	a.drainWaiters = nil
}

func (g *grant) refuse(code result.Code, reason string) {
	g.refusal = &result.Error{Code: code, Reason: reason}
}
