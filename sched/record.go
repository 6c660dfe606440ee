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

// record is a request in its home shard. Its life cycle is the chart request.
type record struct {
	shard   *Shard
	request *model.Request
	state   chart.State

	// parts are the answers of the tasks that have succeeded.
	parts []model.Part
	// answer is set once the request has ended; told says that callers may
	// have it.
	answer     *model.Answer
	told       bool
	answeredAt time.Time
	// former says that a former holder accepted the request.
	former bool
	// handed says that the scheduler has the request.
	handed bool
	// attempts are those whose fate is not known.
	attempts []*attempt
	// unsettled counts the attempts that were sent and not answered for.
	unsettled int
	// exposed says that an attempt was sent at some time.
	exposed bool
	// ran says that an attempt has run.
	ran bool
	// uncertain says that an attempt may have run.
	uncertain bool
	// lastStart is the wall-clock time of the last start of a task.
	lastStart time.Time
	// ending waits for the unsettled attempts.
	ending *policy.Ending
	// inherited is what a former holder has left behind.
	inherited inheritance
	// settled are the ended attempts that their endpoints may forget once the
	// answer is on record.
	settled []settledAttempt

	// movedTo is the shard that runs the request; taken says that it is known
	// to have it, cancelled that the caller has cancelled it.
	movedTo   model.ShardID
	taken     bool
	cancelled bool

	submitters []caller
	waiters    []caller
}

// settledAttempt is an ended attempt on an endpoint.
type settledAttempt struct {
	endpoint model.EndpointID
	attempt  model.AttemptID
}

// inheritance is what a former holder has left of a request.
type inheritance struct {
	intents []shardjournal.Intent
	running []policy.Start
}

// recordChart is the chart of a request with its events and state sets.
type recordChart struct {
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
	// moved are the states in which another shard runs the request; elsewhere
	// is the one in which it may be asked.
	moved     chart.StateSet
	elsewhere chart.StateSet
}

func newRecordChart() *recordChart {
	m := chart.MustBind(charts.MustLoad("request"), chart.Guards[record]{
		"repeatable": func(r *record) bool { return !r.request.Spec.NotRepeatable },
		"movable":    (*record).movable,
		"overdue":    (*record).overdue,
	}, chart.Actions[record]{
		"record_acceptance": (*record).recordAcceptance,
		"hand_over":         func(r *record) { r.shard.handOver(r) },
		"tell_accepted":     (*record).tellAccepted,
		"record_answer":     (*record).recordAnswer,
		"refuse_unrecorded": (*record).refuseUnrecorded,
		"tell_answer":       (*record).tellAnswer,
		"acknowledge":       (*record).acknowledge,
		"leave_scheduler":   (*record).leaveScheduler,
		"record_move":       (*record).recordMove,
		"give_up":           (*record).giveUp,
	})
	return &recordChart{
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

// newRecord returns a record without a state of its own yet.
func (s *Shard) newRecord(request *model.Request) *record {
	r := &record{shard: s, request: request}
	s.recordChart.machine.Start(&r.state, r)
	s.records[request.ID] = r
	s.active[request.ID] = r
	return r
}

func (r *record) fire(event chart.Event) {
	r.shard.recordChart.machine.Fire(&r.state, event, r)
}

func (r *record) recordAcceptance() {
	r.shard.append(shardjournal.Entry{Accepted: r.request}, acceptedDurable{r})
}

func (r *record) recordAnswer() {
	r.answeredAt = r.shard.now
	entry := shardjournal.Entry{Answered: &shardjournal.Answered{Answer: *r.answer, At: r.answeredAt.Round(0)}}
	r.shard.append(entry, answerDurable{r})
}

// refuseUnrecorded ends a request at the end of its window. None of its starts
// has been sent, since none can be on record.
func (r *record) refuseUnrecorded() {
	r.shard.withdraw(r)
	if r.handed {
		r.shard.policy.Cancel(r.shard.now, r.request.ID)
	}
	answer := result.Answer(r.request.ID, result.StoreUnavailable, "the request could not be recorded inside its window")
	r.answer = &answer
}

// tellAccepted tells the submitters that the request is accepted.
func (r *record) tellAccepted() {
	for _, c := range r.submitters {
		r.shard.answerCaller(c, pending(r.request.ID))
	}
	r.submitters = nil
}

// tellAnswer gives the answer to all that wait for it.
func (r *record) tellAnswer() {
	r.told = true
	for _, c := range append(r.submitters, r.waiters...) {
		r.shard.answerCaller(c, *r.answer)
	}
	r.submitters, r.waiters = nil, nil
}

// acknowledge lets the endpoints forget the request's attempts.
func (r *record) acknowledge() {
	for _, settled := range r.settled {
		r.shard.acknowledge(settled)
	}
	r.settled = nil
	delete(r.shard.active, r.request.ID)
	answersGiven.Add(1)
}

// addPart keeps the answer of a task and reports whether it is the first.
func (r *record) addPart(part model.Part) bool {
	for _, p := range r.parts {
		if p.Index == part.Index {
			return false
		}
	}
	r.parts = append(r.parts, part)
	return true
}

// wholeAnswer is the answer of a request whose tasks have all succeeded.
func (r *record) wholeAnswer() model.Answer {
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

// truth is the answer for an ending, which never says "not run" of work that
// ran or may have run.
func (r *record) truth(e policy.Ending) model.Answer {
	if e.Code == result.OK {
		return r.wholeAnswer()
	}
	if e.Code == result.OutcomeUnknown && !r.exposed && !r.ran && !r.uncertain {
		return r.neverSent()
	}
	answer := result.Answer(r.request.ID, e.Code, e.Reason)
	unsure := r.uncertain || r.unsettled > 0
	if answer.Ran != model.NotRun || (!unsure && !r.ran) {
		return answer
	}
	if unsure && !r.ran {
		return result.Answer(r.request.ID, result.OutcomeUnknown, e.Reason)
	}
	if e.Code == result.Cancelled {
		return result.Answer(r.request.ID, result.CancelledRunning, e.Reason)
	}
	return result.Answer(r.request.ID, result.TaskFailed, e.Reason)
}

// neverSent is the answer of a request whose window ended while its starts
// waited for their record.
func (r *record) neverSent() model.Answer {
	if r.shard.storeUp {
		return result.Answer(r.request.ID, result.WindowPassed, "the window ended before the work could start")
	}
	return result.Answer(r.request.ID, result.StoreUnavailable, "the start could not be recorded inside the window")
}

// pending is the answer of a request that has none.
func pending(id model.RequestID) model.Answer { return result.Answer(id, result.Pending, "") }
