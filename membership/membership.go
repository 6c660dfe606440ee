package membership

import (
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
)

const (
	// period is the time from one round of heartbeats to the next at rest.
	period = time.Second
	// newsPeriod is the same while there is something to be passed on.
	newsPeriod = 200 * time.Millisecond
	// tick is how often the duty looks at its timers.
	tick = 100 * time.Millisecond
	// pauseLimit is the gap between two looks that counts as a pause of this
	// process.
	pauseLimit = time.Second
	// fanOut is the number of members that are sent a heartbeat each period.
	fanOut = 2
	// relays is the number of members asked to probe one that is silent.
	relays = 2
	// reconnectPeriod is the time from one try of an address that is dead or
	// not known to the next.
	reconnectPeriod = time.Second

	// dutyRing is the capacity of the membership duty's ring. A full ring
	// refuses peers' heartbeats, which come again, and pushes the senders back.
	dutyRing = 256
)

// Options are what a Membership is made of.
type Options struct {
	// Self is what the process says about itself at its start. Instance, Role,
	// Domain and Address are fixed.
	Self Member
	// Seeds are addresses of processes to begin with. Every process may have
	// the same list.
	Seeds []string
	// Keeper keeps the configuration; heartbeats tell it of newer versions.
	Keeper *config.Keeper
	// Clock is the process's clock.
	Clock clock.Clock
	// Caller calls peers.
	Caller Caller
	// Log gets a line for each member that changes its state; nil for none.
	Log *logging.Logger
}

// Membership is the duties that know the other processes.
type Membership struct {
	keeper    *config.Keeper
	clock     clock.Clock
	directory *Directory
	duty      *duty.Duty[message]
	senders   []*sender
	// send hands a call to a sender and reports whether one had room.
	send func(job) bool

	// The fields below belong to the membership duty.
	roster *roster
	log    *logging.Logger
	// logged are the states of the members as they were logged last.
	logged   map[model.InstanceID]State
	seeds    []string
	nextSeed int
	// heartbeatAt is when the next round is due, reconnectAt when the next
	// address is tried, lookedAt when the duty last looked at its timers.
	heartbeatAt time.Time
	reconnectAt time.Time
	lookedAt    time.Time
	nextSender  int
	// behind is a version that a peer has shown and that the view lacked at the
	// last round.
	behind model.ConfigVersion
}

// message is what the membership duty is told; apply runs on its thread.
type message interface {
	apply(m *Membership, now time.Time)
}

// New returns a membership that has not started.
func New(o Options) *Membership {
	m := &Membership{
		keeper:    o.Keeper,
		clock:     o.Clock,
		directory: newDirectory(),
		roster:    newRoster(o.Self),
		log:       o.Log,
		logged:    map[model.InstanceID]State{},
		seeds:     o.Seeds,
	}
	m.duty = duty.New("membership", dutyRing, duty.HandlerFunc[message](m.handle))
	if m.log == nil {
		m.log = logging.Discard()
	}
	m.send = m.sendToDuty
	for range senderDuties {
		m.senders = append(m.senders, newSender(o.Caller, o.Clock, m.duty.Put))
	}
	m.directory.show(m.roster)
	return m
}

// Duties returns the duties to be started in the process's group.
func (m *Membership) Duties() []duty.Runner {
	all := []duty.Runner{m.duty}
	for _, s := range m.senders {
		all = append(all, s.duty)
	}
	return all
}

// Directory returns the directory of members.
func (m *Membership) Directory() *Directory { return m.directory }

// SetShards tells the members which shards the process holds. False means that
// the ring is full and the call is to be repeated.
func (m *Membership) SetShards(held []Held) bool { return m.duty.Offer(setShards{held: held}) }

// AddSeeds adds addresses to begin with.
func (m *Membership) AddSeeds(addresses []string) bool {
	return m.duty.Offer(addSeeds{addresses: addresses})
}

// Leave tells the members that the process leaves.
func (m *Membership) Leave() bool { return m.duty.Offer(leave{}) }

func (m *Membership) tell(what message) bool { return m.duty.Offer(what) }

func (m *Membership) handle(batch []message) time.Duration {
	now := m.clock.Now()
	m.noticePause(now)
	for _, what := range batch {
		what.apply(m, now)
	}
	m.refreshFacts(now)
	m.roster.expire(now)
	m.round(now)
	if m.roster.changed {
		m.roster.changed = false
		m.directory.show(m.roster)
		m.logChanges()
	}
	return tick
}

// logChanges logs the members whose state is not the one logged last.
func (m *Membership) logChanges() {
	seen := make(map[model.InstanceID]State, len(m.logged))
	for _, status := range m.directory.Members() {
		id := status.Member.Instance
		seen[id] = status.State
		if m.logged[id] == status.State {
			continue
		}
		m.log.Info("member_state",
			slog.String("instance", string(id)), slog.String("role", string(status.Member.Role)),
			slog.String("domain", string(status.Member.Domain)), slog.String("address", status.Member.Address),
			slog.String("state", string(status.State)))
	}
	m.logged = seen
}

// noticePause keeps a pause of this process from being held against others.
func (m *Membership) noticePause(now time.Time) {
	if gap := now.Sub(m.lookedAt); !m.lookedAt.IsZero() && gap > pauseLimit {
		m.roster.forgive(gap)
	}
	m.lookedAt = now
}

// refreshFacts says by which configuration the process acts now.
func (m *Membership) refreshFacts(now time.Time) {
	facts := m.roster.self.Member
	facts.Config = m.keeper.View().Applied()
	facts.Fresh = m.keeper.View().Fresh(now)
	m.roster.setFacts(facts)
}

// round sends the heartbeats that are due.
func (m *Membership) round(now time.Time) {
	wait := period
	if m.roster.hasNews() {
		wait = newsPeriod
	}
	if m.heartbeatAt.IsZero() || now.Sub(m.heartbeatAt) >= wait {
		m.heartbeatAt = now
		for _, e := range m.roster.nextTargets(fanOut, setAnswering) {
			m.sendHeartbeat(e.member.Instance, e.member.Address)
		}
	}
	if m.reconnectAt.IsZero() || now.Sub(m.reconnectAt) >= reconnectPeriod {
		m.reconnectAt = now
		m.reconnect()
	}
}

// reconnect tries a dead member and the next seed that no answering member has
// as its address, so that two sides of a healed cut find each other.
func (m *Membership) reconnect() {
	for _, e := range m.roster.nextTargets(1, setDead) {
		m.sendHeartbeat(e.member.Instance, e.member.Address)
	}
	known := m.roster.addresses(setAnswering)
	known[m.roster.self.Member.Address] = true
	for range m.seeds {
		m.nextSeed = (m.nextSeed + 1) % len(m.seeds)
		if address := m.seeds[m.nextSeed]; !known[address] {
			m.sendHeartbeat("", address)
			return
		}
	}
}

func (m *Membership) sendHeartbeat(to model.InstanceID, address string) {
	m.roster.selfSends++
	m.send(job{
		to:      to,
		address: address,
		run:     runHeartbeat(Heartbeat{From: m.roster.self, News: m.roster.news(to)}),
	})
}

// sendToDuty hands a call to the next sender with room. When all are busy the
// call is dropped: whoever is not heard from is asked again next period.
func (m *Membership) sendToDuty(j job) bool {
	for range m.senders {
		m.nextSender = (m.nextSender + 1) % len(m.senders)
		if m.senders[m.nextSender].duty.Offer(j) {
			return true
		}
	}
	return false
}
