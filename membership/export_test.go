package membership

import (
	"time"
)

// Stepped is a membership that a test moves by hand, without threads.
type Stepped struct {
	*Membership
	jobs []job
}

// NewStepped returns a stepped membership.
func NewStepped(o Options) *Stepped {
	s := &Stepped{Membership: New(o)}
	s.send = func(j job) bool {
		s.jobs = append(s.jobs, j)
		return true
	}
	return s
}

// Step lets the duty look at its timers and makes the calls it asks for.
func (s *Stepped) Step(caller Caller) {
	s.handle(nil)
	for len(s.jobs) > 0 {
		j := s.jobs[0]
		s.jobs = s.jobs[1:]
		s.handle([]message{j.run(caller, j, s.clock.Now())})
	}
}

// Heartbeat hands over a peer's heartbeat and returns the reply.
func (s *Stepped) Heartbeat(h Heartbeat) HeartbeatReply {
	reply := make(chan HeartbeatReply, 1)
	s.handle([]message{heard{heartbeat: h, reply: reply}})
	return <-reply
}

// Probe carries out a peer's probe with the caller.
func (s *Stepped) Probe(caller Caller, request ProbeRequest) (ProbeReply, bool) {
	done := make(chan relayed, 1)
	j := job{address: request.Address, run: runRelay(Heartbeat{From: s.roster.self}, done)}
	s.handle([]message{j.run(caller, j, s.clock.Now())})
	outcome := <-done
	return ProbeReply{From: outcome.from}, outcome.ok
}

// Apply lets the duty apply SetShards at once.
func (s *Stepped) Apply(held []Held) { s.handle([]message{setShards{held: held}}) }

// ApplyLeave lets the duty apply Leave at once.
func (s *Stepped) ApplyLeave() { s.handle([]message{leave{}}) }

// Roster is roster for property tests.
type Roster struct{ r *roster }

// NewRoster returns the roster of a process.
func NewRoster(self Member) Roster { return Roster{r: newRoster(self)} }

// Merge merges the records.
func (r Roster) Merge(now time.Time, records ...Record) { r.r.merge(now, records) }

// Self returns the own record.
func (r Roster) Self() Record { return r.r.self }

// Record returns the record of a member.
func (r Roster) Record(m Member) (Record, bool) {
	e, ok := r.r.entries[m.Instance]
	if !ok {
		return Record{}, false
	}
	return e.record(), true
}

// MethodNames of the service, for callers in tests.
const (
	HeartbeatMethod = heartbeatMethod
	ProbeMethod     = probeMethod
	ConfigMethod    = configMethod
	Tick            = tick
)
