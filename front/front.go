// Package front handles the calls of callers: it checks their keys, accepts and
// cancels jobs by writing them to the table, and returns the states of jobs. It is
// independent of the transport; an adapter translates calls and answers.
package front

import (
	"context"
	"expvar"
	"log/slog"
	"strings"
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
	// defaultTimeout bounds a call for which neither the queue nor the caller sets
	// a timeout.
	defaultTimeout = 3 * time.Second
	// readyMaxAge is the age of the view beyond which the instance is not ready for
	// new connections. The feed confirms the view every 1.5 s.
	readyMaxAge = 3500 * time.Millisecond
	// retryAfter is the time after which a refused caller should retry.
	retryAfter = time.Second
	// maxWriters is the number of threads that write jobs. Each writes only some of
	// the parts, so that a slow write delays only these.
	maxWriters = 8
	// maxLabels bounds the number of labels of callTimes, which are kinds of call.
	maxLabels = 128
)

var (
	callTimes = metrics.NewHistograms("call_time_by_kind", maxLabels)
	calls     = expvar.NewMap("front")
	// queueCalls counts calls by queue, kind and result code.
	queueCalls = expvar.NewMap("front_by_queue")
)

// Caller identifies the caller and the queue of a call.
type Caller struct {
	// Key is the caller's key; empty for none.
	Key string
	// Host and Path select the queue. The rest of Path after the queue's prefix is
	// the id of the job.
	Host, Path string
}

// Answer is the answer to a call.
type Answer struct {
	Code result.Code
	// Reason is the cause when Code is not result.OK.
	Reason string
	// State is the state of the job, if the call is about one.
	State jobs.State
	// StateReason is why the job has failed or was cancelled. It is logged, not sent.
	StateReason string
	// Basis is what the acknowledgement of a cancel rests on, and Version the version of the
	// row that shows it. They are logged, not sent.
	Basis   Basis
	Version storage.RowVersion
	// Waiting is the number of waiting jobs, if the call is about a queue.
	Waiting int
	// RetryAfter is the time after which to retry; 0 where a retry would not help.
	RetryAfter time.Duration
}

// Options configures a front.
type Options struct {
	// Parts is the number of parts over which the rows of jobs are spread.
	Parts holder.Parts
	View  *view.View
	Table storage.FeedTable
	// TableClock dates the holder's rows.
	TableClock storage.TableClock
	// Clock is monotonic, Wall is the time of day.
	Clock, Wall clock.Clock
	Log         *logging.Logger
	// StatusWait is how long a query of a running job's state waits for a change; 0 for no
	// wait.
	StatusWait time.Duration
}

// Front handles the calls that callers make to one instance.
type Front struct {
	Options
	ctx           context.Context
	writers       []*submissionWriter
	readers       []*duty.Duty[*statusRequest]
	load          *loadReader
	finalStatuses *finalStatusCache
	waitingJobs   queuesCache
	statusWaits   statusWaits
}

// New returns a front whose duties have not been started. Cancelling ctx ends their
// table calls.
func New(ctx context.Context, o Options) *Front {
	f := &Front{Options: o, ctx: ctx, finalStatuses: newFinalStatusCache()}
	for number := range min(maxWriters, max(int(o.Parts), 1)) {
		f.writers = append(f.writers, newSubmissionWriter(f, number))
	}
	f.readers = newReaders(f)
	f.load = newLoadReader(f)
	return f
}

// Duties returns the submission writers, the readers and the reader of the cell's load; the caller runs them.
func (f *Front) Duties() []duty.Runner {
	all := []duty.Runner{f.load}
	for _, w := range f.writers {
		all = append(all, w)
	}
	for _, r := range f.readers {
		all = append(all, r)
	}
	return all
}

// Ready reports whether the instance is ready for new connections: it has a
// configuration, which the table has confirmed within readyMaxAge.
func (f *Front) Ready() bool {
	age, confirmed := f.View.Age()
	return confirmed && age < readyMaxAge && f.View.Catalog() != nil
}

// Limits returns the bounds of callers' requests; false if there is no configuration
// yet.
func (f *Front) Limits() (catalog.Limits, bool) {
	c := f.View.Catalog()
	if c == nil {
		return catalog.Limits{}, false
	}
	return c.Limits, true
}

