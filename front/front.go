// Package front takes callers' calls: it checks their keys, accepts and cancels
// jobs by writing them to the table, and tells their states. It knows no
// transport; an adapter translates calls and answers.
package front

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/hornbeamworks/hornbeam/catalog"
	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/metrics"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
	"github.com/hornbeamworks/hornbeam/view"
)

const (
	// defaultTimeout bounds a call whose queue and caller set no time.
	defaultTimeout = 3 * time.Second
	// readyAge is the age of the view beyond which the instance asks for no
	// more connections: the feed confirms it every 1.5 s.
	readyAge = 3500 * time.Millisecond
	// retryAfter is when a refused caller is told to come back.
	retryAfter = time.Second
	// lanes is the number of threads that write jobs; each has some of the
	// parts, so that a slow write holds up those alone.
	lanes = 8
	// queueLabels bounds the number of queues in metrics.
	queueLabels = 128
)

var (
	callTimes = metrics.NewHistograms("call_time_by_kind", queueLabels)
	calls     = expvar.NewMap("front")
)

// Caller says who calls and which queue is meant.
type Caller struct {
	// Key is the caller's key.
	Key string
	// Host and Path select the queue; what follows the queue's prefix in Path
	// names the job.
	Host, Path string
}

// Answer is what a caller is told.
type Answer struct {
	Code result.Code
	// Reason says why, when Code is not result.OK.
	Reason string
	// State is the state of the job asked for.
	State jobs.State
	// Waiting is the number of waiting jobs of the queue asked for.
	Waiting int
	// RetryAfter is when to come back; 0 where that would not help.
	RetryAfter time.Duration
}

// Options are what a front needs.
type Options struct {
	// Parts is the number of parts over which jobs are spread.
	Parts holder.Parts
	View  *view.View
	Table storage.FeedTable
	// Clock is steady, Wall tells the date.
	Clock, Wall clock.Clock
	Log         *logging.Logger
}

// Front is the front of an instance.
type Front struct {
	Options
	ctx     context.Context
	lanes   []*lane
	readers []*duty.Duty[*question]
	finals  *finals
	queues  queuesCache
}

// New returns a front whose duties have not started.
func New(ctx context.Context, o Options) *Front {
	f := &Front{Options: o, ctx: ctx, finals: newFinals()}
	for number := range min(lanes, max(int(o.Parts), 1)) {
		f.lanes = append(f.lanes, newLane(f, number))
	}
	f.readers = newReaders(f)
	return f
}

// Duties returns the front's duties.
func (f *Front) Duties() []duty.Runner {
	var all []duty.Runner
	for _, l := range f.lanes {
		all = append(all, l)
	}
	for _, r := range f.readers {
		all = append(all, r)
	}
	return all
}

// Ready reports whether the instance should be given new connections: it has a
// configuration, and the table has confirmed it of late.
func (f *Front) Ready() bool {
	age, confirmed := f.View.Age()
	return confirmed && age < readyAge && f.View.Catalog() != nil
}

// Limits returns the bounds of callers' requests.
func (f *Front) Limits() (catalog.Limits, bool) {
	c := f.View.Catalog()
	if c == nil {
		return catalog.Limits{}, false
	}
	return c.Limits, true
}

// visit is a call that may go on.
type visit struct {
	queue *catalog.Queue
	team  model.TeamName
	id    jobs.ID
	limit time.Time
}

// admit checks the call against the configuration in force.
func (f *Front) admit(ctx context.Context, c Caller) (visit, *Answer) {
	current := f.View.Catalog()
	if current == nil {
		return visit{}, f.refuse(result.NoConfig, "the instance has no configuration yet")
	}
	queue, rest := current.QueueFor(c.Host, c.Path)
	if queue == nil {
		return visit{}, f.refuse(result.UnknownClass, "there is no such queue")
	}
	team, known := current.Keys[c.Key]
	if !known && !queue.Open {
		return visit{}, f.refuse(result.BadKey, "the key is missing, unknown or withdrawn")
	}
	if queue.Open && !known {
		team = ""
	}
	return visit{queue: queue, team: team, id: jobs.ID(rest), limit: f.limitOf(ctx, queue)}, nil
}

func (f *Front) limitOf(ctx context.Context, queue *catalog.Queue) time.Time {
	timeout := queue.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	limit := time.Now().Add(timeout)
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Before(limit) {
		limit = deadline
	}
	return limit
}

// refuse returns the answer for a call that was not carried out.
func (f *Front) refuse(code result.Code, reason string) *Answer {
	answer := &Answer{Code: code, Reason: reason}
	switch code {
	case result.NoConfig, result.StoreUnavailable, result.Busy, result.Draining, result.OutcomeUnknown:
		answer.RetryAfter = retryAfter
	}
	return answer
}

// note counts and logs an answer.
func (f *Front) note(kind string, v visit, a *Answer, began time.Time) Answer {
	took := time.Since(began)
	callTimes.Record(kind, took)
	calls.Add(kind+"_"+a.Code.String(), 1)
	age, _ := f.View.Age()
	attrs := []slog.Attr{
		slog.String("id", string(v.id)), slog.String("code", a.Code.String()), slog.String("team", string(v.team)),
		slog.Duration("took", took), slog.Duration("view_age", age),
	}
	if v.queue != nil {
		attrs = append(attrs, slog.String("queue", string(v.queue.Name)))
	}
	if a.State != "" {
		attrs = append(attrs, slog.String("state", string(a.State)))
	}
	if a.Reason != "" {
		attrs = append(attrs, slog.String("reason", a.Reason))
	}
	f.Log.Info(kind, attrs...)
	return *a
}
