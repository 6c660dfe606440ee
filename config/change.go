package config

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

// maxRebase is the largest number of versions that a change may be behind.
const maxRebase = 500

// Change is an operator's change.
type Change struct {
	// ID names the change; a repeat with the same id is the same change.
	ID string
	// Author is the id of the operator's key.
	Author string
	// Base is the version that the operator looked at. The change is refused
	// when the same item was changed since. 0 stands for the newest.
	Base model.ConfigVersion
	// Force accepts a limit below what runs.
	Force bool
	// Edit is what is changed.
	Edit Edit
}

// Outcome is what became of a change.
type Outcome struct {
	// Code is OK, ChangeConflict, ChangeRejected, ChangeUnconfirmed or
	// StoreUnavailable.
	Code result.Code
	// Reason says why, when Code is not OK.
	Reason string
	// Version is the version that the change made, when Code is OK.
	Version model.ConfigVersion
	// Ours is what the change says, and Theirs what others did to the same item
	// since Base, when Code is ChangeConflict.
	Ours   AuditEntry
	Theirs []AuditEntry
}

// attempt is a change on its way: the subject of the chart.
type attempt struct {
	writer  *Writer
	ctx     context.Context
	change  Change
	inDoubt bool
	// first is the newest version at the first read; a commit of this change
	// made a later one.
	first   model.ConfigVersion
	head    Head
	since   []AuditEntry
	next    *model.Config
	outcome Outcome
}

var changes = chart.MustBind(charts.MustLoad("change"),
	chart.Guards[attempt]{"in_doubt": func(a *attempt) bool { return a.inDoubt }},
	chart.Actions[attempt]{"note_doubt": func(a *attempt) { a.inDoubt = true }})

var (
	eventWasRead    = changes.MustEvent("was_read")
	eventNoAnswer   = changes.MustEvent("no_answer")
	eventFoundOwn   = changes.MustEvent("found_own")
	eventSound      = changes.MustEvent("sound")
	eventUnsound    = changes.MustEvent("unsound")
	eventOvertaken  = changes.MustEvent("overtaken")
	eventCommitted  = changes.MustEvent("committed")
	eventConflicted = changes.MustEvent("conflicted")
	eventRested     = changes.MustEvent("rested")
	eventTimeUp     = changes.MustEvent("time_up")

	// steps are what is done in each state; each returns the event that follows.
	steps = map[chart.State]func(*attempt) chart.Event{
		changes.MustState("reading"):    (*attempt).read,
		changes.MustState("deciding"):   (*attempt).decide,
		changes.MustState("committing"): (*attempt).commit,
		changes.MustState("pausing"):    (*attempt).rest,
	}

	// codes are the results of the final states.
	codes = map[chart.State]result.Code{
		changes.MustState("accepted"):    result.OK,
		changes.MustState("rejected"):    result.ChangeRejected,
		changes.MustState("conflict"):    result.ChangeConflict,
		changes.MustState("unconfirmed"): result.ChangeUnconfirmed,
		changes.MustState("unavailable"): result.StoreUnavailable,
	}
)

// reasons are the reasons of outcomes that have none of their own.
var reasons = map[result.Code]string{
	result.ChangeUnconfirmed: "the table did not confirm the change; it may be in force: look again",
	result.StoreUnavailable:  "the table gave no answer; nothing was changed",
}

// run carries the change to its outcome.
func (a *attempt) run() Outcome {
	var state chart.State
	changes.Start(&state, a)
	for !changes.Final(state) {
		event := eventTimeUp
		if a.ctx.Err() == nil {
			event = steps[state](a)
		}
		changes.Fire(&state, event, a)
	}
	a.outcome.Code = codes[state]
	if a.outcome.Reason == "" {
		a.outcome.Reason = reasons[a.outcome.Code]
	}
	return a.outcome
}

// read reads the newest configuration and what was changed since the operator
// looked.
func (a *attempt) read() chart.Event {
	head, err := ReadHead(a.ctx, a.writer.options.Table)
	if err != nil {
		return eventNoAnswer
	}
	if a.first == 0 {
		a.first = head.Config.Version
	}
	from := a.first
	if a.change.Base > 0 {
		from = min(from, a.change.Base)
	}
	since, err := ReadAudit(a.ctx, a.writer.options.Table, from, maxRebase+1)
	if err != nil {
		return eventNoAnswer
	}
	a.head, a.since = head, since
	return eventWasRead
}

// decide looks whether the change is in force already, overtaken or unsound.
func (a *attempt) decide() chart.Event {
	for _, entry := range a.since {
		if entry.Change == a.change.ID {
			a.outcome.Version = entry.Version
			return eventFoundOwn
		}
	}
	a.outcome.Ours = a.entry(a.head.Config.Version + 1)
	if a.overtaken() {
		return eventOvertaken
	}
	next := clone(a.head.Config)
	next.Version++
	if err := a.sound(next); err != nil {
		a.outcome.Reason = result.Of(err).Reason
		return eventUnsound
	}
	a.next = next
	return eventSound
}

// overtaken reports whether the item was changed since the operator looked.
func (a *attempt) overtaken() bool {
	if a.change.Base == 0 {
		return false
	}
	if len(a.since) > maxRebase || a.change.Base > a.head.Config.Version {
		a.outcome.Reason = "the version that the change is based on is too old or unknown: look again"
		return true
	}
	for _, entry := range a.since {
		if entry.Version > a.change.Base && entry.Item == a.change.Edit.Item() {
			a.outcome.Theirs = append(a.outcome.Theirs, entry)
		}
	}
	if len(a.outcome.Theirs) == 0 {
		return false
	}
	theirs := a.outcome.Theirs[len(a.outcome.Theirs)-1]
	a.outcome.Reason = "theirs: " + theirs.String() + "; yours: " + a.change.Edit.Summary()
	return true
}

// sound applies the edit to next and checks the whole.
func (a *attempt) sound(next *model.Config) error {
	if err := a.change.Edit.Apply(next); err != nil {
		return err
	}
	markReturns(a.head.Config, next, a.writer.options.Clock.Now())
	if err := Check(next); err != nil {
		return err
	}
	if a.change.Force {
		return nil
	}
	return a.writer.checkUse(a.ctx, a.head.Config, next)
}

// commit writes the next version, if the row is still the one that was read.
func (a *attempt) commit() chart.Event {
	writes, err := headWrites(a.next)
	if err != nil {
		return eventNoAnswer
	}
	audit, err := auditWrites(a.entry(a.next.Version))
	if err != nil {
		return eventNoAnswer
	}
	err = a.writer.options.Table.Commit(a.ctx, storage.Txn{
		Checks: []storage.Check{{Key: HeadKey, Version: a.head.Row}},
		Writes: append(writes, audit...),
	})
	if err == nil {
		a.outcome.Version = a.next.Version
		return eventCommitted
	}
	if errors.Is(err, storage.ErrConflict) {
		return eventConflicted
	}
	return eventNoAnswer
}

// rest waits a moment before the table is asked again.
func (a *attempt) rest() chart.Event {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
	return eventRested
}

func (a *attempt) entry(version model.ConfigVersion) AuditEntry {
	return AuditEntry{
		Version: version,
		Change:  a.change.ID,
		Author:  a.change.Author,
		At:      a.writer.options.Clock.Now().UTC(),
		Item:    a.change.Edit.Item(),
		Summary: a.change.Edit.Summary(),
		Forced:  a.change.Force,
	}
}
