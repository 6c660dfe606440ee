package planner

import (
	"time"

	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/model"
)

// survivalTime is how long after its start a listing of the run has to be requested to
// show that the endpoint has outlived the start. A listing may be sent between a start and
// a crash.
const survivalTime = 200 * time.Millisecond

// LossCause is how the end of an incarnation of an endpoint was observed.
type LossCause string

// The values of LossCause.
const (
	// LossLapse means that its lease has ended. The endpoint may only be unreachable.
	LossLapse LossCause = "lapse"
	// LossReplaced means that another endpoint responds at its address.
	LossReplaced LossCause = "replaced"
	// LossRestart means that a later incarnation has responded or registered.
	LossRestart LossCause = "restart"
)

// EndpointLoss describes the runs that ended because an incarnation of an
// endpoint did.
type EndpointLoss struct {
	Endpoint model.EndpointID
	Cause    LossCause
	Runs     []LostRun
}

// LostRun is a run that ended with its endpoint.
type LostRun struct {
	Run jobs.RunID
	// Inherited is set if a former holder started the run. Age then counts from the
	// take-over.
	Inherited bool
	// Age is the time since its start was confirmed, first reported or sent; 0 if it has
	// not been sent.
	Age time.Duration
	// Listed is set if the endpoint had listed it, Survived if it had done so in a
	// listing requested survivalTime or more after its start.
	Listed, Survived bool
	// Crashes is the number of endpoints that are known to have crashed soon after they
	// started its task, with this one.
	Crashes int
}

// lostWithEndpoint reports whether the event, which ended the run, means that the
// incarnation of its endpoint has ended.
func (r *run) lostWithEndpoint(event runEvent) bool {
	return event == evLapse || event == evRestarted || event == evAbsent && r.born > 0 && r.endpoint.Born > r.born
}

// recordLoss adds a run that ended with its endpoint to the plan's losses, which are
// logged.
func (p *Planner) recordLoss(r *run, event runEvent) {
	cause := LossRestart
	if event == evLapse {
		cause = r.endpoint.lapseCause()
	}
	last := len(p.plan.Losses) - 1
	if last < 0 || p.plan.Losses[last].Endpoint != r.endpoint.ID || p.plan.Losses[last].Cause != cause {
		p.plan.Losses = append(p.plan.Losses, EndpointLoss{Endpoint: r.endpoint.ID, Cause: cause})
		last++
	}
	lost := LostRun{Run: r.id, Inherited: r.inherited, Listed: r.lastListing > 0, Survived: r.survived, Crashes: r.task.crashes()}
	if began := r.startTime(); !began.IsZero() {
		lost.Age = p.now.Sub(began)
	}
	p.plan.Losses[last].Runs = append(p.plan.Losses[last].Runs, lost)
}

// lapseCause returns how the end of the endpoint's lease was observed.
func (e *endpoint) lapseCause() LossCause {
	if e.replaced {
		return LossReplaced
	}
	return LossLapse
}

func (r *run) markSent() {
	if r.sentAt.IsZero() {
		r.sentAt = r.task.step.job.p.now
	}
}

// startTime returns when the run was confirmed or first reported, or else when its
// start was sent.
func (r *run) startTime() time.Time {
	if r.startedAt.IsZero() {
		return r.sentAt
	}
	return r.startedAt
}

// checkSurvival records that a listing requested at requestedAt has shown the run. Its
// response may have been sent long before it arrived.
func (r *run) checkSurvival(requestedAt time.Time) {
	if r.survived || requestedAt.Sub(r.startTime()) < survivalTime {
		return
	}
	r.survived = true
	delete(r.task.step.job.p.cautiousRuns, r)
	if len(r.task.ends) > 0 {
		r.task.step.job.markChanged()
	}
}
