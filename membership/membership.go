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
	// heartbeatPeriod is the time between rounds of heartbeats when there are no
	// updates to send.
	heartbeatPeriod = time.Second
	// updatePeriod is the time between rounds while there are updates to send.
	updatePeriod = 200 * time.Millisecond
	// tick is the interval at which the duty checks its timers.
	tick = 100 * time.Millisecond
	// pauseThreshold is the time between two ticks above which this process is
	// considered to have been paused.
	pauseThreshold = time.Second
	// fanOut is the number of members to which a heartbeat is sent in each round.
	fanOut = 2
	// probeRelays is the number of members that are requested to probe a member
	// that does not respond.
	probeRelays = 2
	// reconnectPeriod is the time between attempts to reach a dead member and a
	// seed that is not the address of an available member.
	reconnectPeriod = time.Second

	// dutyRing is the capacity of the membership duty's ring. A full ring rejects
	// heartbeats of peers, which send them again, and applies back pressure to the
	// senders.
	dutyRing = 256
)

// Options are the parameters of New.
type Options struct {
	// Self is the process's initial description of itself. Instance, Role, Domain
	// and Address do not change afterwards.
	Self Member
	// Seeds are the addresses through which a process joins and, after a network
	// partition, rejoins. Every process may have the same list, which may contain
	// its own address.
	Seeds []string
	// Store holds the configuration. It is notified of newer versions that peers
	// report in their heartbeats.
	Store *config.Store
	Clock clock.Clock
	// Caller calls peers. It is used by all senders concurrently.
	Caller Caller
	// Log receives a line for each state change of a member; nil disables logging.
	Log *logging.Logger
}

// Membership consists of the membership duty, which owns the roster, and the
// senders, which call peers.
type Membership struct {
	configStore *config.Store
	clock       clock.Clock
	directory   *Directory
	duty        *duty.Duty[message]
	senders     []*sender
	// send enqueues a call at a sender and reports whether one had capacity.
	send func(call) bool

	// The fields below are accessed only by the membership duty.
	roster *roster
	log    *logging.Logger
	// loggedStates are the states of the members that were logged last.
	loggedStates map[model.InstanceID]State
	seeds        []string
	nextSeed     int
	// lastHeartbeat is the time of the last round of heartbeats, lastReconnect
	// that of the last reconnection attempt, lastTick that of the last check of
	// the timers. A zero lastHeartbeat or lastReconnect makes the round or the
	// attempt due at once.
	lastHeartbeat time.Time
	lastReconnect time.Time
	lastTick      time.Time
	nextSender    int
	// missingVersion is the newest version of the configuration that a peer has
	// reported while the view lacked it; a read of the table was requested for it.
	missingVersion model.ConfigVersion
}

// message is an entry of the membership duty's ring; apply runs on its thread.
type message interface {
	apply(m *Membership, now time.Time)
}

