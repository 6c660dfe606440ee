package membership

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

const (
	// suspicionTime is how long a suspected member may take to refute.
	suspicionTime = 3 * time.Second
	// forgetTime is how long a dead member is remembered, and tried again.
	forgetTime = 10 * time.Minute
	// leftTime is how long a member that left is remembered.
	leftTime = time.Minute
)

// entry is what this process holds of one member.
type entry struct {
	member      Member
	incarnation uint64
	state       chart.State
	// since is when the state was entered.
	since time.Time
	// sends counts how often this record went out since it changed.
	sends int
	// asked counts the probes under way through others.
	asked int

	// word is the record being told and now the time, for guards and actions.
	word Record
	now  time.Time
}

var machine = chart.MustBind(charts.MustLoad("member"),
	chart.Guards[entry]{
		"higher":    func(e *entry) bool { return e.word.Incarnation > e.incarnation },
		"not_lower": func(e *entry) bool { return e.word.Incarnation >= e.incarnation },
	},
	chart.Actions[entry]{
		"take_word":   takeWord,
		"note_change": noteChange,
	})

var (
	eventSilent   = machine.MustEvent("silent")
	eventReplaced = machine.MustEvent("replaced")
	eventTimeOver = machine.MustEvent("time_over")
	// told are the events of others' word by the state that it tells.
	told = map[State]chart.Event{
		Alive:   machine.MustEvent("told_alive"),
		Suspect: machine.MustEvent("told_suspect"),
		Dead:    machine.MustEvent("told_dead"),
		Left:    machine.MustEvent("told_left"),
	}

	setAlive     = machine.MustSet("alive")
	setDead      = machine.MustSet("dead")
	setAnswering = machine.MustSet("alive", "suspect")
	setForgotten = machine.MustSet("forgotten")

	// stateTime is how long a state lasts before time_over.
	stateTime = map[chart.State]time.Duration{
		machine.MustState("suspect"): suspicionTime,
		machine.MustState("dead"):    forgetTime,
		machine.MustState("left"):    leftTime,
	}
)

// newEntry returns the entry of a member that is heard of for the first time.
func newEntry(now time.Time, record Record) *entry {
	e := &entry{member: record.Member, incarnation: record.Incarnation, now: now}
	machine.Start(&e.state, e)
	return e
}

// fire hands an event to the member and reports whether it changed anything.
func (e *entry) fire(now time.Time, event chart.Event) bool {
	e.now = now
	return machine.Fire(&e.state, event, e)
}

// tell merges another process's word about the member.
func (e *entry) tell(now time.Time, record Record) bool {
	event, ok := told[record.State]
	if !ok {
		return false
	}
	changed := e.takeFacts(record.Member)
	e.word = record
	return e.fire(now, event) || changed
}

// takeFacts takes what the member said about itself if it is newer.
func (e *entry) takeFacts(member Member) bool {
	if member.Revision <= e.member.Revision {
		return false
	}
	e.member = member
	e.sends = 0
	return true
}

// expire fires time_over once the state has lasted its time.
func (e *entry) expire(now time.Time) bool {
	limit, bounded := stateTime[e.state]
	if !bounded || now.Sub(e.since) < limit {
		return false
	}
	return e.fire(now, eventTimeOver)
}

// record returns the entry as it travels.
func (e *entry) record() Record {
	return Record{Member: e.member, Incarnation: e.incarnation, State: State(machine.Name(e.state))}
}

func takeWord(e *entry) {
	e.incarnation = e.word.Incarnation
	e.sends = 0
}

func noteChange(e *entry) {
	e.since = e.now
	e.sends = 0
}
