package standin

import (
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
)

// attempt is one attempt of a task on an endpoint. The chart standin_attempt
// defines its states.
type attempt struct {
	state     chart.State
	endpoint  *endpointState
	id        model.AttemptID
	size      model.Resources
	request   model.Request
	payload   Payload
	usage     model.Resources
	willFail  bool
	startedAt time.Time
	// finishAt is when the attempt's work is done; zero means that it runs until
	// it is stopped or its lease lapses.
	finishAt time.Time
	// lease is when the attempt's lease lapses.
	lease time.Time
	// endedAt is when the attempt ended; the elapsed time is counted until
	// then.
	endedAt time.Time
	// progress is the work done by earlier, checkpointed attempts of the task.
	progress time.Duration
	// eventTime is the time of the event being processed.
	eventTime time.Time
}

var attemptChart = chart.MustBind(charts.MustLoad("standin_attempt"),
	chart.Guards[attempt]{
		"fails": func(a *attempt) bool { return a.willFail },
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

func (a *attempt) running() bool { return attemptRunning.Has(a.state) }

// nextEvent returns the time of the running attempt's next timed event: the end
// of its work or of its lease.
func (a *attempt) nextEvent() time.Time {
	if a.finishAt.IsZero() || a.lease.Before(a.finishAt) {
		return a.lease
	}
	return a.finishAt
}

// outcome returns the attempt's outcome, which is the name of its final chart
// state.
func (a *attempt) outcome() model.Outcome {
	return model.Outcome(attemptChart.Name(a.state))
}

// output returns the attempt's output; empty unless it succeeded.
func (a *attempt) output() string {
	if !attemptSucceeded.Has(a.state) {
		return ""
	}
	return Output(a.request.Spec.Payload, a.id.Task.Request, a.id.Task.Index)
}

func (a *attempt) saveProgress() {
	a.endpoint.fleet.progress[a.id.Task] = a.progress + a.eventTime.Sub(a.startedAt)
}

// slowDown extends the remaining run time by the ratio of the CPU that the
// attempt uses to its committed CPU, when it uses more.
func (a *attempt) slowDown() {
	used, size := a.usage[model.CPU], a.size[model.CPU]
	if a.finishAt.IsZero() || size <= 0 || used <= size {
		return
	}
	remaining := a.finishAt.Sub(a.eventTime)
	a.finishAt = a.eventTime.Add(remaining * time.Duration(used) / time.Duration(size))
}

// sampledUsage returns the attempt's usage as sampled at now: zero until lag
// after its start, and at most the committed size once it is throttled.
func (a *attempt) sampledUsage(now time.Time, lag time.Duration) model.Resources {
	if now.Sub(a.startedAt) < lag {
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

// report describes the running attempt. It includes the request for an adopting
// holder.
func (a *attempt) report(now time.Time, lag time.Duration, adoption bool) model.Running {
	return model.Running{
		Attempt: a.id, Size: a.size, Usage: a.sampledUsage(now, lag),
		Elapsed: now.Sub(a.startedAt), Request: a.requestForAdoption(adoption),
	}
}

// result describes the ended attempt. It includes the request for an adopting
// holder.
func (a *attempt) result(adoption bool) model.Finished {
	return model.Finished{
		Attempt: a.id, Outcome: a.outcome(), Output: a.output(),
		Elapsed: a.endedAt.Sub(a.startedAt), Peak: a.usage, Request: a.requestForAdoption(adoption),
	}
}

// requestForAdoption returns the request when the holder adopts the endpoint and
// nil otherwise.
func (a *attempt) requestForAdoption(adoption bool) *model.Request {
	if !adoption {
		return nil
	}
	return &a.request
}
