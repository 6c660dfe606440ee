package sched

import (
	"slices"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/shardjournal"
)

// record is the state of a request in its home shard. Its life cycle is the
// chart request.
type record struct {
	shard   *Shard
	request *model.Request
	state   chart.State

	// parts are the outputs of the tasks that have succeeded.
	parts []model.Part
	// answer is set once the request has ended; published is set once callers
	// may receive it.
	answer     *model.Answer
	published  bool
	answeredAt time.Time
	// fromPreviousHolder is set when a previous holder accepted the request.
	fromPreviousHolder bool
	// inScheduler is set while the scheduler has the request.
	inScheduler bool
	// attempts are those whose outcome is not known yet.
	attempts []*attempt
	// unconfirmed counts the attempts that were sent and that the endpoint has
	// neither confirmed nor rejected.
	unconfirmed int
	// everSent is set when the start of any attempt has been sent.
	everSent bool
	// ran is set when an attempt has run.
	ran bool
	// mayHaveRun is set when it is unknown whether an attempt ran.
	mayHaveRun bool
	// lastStart is the wall-clock time of the last start of a task.
	lastStart time.Time
	// ending is held back until no attempt is unconfirmed.
	ending *policy.Ending
	// inherited has the intents and attempts of previous holders.
	inherited inheritance
	// unacknowledged are the ended attempts that their endpoints may discard
	// once the answer is durable.
	unacknowledged []endedAttempt

	// movedTo is the shard that runs a moved request. moveAcknowledged is set
	// when that shard has reported that it has the request, cancelled when the
	// caller has cancelled it.
	movedTo          model.ShardID
	moveAcknowledged bool
	cancelled        bool

	submitters []caller
	waiters    []caller
}

// endedAttempt identifies an ended attempt and its endpoint.
type endedAttempt struct {
	endpoint model.EndpointID
	attempt  model.AttemptID
}

// inheritance has the intents of a request that previous holders journaled, and
// its attempts that endpoints run or have ended.
type inheritance struct {
	intents []shardjournal.Intent
	running []policy.Start
}

// requestChart is the state chart of a request, with its events and state sets.
type requestChart struct {
	machine *chart.Machine[record]

	submitted       chart.Event
	adopted         chart.Event
	adoptedAnswer   chart.Event
	acceptedDurable chart.Event
	answerDurable   chart.Event
	ended           chart.Event
	storeDown       chart.Event
	windowOver      chart.Event
	retentionOver   chart.Event

	relocate          chart.Event
	movedDurable      chart.Event
	answeredElsewhere chart.Event
	adoptedElsewhere  chart.Event

	unrecorded chart.StateSet
	unanswered chart.StateSet
	ending     chart.StateSet
	answered   chart.StateSet
	// moved has the states in which the request is moved to another shard;
	// elsewhere has the one in which that shard may be queried, since the move
	// is durable.
	moved     chart.StateSet
	elsewhere chart.StateSet
}

func newRequestChart() *requestChart {
	m := chart.MustBind(charts.MustLoad("request"), chart.Guards[record]{
		"repeatable": func(r *record) bool { return !r.request.Spec.NotRepeatable },
		"movable":    (*record).movable,
		"overdue":    (*record).overdue,
	}, chart.Actions[record]{
		"record_acceptance":     (*record).recordAcceptance,
		"hand_over":             func(r *record) { r.shard.handOver(r) },
		"notify_accepted":       (*record).notifyAccepted,
		"record_answer":         (*record).recordAnswer,
		"refuse_unrecorded":     (*record).refuseUnrecorded,
		"notify_answer":         (*record).notifyAnswer,
		"acknowledge":           (*record).acknowledge,
		"remove_from_scheduler": (*record).removeFromScheduler,
		"record_move":           (*record).recordMove,
		"set_outcome_unknown":   (*record).setOutcomeUnknown,
	})
	return &requestChart{
		machine:         m,
		submitted:       m.MustEvent("submitted"),
		adopted:         m.MustEvent("adopted"),
		adoptedAnswer:   m.MustEvent("adopted_answer"),
		acceptedDurable: m.MustEvent("accepted_durable"),
		answerDurable:   m.MustEvent("answer_durable"),
		ended:           m.MustEvent("ended"),
		storeDown:       m.MustEvent("store_down"),
		windowOver:      m.MustEvent("window_over"),
		retentionOver:   m.MustEvent("retention_over"),
		unrecorded:      m.MustSet("recording", "early"),
		unanswered:      m.MustSet("recording", "early", "open"),
		ending:          m.MustSet("ending"),
		answered:        m.MustSet("answered"),
		moved:           m.MustSet("moving", "elsewhere"),
		elsewhere:       m.MustSet("elsewhere"),

		relocate:          m.MustEvent("relocate"),
		movedDurable:      m.MustEvent("moved_durable"),
		answeredElsewhere: m.MustEvent("answered_elsewhere"),
		adoptedElsewhere:  m.MustEvent("adopted_elsewhere"),
	}
}

