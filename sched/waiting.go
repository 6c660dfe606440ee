package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/metrics"
	"github.com/hornbeamworks/hornbeam/model"
)

// maxLabels bounds the number of classes and of teams with a histogram of their
// own.
const maxLabels = 128

// waitHistograms are histograms of the time from acceptance to start.
type waitHistograms struct {
	byClass *metrics.Histograms
	byTeam  *metrics.Histograms
}

func newWaitHistograms() *waitHistograms {
	return &waitHistograms{
		byClass: metrics.NewHistograms("waiting_by_class", maxLabels),
		byTeam:  metrics.NewHistograms("waiting_by_team", maxLabels),
	}
}

// record adds the waiting time of one started task.
func (w *waitHistograms) record(request *model.Request, at time.Time) {
	waited := max(at.Sub(request.Accepted), 0)
	w.byClass.Record(string(request.Spec.Class), waited)
	w.byTeam.Record(string(request.Team), waited)
}
