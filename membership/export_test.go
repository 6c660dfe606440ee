package membership

import (
	"time"
)

// Stepped is a membership that a test advances step by step, without threads.
type Stepped struct {
	*Membership
	calls []call
}

// NewStepped returns a stepped membership. Its calls are queued until Step.
func NewStepped(o Options) *Stepped {
	s := &Stepped{Membership: New(o)}
	s.send = func(c call) bool {
		s.calls = append(s.calls, c)
		return true
	}
	return s
}

// Step runs the duty once, so that it checks its timers, and makes the calls
// that it has queued.
func (s *Stepped) Step(caller Caller) {
	s.handle(nil)
	for len(s.calls) > 0 {
		c := s.calls[0]
		s.calls = s.calls[1:]
		s.handle([]message{c.run(caller, c, s.clock.Now())})
	}
}

// Heartbeat delivers a peer's heartbeat to the duty and returns the reply.
func (s *Stepped) Heartbeat(h Heartbeat) HeartbeatReply {
	reply := make(chan HeartbeatReply, 1)
	s.handle([]message{heartbeatReceived{heartbeat: h, reply: reply}})
	return <-reply
}

// Probe executes a probe requested by a peer and reports whether the probed
// process replied.
func (s *Stepped) Probe(caller Caller, request ProbeRequest) (ProbeReply, bool) {
	done := make(chan probeOutcome, 1)
	c := call{address: request.Address, run: runRelayedProbe(Heartbeat{From: s.roster.self}, done)}
	s.handle([]message{c.run(caller, c, s.clock.Now())})
	outcome := <-done
	return ProbeReply{From: outcome.from}, outcome.ok
}

// Apply applies SetShards immediately.
func (s *Stepped) Apply(held []Held) { s.handle([]message{setShards{held: held}}) }

// ApplyLeave applies Leave immediately.
func (s *Stepped) ApplyLeave() { s.handle([]message{leave{}}) }

// Roster exports roster for property tests.
type Roster struct{ r *roster }

// NewRoster returns the roster of a process.
func NewRoster(self Member) Roster { return Roster{r: newRoster(self)} }

func (r Roster) Merge(now time.Time, records ...Record) { r.r.merge(now, records) }

// Self returns the record of the process itself.
func (r Roster) Self() Record { return r.r.self }

// Record returns the record of a member; false when there is none.
func (r Roster) Record(m Member) (Record, bool) {
	e, ok := r.r.entries[m.Instance]
	if !ok {
		return Record{}, false
	}
	return e.record(), true
}

// Names of the RPC methods, and the tick, for tests.
const (
	HeartbeatMethod = heartbeatMethod
	ProbeMethod     = probeMethod
	ConfigMethod    = configMethod
	Tick            = tick
)
