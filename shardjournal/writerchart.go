package shardjournal

import (
	"expvar"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

// Counters of all journals of the process: rows sent to the table, and durable
// entries.
var (
	rowsSent       = expvar.NewInt("journal_rows_sent")
	entriesDurable = expvar.NewInt("journal_entries_durable")
)

// writerChart is the chart journal.scxml with its events and state sets.
type writerChart struct {
	machine *chart.Machine[Writer]

	open           chart.Event
	close          chart.Event
	tick           chart.Event
	replayed       chart.Event
	committed      chart.Event
	outcomeUnknown chart.Event
	conflict       chart.Event
	missing        chart.Event
	fenced         chart.Event

	// writable are the states in which entries are accepted.
	writable chart.StateSet
	// retrying are the states in which a call to the table is retried.
	retrying chart.StateSet
}

func newWriterChart() *writerChart {
	m := chart.MustBind(charts.MustLoad("journal"), chart.Guards[Writer]{
		"row_due": (*Writer).rowDue,
	}, chart.Actions[Writer]{
		"read_journal":    (*Writer).readJournal,
		"notify_replayed": (*Writer).notifyReplayed,
		"reset":           (*Writer).reset,
		"compose_row":     (*Writer).composeRow,
		"commit_row":      (*Writer).commitRow,
		"read_back":       (*Writer).readBack,
		"complete_row":    (*Writer).completeRow,
		"notify_fenced":   func(w *Writer) { w.listener.Fenced(w.epoch) },
	})
	return &writerChart{
		machine:        m,
		open:           m.MustEvent("open"),
		close:          m.MustEvent("close"),
		tick:           m.MustEvent("tick"),
		replayed:       m.MustEvent("replayed"),
		committed:      m.MustEvent("committed"),
		outcomeUnknown: m.MustEvent("outcome_unknown"),
		conflict:       m.MustEvent("conflict"),
		missing:        m.MustEvent("missing"),
		fenced:         m.MustEvent("fenced"),
		writable:       m.MustSet("writable"),
		retrying:       m.MustSet("replaying", "unsettled"),
	}
}
