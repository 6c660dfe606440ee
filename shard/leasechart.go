package shard

import (
	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

// leaseChart is the chart lease.scxml with its events and state sets.
type leaseChart struct {
	machine *chart.Machine[Lease]

	tick           chart.Event
	free           chart.Event
	acquired       chart.Event
	conflict       chart.Event
	outcomeUnknown chart.Event
	renewed        chart.Event
	released       chart.Event
	resign         chart.Event

	holding  chart.StateSet
	resigned chart.StateSet
}

func newLeaseChart() *leaseChart {
	m := chart.MustBind(charts.MustLoad("lease"), leaseGuards(), leaseActions())
	return &leaseChart{
		machine:        m,
		tick:           m.MustEvent("tick"),
		free:           m.MustEvent("free"),
		acquired:       m.MustEvent("acquired"),
		conflict:       m.MustEvent("conflict"),
		outcomeUnknown: m.MustEvent("outcome_unknown"),
		renewed:        m.MustEvent("renewed"),
		released:       m.MustEvent("released"),
		resign:         m.MustEvent("resign"),
		holding:        m.MustSet("held"),
		resigned:       m.MustSet("resigned"),
	}
}

func leaseGuards() chart.Guards[Lease] {
	return chart.Guards[Lease]{
		"renewal_due": func(l *Lease) bool { return !l.clock.Now().Before(l.renewAt) },
	}
}

func leaseActions() chart.Actions[Lease] {
	return chart.Actions[Lease]{
		"read_row":            (*Lease).readRow,
		"commit_epoch":        (*Lease).commitEpoch,
		"read_epoch":          (*Lease).readEpoch,
		"renew":               (*Lease).renew,
		"release":             (*Lease).release,
		"discard_observation": (*Lease).discardObservation,
		"notify_held":         (*Lease).notifyHeld,
		"notify_renewed":      func(l *Lease) { l.listener.Renewed(l.validUntil()) },
		"notify_lost":         func(l *Lease) { l.listener.Lost() },
		"notify_released":     func(l *Lease) { l.listener.Released() },
	}
}
