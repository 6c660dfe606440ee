package shard

import (
	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

// leaseChart is the chart of a lease with its events and state sets.
type leaseChart struct {
	machine *chart.Machine[Lease]

	tick     chart.Event
	free     chart.Event
	won      chart.Event
	conflict chart.Event
	unsure   chart.Event
	renewed  chart.Event
	released chart.Event
	resign   chart.Event

	holding  chart.StateSet
	resigned chart.StateSet
}

func newLeaseChart() *leaseChart {
	m := chart.MustBind(charts.MustLoad("lease"), leaseGuards(), leaseActions())
	return &leaseChart{
		machine:  m,
		tick:     m.MustEvent("tick"),
		free:     m.MustEvent("free"),
		won:      m.MustEvent("won"),
		conflict: m.MustEvent("conflict"),
		unsure:   m.MustEvent("unsure"),
		renewed:  m.MustEvent("renewed"),
		released: m.MustEvent("released"),
		resign:   m.MustEvent("resign"),
		holding:  m.MustSet("held"),
		resigned: m.MustSet("resigned"),
	}
}

func leaseGuards() chart.Guards[Lease] {
	return chart.Guards[Lease]{
		"renewal_due": func(l *Lease) bool { return !l.clock.Now().Before(l.renewAt) },
	}
}

func leaseActions() chart.Actions[Lease] {
	return chart.Actions[Lease]{
		"read_row":          (*Lease).readRow,
		"commit_epoch":      (*Lease).commitEpoch,
		"read_epoch":        (*Lease).readEpoch,
		"renew":             (*Lease).renew,
		"release":           (*Lease).release,
		"forget_row":        (*Lease).forgetRow,
		"announce_held":     (*Lease).announceHeld,
		"announce_renewed":  func(l *Lease) { l.listener.Renewed(l.validUntil()) },
		"announce_lost":     func(l *Lease) { l.listener.Lost() },
		"announce_released": func(l *Lease) { l.listener.Released() },
	}
}
