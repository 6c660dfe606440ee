package shardjournal

import (
	"expvar"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

// The counters of the journal: rows sent to the table, and entries on record.
var (
	written = expvar.NewInt("journal_rows_sent")
	entries = expvar.NewInt("journal_entries_durable")
)

// writerChart is the chart of a journal with its events and state sets.
type writerChart struct {
	machine *chart.Machine[Writer]

	open      chart.Event
	close     chart.Event
	tick      chart.Event
	replayed  chart.Event
	committed chart.Event
	unsure    chart.Event
	conflict  chart.Event
	missing   chart.Event
	fenced    chart.Event

	// taking are the states that take entries.
	taking chart.StateSet
	// retrying are the states that wait for the table.
	retrying chart.StateSet
}

func newWriterChart() *writerChart {
	m := chart.MustBind(charts.MustLoad("journal"), chart.Guards[Writer]{
		"row_due": (*Writer).rowDue,
	}, chart.Actions[Writer]{
		"read_journal":      (*Writer).readJournal,
		"announce_replayed": (*Writer).announceReplayed,
		"forget":            (*Writer).forget,
		"compose":           (*Writer).compose,
		"commit":            (*Writer).commit,
		"read_back":         (*Writer).readBack,
		"announce_durable":  (*Writer).announceDurable,
		"announce_fenced":   func(w *Writer) { w.listener.Fenced(w.epoch) },
	})
	return &writerChart{
		machine:   m,
		open:      m.MustEvent("open"),
		close:     m.MustEvent("close"),
		tick:      m.MustEvent("tick"),
		replayed:  m.MustEvent("replayed"),
		committed: m.MustEvent("committed"),
		unsure:    m.MustEvent("unsure"),
		conflict:  m.MustEvent("conflict"),
		missing:   m.MustEvent("missing"),
		fenced:    m.MustEvent("fenced"),
		taking:    m.MustSet("writable"),
		retrying:  m.MustSet("replaying", "unsettled"),
	}
}