// admittedCall is a call that has passed admit.
type admittedCall struct {
	queue    *catalog.Queue
	team     model.TeamName
	id       jobs.ID
	deadline time.Time
}

// admit checks the key and the queue of the call against the configuration in force.
// It returns the answer to a call that is refused.
func (f *Front) admit(ctx context.Context, c Caller) (admittedCall, *Answer) {
	current := f.View.Catalog()
	if current == nil {
		return admittedCall{}, f.refuse(result.NoConfig, "the instance has no configuration yet")
	}
	queue, rest := current.QueueFor(c.Host, c.Path)
	if queue == nil {
		return admittedCall{}, f.refuse(result.UnknownClass, "there is no such queue")
	}
	team, known := current.Keys[c.Key]
	if !known && !queue.Open {
		return admittedCall{}, f.refuse(result.BadKey, "the key is missing, unknown or withdrawn")
	}
	if queue.Open && !known {
		team = ""
	}
	return admittedCall{queue: queue, team: team, id: jobs.ID(rest), deadline: f.deadlineOf(ctx, queue)}, nil
}

// reaches reports whether calls for the queue are about the jobs of the other one: it is the
// same, or one of them has left the configuration. The jobs of a queue that has left can be
// reached only through the one that has taken its host and prefix, and a call that was admitted
// before may be for the former of the two.
func (f *Front) reaches(queue, other jobs.QueueName) bool {
	queues := f.View.Catalog().Queues
	return queue == other || queues[other] == nil || queues[queue] == nil
}

// belongsTo reports whether a job with the status belongs to the team, and calls for the queue
// reach it.
func (f *Front) belongsTo(status jobs.Status, team model.TeamName, queue jobs.QueueName) bool {
	return status.Team == string(team) && f.reaches(queue, status.Queue)
}

// admitQuery is admit for a call about an accepted job. A path below those of the queue's jobs
// names a queue that this instance does not know, or no longer.
func (f *Front) admitQuery(ctx context.Context, c Caller) (admittedCall, *Answer) {
	call, refused := f.admit(ctx, c)
	if refused == nil && strings.Contains(string(call.id), "/") {
		return admittedCall{}, f.refuse(result.UnknownClass, "there is no such queue")
	}
	return call, refused
}

func (f *Front) deadlineOf(ctx context.Context, queue *catalog.Queue) time.Time {
	timeout := queue.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	latest := time.Now().Add(timeout)
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Before(latest) {
		latest = deadline
	}
	return latest
}

// refuse returns an answer with the code and the reason. It sets RetryAfter where a
// retry may succeed.
func (f *Front) refuse(code result.Code, reason string) *Answer {
	answer := &Answer{Code: code, Reason: reason}
	switch code {
	case result.NoConfig, result.StoreUnavailable, result.Busy, result.Draining, result.OutcomeUnknown:
		answer.RetryAfter = retryAfter
	}
	return answer
}

// recordAnswer adds the answer to the metrics, logs it and returns it.
func (f *Front) recordAnswer(kind string, call admittedCall, a *Answer, began time.Time) Answer {
	took := time.Since(began)
	callTimes.Record(kind, took)
	calls.Add(kind+"_"+a.Code.String(), 1)
	age, _ := f.View.Age()
	attrs := []slog.Attr{
		slog.String("id", string(call.id)), slog.String("code", a.Code.String()), slog.String("team", string(call.team)),
		slog.Duration("took", took), slog.Duration("view_age", age),
	}
	if call.queue != nil {
		queueCalls.Add(string(call.queue.Name)+"/"+kind+"/"+a.Code.String(), 1)
		attrs = append(attrs, slog.String("queue", string(call.queue.Name)))
	}
	if kind == "waiting" && a.Code == result.OK {
		attrs = append(attrs, slog.Int("waiting", a.Waiting))
	}
	if a.State != "" {
		attrs = append(attrs, slog.String("state", string(a.State)))
	}
	if a.Reason != "" {
		attrs = append(attrs, slog.String("reason", a.Reason))
	}
	if a.StateReason != "" {
		attrs = append(attrs, slog.String("state_reason", a.StateReason))
	}
	if a.Basis != "" {
		attrs = append(attrs, slog.String("basis", string(a.Basis)), slog.Uint64("version", uint64(a.Version)))
	}
	f.Log.Info(kind, attrs...)
	return *a
}
