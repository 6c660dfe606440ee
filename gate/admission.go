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

// admissionRing is the capacity of Admission's ring. A caller that finds it
// full is refused as busy; the end of a visit pushes back.
const admissionRing = 8192

// errWithdrawn ends the visits of a key that is no longer in force.
var errWithdrawn = eris.New("the key was withdrawn")

// Verb is what a caller wants.
type Verb int

// The verbs of callers.
const (
	// Submitting hands in a request.
	Submitting Verb = iota
	// Reading asks for the answer to a request.
	Reading
	// Cancelling ends a request.
	Cancelling
	// Inspecting asks why a request waits or how the fleet stands. Keys of every
	// role may.
	Inspecting
)

// Admission is the duty that owns the keys in force and the visits under way.
type Admission struct {
	*duty.Duty[admissionMessage]

	settings Settings
	clock    clock.Clock
	view     View
	applied  func(model.ConfigVersion)

	config  *model.Config
	homes   *routing.Homes
	keys    *config.Keyring
	visits  map[*grant]bool
	teams   map[model.TeamName]*teamUse
	leaving []chan<- struct{}
	closed  bool
}

// teamUse is what a team has under way.
type teamUse struct {
	visits int
	rate   *rate.Limiter
}

// grant is one admitted visit. Its fields are fixed once it is granted.
type grant struct {
	digest  config.Digest
	keyed   bool
	key     model.Key
	team    model.TeamName
	config  *model.Config
	homes   *routing.Homes
	cancel  context.CancelCauseFunc
	refusal *result.Error
}

// admissionMessage is a message to Admission's duty.
type admissionMessage interface {
	apply(a *Admission, now time.Time)
}

// enterMessage asks to be admitted.
type enterMessage struct {
	grant *grant
	verb  Verb
	reply chan<- *grant
}

// leaveMessage ends a visit.
type leaveMessage struct{ grant *grant }

// configMessage brings a newer configuration.
type configMessage struct{ config *model.Config }

// drainMessage refuses newcomers; empty is closed once all visits have ended.
type drainMessage struct{ empty chan<- struct{} }

// NewAdmission returns the duty. view says whether the configuration is fresh.
func NewAdmission(settings Settings, c clock.Clock, view View) *Admission {
	a := &Admission{
		settings: settings,
		clock:    c,
		view:     view,
		applied:  func(model.ConfigVersion) {},
		visits:   map[*grant]bool{},
		teams:    map[model.TeamName]*teamUse{},
	}
	a.Duty = duty.New[admissionMessage]("admission", admissionRing, a)
	return a
}

// OnApplied registers what is told of each version that Admission acts by. It
// is called before the duty starts.
func (a *Admission) OnApplied(applied func(model.ConfigVersion)) { a.applied = applied }

// SetConfig brings a newer configuration; false means that the ring is full
// and that it is to be brought again.
func (a *Admission) SetConfig(config *model.Config) bool {
	return a.Offer(configMessage{config: config})
}

// Handle is the duty.
func (a *Admission) Handle(batch []admissionMessage) time.Duration {
	now := a.clock.Now()
	for _, m := range batch {
		m.apply(a, now)
	}
	return duty.Never
}

// enter is called by fronts.
func (a *Admission) enter(secret string, verb Verb, cancel context.CancelCauseFunc) *grant {
	g := &grant{keyed: secret != "", digest: config.DigestOf(secret), cancel: cancel}
	reply := make(chan *grant, 1)
	if !a.Offer(enterMessage{grant: g, verb: verb, reply: reply}) {
		g.refuse(result.Busy, "the entry instance has too much under way")
		return g
	}
	return <-reply
}

// leave is called by fronts. A closed ring means that the process has stopped.
func (a *Admission) leave(g *grant) { _ = a.Put(context.Background(), leaveMessage{grant: g}) }

func (a *Admission) drain(ctx context.Context) {
	empty := make(chan struct{})
	if err := a.Put(ctx, drainMessage{empty: empty}); err != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-empty:
	}
}

func (m enterMessage) apply(a *Admission, now time.Time) {
	a.admit(m.grant, m.verb, now)
	if m.grant.refusal == nil {
		a.visits[m.grant] = true
		a.use(m.grant.team).visits++
	}
	m.reply <- m.grant
}