// newRecord creates and registers a record in the chart's initial state.
func (s *Shard) newRecord(request *model.Request) *record {
	r := &record{shard: s, request: request}
	s.requestChart.machine.Start(&r.state, r)
	s.records[request.ID] = r
	s.active[request.ID] = r
	return r
}

func (r *record) fire(event chart.Event) {
	r.shard.requestChart.machine.Fire(&r.state, event, r)
}

func (r *record) recordAcceptance() {
	r.shard.append(shardjournal.Entry{Accepted: r.request}, acceptedDurable{r})
}

func (r *record) recordAnswer() {
	r.answeredAt = r.shard.now
	entry := shardjournal.Entry{Answered: &shardjournal.Answered{Answer: *r.answer, At: r.answeredAt.Round(0)}}
	r.shard.append(entry, answerDurable{r})
}

// refuseUnrecorded ends a request whose acceptance is not durable at the end of
// its window. None of its starts has been sent, since no intent can be durable
// before the acceptance.
func (r *record) refuseUnrecorded() {
	r.shard.withdraw(r)
	if r.inScheduler {
		r.shard.policy.Cancel(r.shard.now, r.request.ID)
	}
	answer := result.Answer(r.request.ID, result.StoreUnavailable, "the request could not be recorded inside its window")
	r.answer = &answer
}

// notifyAccepted replies to the submitters that the request is accepted.
func (r *record) notifyAccepted() {
	for _, c := range r.submitters {
		r.shard.answerCaller(c, pending(r.request.ID))
	}
	r.submitters = nil
}

// notifyAnswer sends the answer to all callers that wait for it.
func (r *record) notifyAnswer() {
	r.published = true
	for _, c := range append(r.submitters, r.waiters...) {
		r.shard.answerCaller(c, *r.answer)
	}
	r.submitters, r.waiters = nil, nil
}

// acknowledge lets the endpoints discard the request's attempts.
func (r *record) acknowledge() {
	for _, ended := range r.unacknowledged {
		r.shard.acknowledge(ended)
	}
	r.unacknowledged = nil
	delete(r.shard.active, r.request.ID)
	answersDurable.Add(1)
}

// addPart adds the output of a task and reports whether it is the task's first.
func (r *record) addPart(part model.Part) bool {
	for _, p := range r.parts {
		if p.Index == part.Index {
			return false
		}
	}
	r.parts = append(r.parts, part)
	return true
}

// completeAnswer returns the answer of a request whose tasks have all
// succeeded.
func (r *record) completeAnswer() model.Answer {
	parts := slices.Clone(r.parts)
	slices.SortFunc(parts, func(a, b model.Part) int { return a.Index - b.Index })
	return model.Answer{
		ID:     r.request.ID,
		Code:   int(result.OK),
		Ran:    model.DidRun,
		Parts:  parts,
		Waited: max(r.lastStart.Sub(r.request.Accepted), 0),
	}
}

// finalAnswer returns the answer for an ending. It never reports "not run" for
// work that ran or may have run.
func (r *record) finalAnswer(e policy.Ending) model.Answer {
	if e.Code == result.OK {
		return r.completeAnswer()
	}
	if e.Code == result.OutcomeUnknown && !r.everSent && !r.ran && !r.mayHaveRun {
		return r.neverSentAnswer()
	}
	answer := result.Answer(r.request.ID, e.Code, e.Reason)
	ambiguous := r.mayHaveRun || r.unconfirmed > 0
	if answer.Ran != model.NotRun || (!ambiguous && !r.ran) {
		return answer
	}
	if ambiguous && !r.ran {
		return result.Answer(r.request.ID, result.OutcomeUnknown, e.Reason)
	}
	if e.Code == result.Cancelled {
		return result.Answer(r.request.ID, result.CancelledRunning, e.Reason)
	}
	return result.Answer(r.request.ID, result.TaskFailed, e.Reason)
}

// neverSentAnswer returns the answer of a request whose window ended before any
// of its starts was sent, as while their intents wait for the journal.
func (r *record) neverSentAnswer() model.Answer {
	if r.shard.storeUp {
		return result.Answer(r.request.ID, result.WindowPassed, "the window ended before the work could start")
	}
	return result.Answer(r.request.ID, result.StoreUnavailable, "the start could not be recorded inside the window")
}

// pending returns the reply for a request that has no answer yet.
func pending(id model.RequestID) model.Answer { return result.Answer(id, result.Pending, "") }
