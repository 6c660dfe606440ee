package standin

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
)

// attempt is one attempt on an endpoint. Its life cycle is the chart
// standin_attempt.
type attempt struct {
	state   chart.State
	host    *host
	id      model.AttemptID
	size    model.Resources
	request model.Request
	payload Payload
	usage   model.Resources
	broken  bool
	started time.Time
	// due is when the attempt has done all its work; zero means never.
	due time.Time
	// lease is when the attempt's lease ends.
	lease time.Time
	// ended is when it ended; elapsed counts until then.
	ended time.Time
	// progress is the work done by earlier attempts that were checkpointed.
	progress time.Duration
	// at is the time of the event that is being fired.
	at time.Time
}

var attemptChart = chart.MustBind(charts.MustLoad("standin_attempt"),
	chart.Guards[attempt]{
		"fails": func(a *attempt) bool { return a.broken },
	},
	chart.Actions[attempt]{
		"save_progress": (*attempt).saveProgress,
		"slow_down":     (*attempt).slowDown,
	})

// Events and states of attempts.
var (
	attemptFinish      = attemptChart.MustEvent("finish")
	attemptStop        = attemptChart.MustEvent("stop")
	attemptCheckpoint  = attemptChart.MustEvent("checkpoint")
	attemptThrottle    = attemptChart.MustEvent("throttle")
	attemptLapse       = attemptChart.MustEvent("lapse")
	attemptAcknowledge = attemptChart.MustEvent("acknowledge")

	attemptRunning   = attemptChart.MustSet("running")
	attemptThrottled = attemptChart.MustSet("throttled")
	attemptForgotten = attemptChart.MustSet("forgotten")
	attemptSucceeded = attemptChart.MustSet("succeeded")
)

// running reports whether the attempt still runs.
func (a *attempt) running() bool { return attemptRunning.Has(a.state) }

// next returns when something happens to the running attempt by itself.
func (a *attempt) next() time.Time {
	if a.due.IsZero() || a.lease.Before(a.due) {
		return a.lease
	}
	return a.due
}

// outcome is how the attempt has ended; the chart's states have its names.
func (a *attempt) outcome() model.Outcome {
	return model.Outcome(attemptChart.Name(a.state))
}

// output is what the attempt returns.
func (a *attempt) output() string {
	if !attemptSucceeded.Has(a.state) {
		return ""
	}
	return Output(a.request.Spec.Payload, a.id.Task.Request, a.id.Task.Index)
}

func (a *attempt) saveProgress() {
	a.host.fleet.progress[a.id.Task] = a.progress + a.at.Sub(a.started)
}

// slowDown stretches the rest of the work by what the attempt used beyond its
// committed size.
func (a *attempt) slowDown() {
	used, size := a.usage[model.CPU], a.size[model.CPU]
	if a.due.IsZero() || size <= 0 || used <= size {
		return
	}
	rest := a.due.Sub(a.at)
	a.due = a.at.Add(rest * time.Duration(used) / time.Duration(size))
}

// sampled returns the usage as the endpoint last sampled it before now.
func (a *attempt) sampled(now time.Time, lag time.Duration) model.Resources {
	if now.Sub(a.started) < lag {
		return model.Resources{}
	}
	if !attemptThrottled.Has(a.state) {
		return a.usage
	}
	used := a.usage
	for i := range used {
		used[i] = min(used[i], a.size[i])
	}
	return used
}

// report describes the running attempt, with its request for an adoption.
func (a *attempt) report(now time.Time, lag time.Duration, adoption bool) model.Running {
	return model.Running{
		Attempt: a.id, Size: a.size, Usage: a.sampled(now, lag),
		Elapsed: now.Sub(a.started), Request: a.carried(adoption),
	}
}

// result describes the ended attempt, with its request for an adoption.
func (a *attempt) result(adoption bool) model.Finished {
	return model.Finished{
		Attempt: a.id, Outcome: a.outcome(), Output: a.output(),
		Elapsed: a.ended.Sub(a.started), Peak: a.usage, Request: a.carried(adoption),
	}
}

// carried returns the request for an adoption and nothing otherwise.
func (a *attempt) carried(adoption bool) *model.Request {
	if !adoption {
		return nil
	}
	return &a.request
}