func (m leaveMessage) apply(a *Admission, _ time.Time) {
	if !a.visits[m.grant] {
		return
	}
	delete(a.visits, m.grant)
	a.use(m.grant.team).visits--
	a.tellEmpty()
}

func (m drainMessage) apply(a *Admission, _ time.Time) {
	a.closed = true
	a.leaving = append(a.leaving, m.empty)
	a.tellEmpty()
}

// apply puts the configuration in force and ends the visits of keys that it
// does not have.
func (m configMessage) apply(a *Admission, _ time.Time) {
	if a.config != nil && m.config.Version <= a.config.Version {
		return
	}
	a.config = m.config
	a.homes = routing.NewHomes(m.config.Domains)
	a.keys = config.NewKeyring(m.config.Keys)
	for g := range a.visits {
		if !a.stillValid(g) {
			g.cancel(errWithdrawn)
		}
	}
	a.forgetTeams()
	a.applied(m.config.Version)
}

func (a *Admission) stillValid(g *grant) bool {
	if !g.keyed {
		return true
	}
	key, ok := a.keys.Find(g.digest)
	return ok && key.Team == g.key.Team && key.Role == g.key.Role
}

// admit fills in the grant or its refusal.
func (a *Admission) admit(g *grant, verb Verb, now time.Time) {
	switch {
	case a.closed:
		g.refuse(result.Draining, "the entry instance is shutting down")
	case a.config == nil:
		g.refuse(result.NoConfig, "the entry instance has no configuration yet")
	case len(a.visits) >= a.settings.MaxRequests:
		g.refuse(result.Busy, "the entry instance has too much under way")
	default:
		a.identify(g, verb, now)
	}
	if g.refusal == nil {
		a.limit(g, now)
	}
}

// identify finds the team of the grant. A key is checked before the freshness
// of the view, so that an unknown key is never told that it may come again.
func (a *Admission) identify(g *grant, verb Verb, now time.Time) {
	g.config, g.homes, g.team = a.config, a.homes, model.OpenTeam
	if !g.keyed {
		return
	}
	key, ok := a.keys.Find(g.digest)
	if !ok {
		g.refuse(result.BadKey, "the key is unknown or withdrawn")
		return
	}
	g.key, g.team = key, key.Team
	if key.Role != model.Submitter && verb == Inspecting {
		return
	}
	if key.Role != model.Submitter {
		g.refuse(result.NotAllowed, "the key's role may not submit, read or cancel work")
		return
	}
	if _, known := a.config.Team(key.Team); !known {
		g.refuse(result.UnknownTeam, "the key's team does not exist")
		return
	}
	if verb == Submitting && !a.view.Fresh(now) {
		g.refuse(result.ConfigStale, "the entry instance's view of the keys is too old")
	}
}

// limit refuses what goes beyond the team's part of the entry instance.
func (a *Admission) limit(g *grant, now time.Time) {
	use := a.use(g.team)
	switch {
	case use.visits >= a.settings.MaxPerTeam:
		g.refuse(result.Busy, "the team has too many requests under way at the entry instance")
	case !use.rate.AllowN(now, 1):
		g.refuse(result.Busy, "the team sends too many requests a second to the entry instance")
	}
}

func (a *Admission) use(team model.TeamName) *teamUse {
	use := a.teams[team]
	if use == nil {
		use = &teamUse{rate: rate.NewLimiter(rate.Limit(a.settings.TeamRate), a.settings.TeamBurst)}
		a.teams[team] = use
	}
	return use
}

// forgetTeams drops the counters of teams that are gone and have no visits.
func (a *Admission) forgetTeams() {
	for name, use := range a.teams {
		if _, known := a.config.Team(name); !known && use.visits == 0 {
			delete(a.teams, name)
		}
	}
}

func (a *Admission) tellEmpty() {
	if len(a.visits) > 0 {
		return
	}
	for _, empty := range a.leaving {
		close(empty)
	}
	a.leaving = nil
}

func (g *grant) refuse(code result.Code, reason string) {
	g.refusal = &result.Error{Code: code, Reason: reason}
}
