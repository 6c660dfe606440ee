package membership

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

const (
	// suspicionTimeout is the time within which a suspected member must refute
	// the suspicion.
	suspicionTimeout = 3 * time.Second
	// deadRetention is the time for which the record of a dead member is kept
	// and reconnection attempts continue.
	deadRetention = 10 * time.Minute
	// leftRetention is the time for which the record of a member that left is
	// kept.
	leftRetention = time.Minute
)

// entry is the state that this process has recorded of one member.
type entry struct {
	member      Member
	incarnation uint64
	state       chart.State
	// enteredAt is the time at which the state was entered.
	enteredAt time.Time
	// transmits counts how often the record was sent since it last changed.
	transmits int
	// pendingProbes counts the probes in flight through other members.
	pendingProbes int

	// update and now are the received record and the current time, for the
	// guards and actions of the event being fired.
	update Record
	now    time.Time
}

var machine = chart.MustBind(charts.MustLoad("member"),
	chart.Guards[entry]{
		"higher_incarnation":         func(e *entry) bool { return e.update.Incarnation > e.incarnation },
		"same_or_higher_incarnation": func(e *entry) bool { return e.update.Incarnation >= e.incarnation },
	},
	chart.Actions[entry]{
		"apply_update":        applyUpdate,
		"record_state_change": recordStateChange,
	})

var (
	eventNoResponse = machine.MustEvent("no_response")
	eventReplaced   = machine.MustEvent("replaced")
	eventTimeout    = machine.MustEvent("timeout")
	// reportEvents maps the state in a received record to the event that it
	// fires.
	reportEvents = map[State]chart.Event{
		Alive:   machine.MustEvent("reported_alive"),
		Suspect: machine.MustEvent("reported_suspect"),
		Dead:    machine.MustEvent("reported_dead"),
		Left:    machine.MustEvent("reported_left"),
	}

	setAlive     = machine.MustSet("alive")
	setDead      = machine.MustSet("dead")
	setAvailable = machine.MustSet("alive", "suspect")
	setForgotten = machine.MustSet("forgotten")

	// stateTimeouts is the time after which the event timeout is fired in a
	// state.
	stateTimeouts = map[chart.State]time.Duration{
		machine.MustState("suspect"): suspicionTimeout,
		machine.MustState("dead"):    deadRetention,
		machine.MustState("left"):    leftRetention,
	}
)

// newEntry returns the entry of a member of which no record exists yet.
func newEntry(now time.Time, record Record) *entry {
	e := &entry{member: record.Member, incarnation: record.Incarnation, now: now}
	machine.Start(&e.state, e)
	return e
}

// fire fires an event in the chart of the member and reports whether the entry
// changed.
func (e *entry) fire(now time.Time, event chart.Event) bool {
	e.now = now
	return machine.Fire(&e.state, event, e)
}

// merge applies a record that another process sent about the member and reports
// whether the entry changed. A record with an unknown state is ignored.
func (e *entry) merge(now time.Time, record Record) bool {
	event, ok := reportEvents[record.State]
	if !ok {
		return false
	}
	changed := e.updateMember(record.Member)
	e.update = record
	return e.fire(now, event) || changed
}

// updateMember replaces the description of the member if the given one has a
// higher revision.
func (e *entry) updateMember(member Member) bool {
	if member.Revision <= e.member.Revision {
		return false
	}
	e.member = member
	e.transmits = 0
	return true
}

// expire fires the event timeout once the timeout of the state has passed.
func (e *entry) expire(now time.Time) bool {
	limit, bounded := stateTimeouts[e.state]
	if !bounded || now.Sub(e.enteredAt) < limit {
		return false
	}
	return e.fire(now, eventTimeout)
}

// record returns the entry in the form in which it is sent to peers.
func (e *entry) record() Record {
	return Record{Member: e.member, Incarnation: e.incarnation, State: State(machine.Name(e.state))}
}

func applyUpdate(e *entry) {
	e.incarnation = e.update.Incarnation
	e.transmits = 0
}

func recordStateChange(e *entry) {
	e.enteredAt = e.now
	e.transmits = 0
}
