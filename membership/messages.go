package membership

import (
	"time"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/model"
)

// setShards replaces the shards in the process's own record.
type setShards struct{ held []Held }

func (s setShards) apply(m *Membership, _ time.Time) {
	self := m.roster.self.Member
	self.Shards = s.held
	m.roster.setSelf(self)
}

// addSeeds adds the addresses that are not seeds yet.
type addSeeds struct{ addresses []string }

func (a addSeeds) apply(m *Membership, _ time.Time) {
	existing := map[string]bool{}
	for _, seed := range m.seeds {
		existing[seed] = true
	}
	for _, address := range a.addresses {
		if !existing[address] {
			m.seeds = append(m.seeds, address)
		}
	}
	m.lastReconnect = time.Time{}
}

// leave marks the process as left and sends a heartbeat to up to senderDuties
// members at once.
type leave struct{}

func (leave) apply(m *Membership, _ time.Time) {
	m.roster.self.State = Left
	m.roster.markSelfChanged()
	for _, e := range m.roster.nextTargets(senderDuties, setAvailable) {
		m.sendHeartbeat(e.member.Instance, e.member.Address)
	}
}

// heartbeatReceived is a heartbeat from a peer; the RPC handler waits for the
// reply.
type heartbeatReceived struct {
	heartbeat Heartbeat
	reply     chan<- HeartbeatReply
}

func (h heartbeatReceived) apply(m *Membership, now time.Time) {
	from := h.heartbeat.From
	_, exists := m.roster.entries[from.Member.Instance]
	m.roster.mergeOne(now, from)
	m.roster.merge(now, h.heartbeat.News)
	updates := m.roster.updates(from.Member.Instance)
	if !exists {
		updates = m.roster.joinReply()
	}
	h.reply <- HeartbeatReply{
		From:      m.roster.self,
		News:      updates,
		Config:    m.configStore.View().Version(),
		ConfigAge: m.configAge(now),
	}
	m.roster.selfTransmits++
}

// configAge returns the time since the view was confirmed; negative when it never
// was.
func (m *Membership) configAge(now time.Time) time.Duration {
	confirmed := m.configStore.View().Confirmed()
	if confirmed.IsZero() {
		return -1
	}
	return max(now.Sub(confirmed), 0)
}

// heartbeatReplied is the reply to a heartbeat that this process sent.
type heartbeatReplied struct {
	to      model.InstanceID
	address string
	sent    time.Time
	reply   HeartbeatReply
}

func (r heartbeatReplied) apply(m *Membership, now time.Time) {
	from := r.reply.From
	if r.to != "" && from.Member.Instance != r.to {
		m.roster.observe(now, r.to, eventReplaced)
	}
	m.roster.mergeOne(now, from)
	m.roster.merge(now, r.reply.News)
	m.handleConfigVersion(r)
}

// handleConfigVersion compares the configuration version of a peer's reply with
// the local one. When it isn't newer, the peer's confirmation is passed on with
// a time computed from before the heartbeat was sent, so that it is never later
// than the peer's own confirmation.
func (m *Membership) handleConfigVersion(r heartbeatReplied) {
	if r.reply.Config > m.configStore.View().Version() {
		m.fetchNewerConfig(r)
		return
	}
	if r.reply.ConfigAge >= 0 {
		m.configStore.Confirm(r.reply.Config, r.sent.Add(-r.reply.ConfigAge))
	}
}

// fetchNewerConfig first requests a read of the table. When the table was read for
// that version before and the view still lacks it, the configuration is fetched
// from the peer.
func (m *Membership) fetchNewerConfig(r heartbeatReplied) {
	if m.missingVersion < r.reply.Config {
		m.missingVersion = r.reply.Config
		m.configStore.ReadNow()
		return
	}
	m.send(call{to: r.to, address: r.address, run: runConfigFetch})
}

// configFetched is the result of fetching the configuration from a peer; raw is
// empty when that failed.
type configFetched struct{ raw []byte }

func (f configFetched) apply(m *Membership, _ time.Time) {
	if len(f.raw) == 0 {
		return
	}
	if decoded, err := config.Decode(f.raw); err == nil {
		m.configStore.Offer(decoded)
	}
}

// heartbeatFailed is a heartbeat of this process that got no reply.
type heartbeatFailed struct {
	to      model.InstanceID
	address string
}

// apply requests probes of the member from other members before the member is
// treated as unresponsive.
func (h heartbeatFailed) apply(m *Membership, now time.Time) {
	e, exists := m.roster.entries[h.to]
	if !exists || e.pendingProbes > 0 || !setAlive.Has(e.state) {
		return
	}
	for _, relay := range m.roster.nextTargets(probeRelays+1, setAlive) {
		if relay == e || e.pendingProbes == probeRelays {
			continue
		}
		if m.send(call{address: relay.member.Address, run: runProbe(h.to, h.address)}) {
			e.pendingProbes++
		}
	}
	if e.pendingProbes == 0 {
		m.roster.observe(now, h.to, eventNoResponse)
	}
}

// probeFinished is the result of a probe of an unresponsive member through another
// process.
type probeFinished struct {
	target model.InstanceID
	from   Record
	ok     bool
}

func (p probeFinished) apply(m *Membership, now time.Time) {
	if p.ok {
		m.roster.mergeOne(now, p.from)
	}
	e, exists := m.roster.entries[p.target]
	if !exists || e.pendingProbes == 0 {
		return
	}
	if p.ok {
		e.pendingProbes = 0
		return
	}
	e.pendingProbes--
	if e.pendingProbes == 0 {
		m.roster.observe(now, p.target, eventNoResponse)
	}
}

// probeRequested is a probe requested by a peer; the RPC handler waits for the
// outcome.
type probeRequested struct {
	address string
	done    chan<- probeOutcome
}

// probeOutcome is the outcome of a probe for a peer. ok is set when the probed
// process replied; from is then its record.
type probeOutcome struct {
	from Record
	ok   bool
}

func (p probeRequested) apply(m *Membership, _ time.Time) {
	heartbeat := Heartbeat{From: m.roster.self}
	if !m.send(call{address: p.address, run: runRelayedProbe(heartbeat, p.done)}) {
		p.done <- probeOutcome{}
	}
}
