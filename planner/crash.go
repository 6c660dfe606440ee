package planner

import (
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// LossCause is how the end of an incarnation of an endpoint was observed.
type LossCause string

// The values of LossCause.
const (
	// LossLapse means that its lease has ended or that another endpoint responds at
	// its address.
	LossLapse LossCause = "lapse"
	// LossRestart means that a later incarnation has responded or registered.
	LossRestart LossCause = "restart"
)

// EndpointLoss describes the runs that ended because an incarnation of an
// endpoint did.
type EndpointLoss struct {
	Endpoint model.EndpointID
	Cause    LossCause
	// Runs counts the runs, Unlisted those of them that the endpoint had
	// never listed.
	Runs, Unlisted int
	// Suspects are the first maxSuspectsReported unlisted runs.
	Suspects []jobs.RunID
}

// maxSuspectsReported bounds the runs that are named for each lost endpoint.
const maxSuspectsReported = 4

// recordLoss adds a run that ended with its endpoint to the plan's losses.
func (p *Planner) recordLoss(r *run, event runEvent) {
	cause := LossRestart
	if event == evLapse {
		cause = LossLapse
	}
	last := len(p.plan.Losses) - 1
	if last < 0 || p.plan.Losses[last].Endpoint != r.endpoint.ID || p.plan.Losses[last].Cause != cause {
		p.plan.Losses = append(p.plan.Losses, EndpointLoss{Endpoint: r.endpoint.ID, Cause: cause})
		last++
	}
	loss := &p.plan.Losses[last]
	loss.Runs++
	if r.lastListing > 0 {
		return
	}
	loss.Unlisted++
	if len(loss.Suspects) < maxSuspectsReported {
		loss.Suspects = append(loss.Suspects, r.id)
	}
}
