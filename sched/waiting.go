package sched

import (
	"time"

	"github.com/hornbeamworks/hornbeam/metrics"
	"github.com/hornbeamworks/hornbeam/model"
)

// maxLabels bounds the classes and teams that are shown apart.
const maxLabels = 128

// waitingTimes are histograms of the time from acceptance to start.
type waitingTimes struct {
	byClass *metrics.Histograms
	byTeam  *metrics.Histograms
}

func newWaitingTimes() *waitingTimes {
	return &waitingTimes{
		byClass: metrics.NewHistograms("waiting_by_class", maxLabels),
		byTeam:  metrics.NewHistograms("waiting_by_team", maxLabels),
	}
}

// record adds the start of one task.
func (w *waitingTimes) record(request *model.Request, at time.Time) {
	waited := max(at.Sub(request.Accepted), 0)
	w.byClass.Record(string(request.Spec.Class), waited)
	w.byTeam.Record(string(request.Team), waited)
}
