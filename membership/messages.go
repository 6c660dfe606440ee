package membership

import (
	"time"

	"github.com/hornbeamworks/hornbeam/config"
	"github.com/hornbeamworks/hornbeam/model"
)

// setShards says which shards the process holds.
type setShards struct{ held []Held }

func (s setShards) apply(m *Membership, _ time.Time) {
	facts := m.roster.self.Member
	facts.Shards = s.held
	m.roster.setFacts(facts)
}

// addSeeds adds addresses to begin with.
type addSeeds struct{ addresses []string }

func (a addSeeds) apply(m *Membership, _ time.Time) {
	known := map[string]bool{}
	for _, seed := range m.seeds {
		known[seed] = true
	}
	for _, address := range a.addresses {
		if !known[address] {
			m.seeds = append(m.seeds, address)
		}
	}
	m.reconnectAt = time.Time{}
}

// leave says that the process leaves.
type leave struct{}

func (leave) apply(m *Membership, _ time.Time) {
	m.roster.self.State = Left
	m.roster.touchSelf()
	for _, e := range m.roster.nextTargets(senderDuties, setAnswering) {
		m.sendHeartbeat(e.member.Instance, e.member.Address)
	}
}

// heard is a heartbeat from a peer; the RPC handler waits for the reply.
type heard struct {
	heartbeat Heartbeat
	reply     chan<- HeartbeatReply
}

func (h heard) apply(m *Membership, now time.Time) {
	from := h.heartbeat.From
	_, known := m.roster.entries[from.Member.Instance]
	m.roster.mergeOne(now, from)
	m.roster.merge(now, h.heartbeat.News)
	news := m.roster.news(from.Member.Instance)
	if !known {
		news = m.roster.welcome()
	}
	h.reply <- HeartbeatReply{
		From:      m.roster.self,
		News:      news,
		Config:    m.keeper.View().Version(),
		ConfigAge: m.configAge(now),
	}
	m.roster.selfSends++
}

// configAge is how long ago the view was confirmed; negative when it was not.
func (m *Membership) configAge(now time.Time) time.Duration {
	confirmed := m.keeper.View().Confirmed()
	if confirmed.IsZero() {
		return -1
	}
	return max(now.Sub(confirmed), 0)
}

// answered is a reply to an own heartbeat.
type answered struct {
	to      model.InstanceID
	address string
	sent    time.Time
	reply   HeartbeatReply
}

func (a answered) apply(m *Membership, now time.Time) {
	from := a.reply.From
	if a.to != "" && from.Member.Instance != a.to {
		m.roster.observe(now, a.to, eventReplaced)
	}
	m.roster.mergeOne(now, from)
	m.roster.merge(now, a.reply.News)
	m.heedConfig(a)
}

// heedConfig passes on what a peer's reply says about the configuration. The
// confirmation counts from before the heartbeat was sent.
func (m *Membership) heedConfig(a answered) {
	if a.reply.Config > m.keeper.View().Version() {
		m.catchUp(a)
		return
	}
	if a.reply.ConfigAge >= 0 {
		m.keeper.Confirm(a.reply.Config, a.sent.Add(-a.reply.ConfigAge))
	}
}

// catchUp has the table read; when that has been asked for before and the view
// still lacks the version, the peer is asked.
func (m *Membership) catchUp(a answered) {
	if m.behind < a.reply.Config {
		m.behind = a.reply.Config
		m.keeper.ReadNow()
		return
	}
	m.send(job{to: a.to, address: a.address, run: runFetch})
}

// fetched is a configuration that a peer sent; raw is empty when it did not.
type fetched struct{ raw []byte }

func (f fetched) apply(m *Membership, _ time.Time) {
	if len(f.raw) == 0 {
		return
	}
	if decoded, err := config.Decode(f.raw); err == nil {
		m.keeper.Offer(decoded)
	}
}

// noAnswer is an own heartbeat without a reply.
type noAnswer struct {
	to      model.InstanceID
	address string
}

// apply asks others for the member before it counts as silent.
func (n noAnswer) apply(m *Membership, now time.Time) {
	e, known := m.roster.entries[n.to]
	if !known || e.asked > 0 || !setAlive.Has(e.state) {
		return
	}
	for _, relay := range m.roster.nextTargets(relays+1, setAlive) {
		if relay == e || e.asked == relays {
			continue
		}
		if m.send(job{address: relay.member.Address, run: runProbe(n.to, n.address)}) {
			e.asked++
		}
	}
	if e.asked == 0 {
		m.roster.observe(now, n.to, eventSilent)
	}
}

// probed is what another process found of a silent member.
type probed struct {
	about model.InstanceID
	from  Record
	ok    bool
}

func (p probed) apply(m *Membership, now time.Time) {
	if p.ok {
		m.roster.mergeOne(now, p.from)
	}
	e, known := m.roster.entries[p.about]
	if !known || e.asked == 0 {
		return
	}
	if p.ok {
		e.asked = 0
		return
	}
	e.asked--
	if e.asked == 0 {
		m.roster.observe(now, p.about, eventSilent)
	}
}

// relay is a probe that another process asks for; the RPC handler waits.
type relay struct {
	address string
	done    chan<- relayed
}

// relayed is the outcome of a relay.
type relayed struct {
	from Record
	ok   bool
}

func (r relay) apply(m *Membership, _ time.Time) {
	heartbeat := Heartbeat{From: m.roster.self}
	if !m.send(job{address: r.address, run: runRelay(heartbeat, r.done)}) {
		r.done <- relayed{}
	}
}