// New returns a membership whose duties have not been started.
func New(o Options) *Membership {
	m := &Membership{
		configStore:  o.Store,
		clock:        o.Clock,
		directory:    newDirectory(),
		roster:       newRoster(o.Self),
		log:          o.Log,
		loggedStates: map[model.InstanceID]State{},
		seeds:        o.Seeds,
	}
	m.duty = duty.New("membership", dutyRing, duty.HandlerFunc[message](m.handle))
	if m.log == nil {
		m.log = logging.Discard()
	}
	m.send = m.enqueueCall
	for range senderDuties {
		m.senders = append(m.senders, newSender(o.Caller, o.Clock, m.duty.Put))
	}
	m.directory.publish(m.roster)
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

func (m *Membership) Directory() *Directory { return m.directory }

// SetShards publishes the shards that the process holds to the members. It returns
// false when the ring is full; the caller must then retry.
func (m *Membership) SetShards(held []Held) bool { return m.duty.Offer(setShards{held: held}) }

// AddSeeds adds seeds and makes the next reconnection attempt due at once. It
// returns false when the ring is full.
func (m *Membership) AddSeeds(addresses []string) bool {
	return m.duty.Offer(addSeeds{addresses: addresses})
}

// Leave announces to the members that the process leaves. It returns false when
// the ring is full.
func (m *Membership) Leave() bool { return m.duty.Offer(leave{}) }

func (m *Membership) post(msg message) bool { return m.duty.Offer(msg) }

func (m *Membership) handle(batch []message) time.Duration {
	now := m.clock.Now()
	m.compensatePause(now)
	for _, msg := range batch {
		msg.apply(m, now)
	}
	m.refreshSelf(now)
	m.roster.expire(now)
	m.sendDueHeartbeats(now)
	if m.roster.changed {
		m.roster.changed = false
		m.directory.publish(m.roster)
		m.logStateChanges()
	}
	return tick
}

// logStateChanges logs the members whose state differs from the one logged last.
func (m *Membership) logStateChanges() {
	current := make(map[model.InstanceID]State, len(m.loggedStates))
	for _, status := range m.directory.Members() {
		id := status.Member.Instance
		current[id] = status.State
		if m.loggedStates[id] == status.State {
			continue
		}
		m.log.Info("member_state",
			slog.String("instance", string(id)), slog.String("role", string(status.Member.Role)),
			slog.String("domain", string(status.Member.Domain)), slog.String("address", status.Member.Address),
			slog.String("state", string(status.State)))
	}
	m.loggedStates = current
}

// compensatePause extends the timeouts of all members by a pause of this process,
// so that no member is declared dead because of it.
func (m *Membership) compensatePause(now time.Time) {
	if gap := now.Sub(m.lastTick); !m.lastTick.IsZero() && gap > pauseThreshold {
		m.roster.extendTimeouts(gap)
	}
	m.lastTick = now
}

// refreshSelf updates the configuration version and its freshness in the process's
// own record.
func (m *Membership) refreshSelf(now time.Time) {
	self := m.roster.self.Member
	self.Config = m.configStore.View().Applied()
	self.Fresh = m.configStore.View().Fresh(now)
	m.roster.setSelf(self)
}

// sendDueHeartbeats starts a round of heartbeats and a reconnection attempt when
// their periods have passed.
func (m *Membership) sendDueHeartbeats(now time.Time) {
	wait := heartbeatPeriod
	if m.roster.hasUpdates() {
		wait = updatePeriod
	}
	if m.lastHeartbeat.IsZero() || now.Sub(m.lastHeartbeat) >= wait {
		m.lastHeartbeat = now
		for _, e := range m.roster.nextTargets(fanOut, setAvailable) {
			m.sendHeartbeat(e.member.Instance, e.member.Address)
		}
	}
	if m.lastReconnect.IsZero() || now.Sub(m.lastReconnect) >= reconnectPeriod {
		m.lastReconnect = now
		m.reconnect()
	}
}

// reconnect sends a heartbeat to a dead member and to the next seed that is not
// the address of an available member, so that the two sides of a network
// partition find each other once it has healed.
func (m *Membership) reconnect() {
	for _, e := range m.roster.nextTargets(1, setDead) {
		m.sendHeartbeat(e.member.Instance, e.member.Address)
	}
	available := m.roster.addresses(setAvailable)
	available[m.roster.self.Member.Address] = true
	for range m.seeds {
		m.nextSeed = (m.nextSeed + 1) % len(m.seeds)
		if address := m.seeds[m.nextSeed]; !available[address] {
			m.sendHeartbeat("", address)
			return
		}
	}
}

func (m *Membership) sendHeartbeat(to model.InstanceID, address string) {
	m.roster.selfTransmits++
	m.send(call{
		to:      to,
		address: address,
		run:     runHeartbeat(Heartbeat{From: m.roster.self, News: m.roster.updates(to)}),
	})
}

// enqueueCall enqueues a call at the next sender with capacity. When all
// senders are busy the call is dropped and false returned: a later round sends
// to the same member again.
func (m *Membership) enqueueCall(c call) bool {
	for range m.senders {
		m.nextSender = (m.nextSender + 1) % len(m.senders)
		if m.senders[m.nextSender].duty.Offer(c) {
			return true
		}
	}
	return false
}
