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

// maxVersionsBehind is the largest number of versions between the base of a
// change and the newest version.
const maxVersionsBehind = 500

// Change is an operator's request to edit the configuration.
type Change struct {
	// ID makes the change idempotent: a retry with the same id is the same change.
	ID string
	// Author is the id of the operator's key.
	Author string
	// Base is the version that the edit is based on. The change is refused when
	// the same item was changed in a later version. 0 stands for the newest.
	Base model.ConfigVersion
	// Force allows a limit below the current usage.
	Force bool
	Edit  Edit
}

// Outcome is the result of a change.
type Outcome struct {
	// Code is OK, ChangeConflict, ChangeRejected, ChangeUnconfirmed or
	// StoreUnavailable.
	Code result.Code
	// Reason explains a Code other than OK.
	Reason string
	// Version is the version that the change created, when Code is OK.
	Version model.ConfigVersion
	// Ours is the entry of this change, and Theirs are the entries of other
	// changes to the same item since Base, when Code is ChangeConflict. Theirs is
	// empty when Base is unknown or too old.
	Ours   AuditEntry
	Theirs []AuditEntry
}

// attempt is the execution of one change, and the subject of the state chart.
type attempt struct {
	writer    *Writer
	ctx       context.Context
	change    Change
	ambiguous bool
	// initialVersion is the newest version at the first read. A version that
	// this change creates is later.
	initialVersion model.ConfigVersion
	head           Head
	entriesSince   []AuditEntry
	next           *model.Config
	outcome        Outcome
}

var changeChart = chart.MustBind(charts.MustLoad("change"),
	chart.Guards[attempt]{"ambiguous": func(a *attempt) bool { return a.ambiguous }},
	chart.Actions[attempt]{"mark_ambiguous": func(a *attempt) { a.ambiguous = true }})

var (
	eventReadDone       = changeChart.MustEvent("read_done")
	eventNoResponse     = changeChart.MustEvent("no_response")
	eventAlreadyApplied = changeChart.MustEvent("already_applied")
	eventValid          = changeChart.MustEvent("valid")
	eventInvalid        = changeChart.MustEvent("invalid")
	eventBaseOutdated   = changeChart.MustEvent("base_outdated")
	eventCommitted      = changeChart.MustEvent("committed")
	eventCommitConflict = changeChart.MustEvent("commit_conflict")
	eventPauseEnded     = changeChart.MustEvent("pause_ended")
	eventTimedOut       = changeChart.MustEvent("timed_out")

	// stateHandlers run the work of each state and return the next event.
	stateHandlers = map[chart.State]func(*attempt) chart.Event{
		changeChart.MustState("reading"):    (*attempt).read,
		changeChart.MustState("deciding"):   (*attempt).decide,
		changeChart.MustState("committing"): (*attempt).commit,
		changeChart.MustState("pausing"):    (*attempt).pause,
	}

	// finalCodes are the result codes of the final states.
	finalCodes = map[chart.State]result.Code{
		changeChart.MustState("accepted"):    result.OK,
		changeChart.MustState("rejected"):    result.ChangeRejected,
		changeChart.MustState("conflict"):    result.ChangeConflict,
		changeChart.MustState("unconfirmed"): result.ChangeUnconfirmed,
		changeChart.MustState("unavailable"): result.StoreUnavailable,
	}
)

// defaultReasons are used for outcomes without a specific reason.
var defaultReasons = map[result.Code]string{
	result.ChangeUnconfirmed: "the table did not confirm the change; it may be in force: look again",
	result.StoreUnavailable:  "the table gave no answer; nothing was changed",
}

// run executes the state chart until a final state or the context's deadline.
func (a *attempt) run() Outcome {
	var state chart.State
	changeChart.Start(&state, a)
	for !changeChart.Final(state) {
		event := eventTimedOut
		if a.ctx.Err() == nil {
			event = stateHandlers[state](a)
		}
		changeChart.Fire(&state, event, a)
	}
	a.outcome.Code = finalCodes[state]
	if a.outcome.Reason == "" {
		a.outcome.Reason = defaultReasons[a.outcome.Code]
	}
	return a.outcome
}

// read reads the newest configuration and the audit entries since the base
// version or the first read, whichever is older.
func (a *attempt) read() chart.Event {
	head, err := ReadHead(a.ctx, a.writer.options.Table)
	if err != nil {
		return eventNoResponse
	}
	if a.initialVersion == 0 {
		a.initialVersion = head.Config.Version
	}
	from := a.initialVersion
	if a.change.Base > 0 {
		from = min(from, a.change.Base)
	}
	entries, err := ReadAudit(a.ctx, a.writer.options.Table, from, maxVersionsBehind+1)
	if err != nil {
		return eventNoResponse
	}
	a.head, a.entriesSince = head, entries
	return eventReadDone
}

// decide checks whether the change was already applied, is based on an outdated
// version, or makes the configuration invalid.
func (a *attempt) decide() chart.Event {
	for _, entry := range a.entriesSince {
		if entry.Change == a.change.ID {
			a.outcome.Version = entry.Version
			return eventAlreadyApplied
		}
	}
	a.outcome.Ours = a.auditEntry(a.head.Config.Version + 1)
	if a.baseOutdated() {
		return eventBaseOutdated
	}
	next := clone(a.head.Config)
	next.Version++
	if err := a.validate(next); err != nil {
		a.outcome.Reason = result.Of(err).Reason
		return eventInvalid
	}
	a.next = next
	return eventValid
}

// baseOutdated reports whether the item was changed after the base version, or
// the base version is unknown or more than maxVersionsBehind versions old. A base
// of 0 is never outdated.
func (a *attempt) baseOutdated() bool {
	if a.change.Base == 0 {
		return false
	}
	if len(a.entriesSince) > maxVersionsBehind || a.change.Base > a.head.Config.Version {
		a.outcome.Reason = "the version that the change is based on is too old or unknown: look again"
		return true
	}
	for _, entry := range a.entriesSince {
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

// validate applies the edit to next and checks the resulting configuration.
func (a *attempt) validate(next *model.Config) error {
	if err := a.change.Edit.Apply(next); err != nil {
		return err
	}
	markReturnedDomains(a.head.Config, next, a.writer.options.Clock.Now())
	if err := Check(next); err != nil {
		return err
	}
	if a.change.Force {
		return nil
	}
	return a.writer.checkUsage(a.ctx, a.head.Config, next)
}

// commit writes the next version on condition that the row has not changed since
// the read.
func (a *attempt) commit() chart.Event {
	writes, err := headWrites(a.next)
	if err != nil {
		return eventNoResponse
	}
	audit, err := auditWrites(a.auditEntry(a.next.Version))
	if err != nil {
		return eventNoResponse
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
		return eventCommitConflict
	}
	return eventNoResponse
}

// pause waits for retryDelay before the table is read again.
func (a *attempt) pause() chart.Event {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ctx.Done():
	}
	return eventPauseEnded
}

func (a *attempt) auditEntry(version model.ConfigVersion) AuditEntry {
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
