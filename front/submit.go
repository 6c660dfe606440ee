package front

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// laneRing is the number of submissions that may wait in one lane.
	laneRing = 256
	// laneBatch is the number of jobs written together; each has two rows, and
	// a write takes 100 entries.
	laneBatch = 30
	// laneBytes bounds the rows of one write; the table takes 1 MB.
	laneBytes = 500 << 10
	// writeTimeout bounds one try of a write; a slow table takes a second.
	writeTimeout = 1200 * time.Millisecond
	// writeTries is how often a write without an answer is tried: a repetition
	// settles whether the first took effect.
	writeTries = 2
	// probePeriod is how often a lane asks a table that is away.
	probePeriod = 200 * time.Millisecond
	// maxSpec is the size of the largest specification in bytes.
	maxSpec = 4000
	// maxTasks bounds the tasks of a job.
	maxTasks = 100000
)

// submission is a job to be written, or one to be cancelled.
type submission struct {
	job    *jobs.Job
	cancel bool
	reply  chan Answer
	// taken is set by whoever decides what the caller is told: the lane when
	// it begins to write, or the caller's thread when it gives up before.
	taken atomic.Bool
}

// Submit accepts the job, or says why not. The job's id and team are set here.
func (f *Front) Submit(ctx context.Context, c Caller, job *jobs.Job) Answer {
	began := time.Now()
	v, refused := f.admit(ctx, c)
	if refused != nil {
		return f.note("submit", v, refused, began)
	}
	if problem := check(v.id, job); problem != "" {
		return f.note("submit", v, f.refuse(result.Malformed, problem), began)
	}
	job.ID, job.Team, job.Queue = v.id, v.team, v.queue.Name
	job.Accepted = f.Wall.Now().UnixMilli()
	answer := f.hand(v, &submission{job: job, reply: make(chan Answer, 1)})
	return f.note("submit", v, &answer, began)
}

// Cancel ends the job, or says that it is not known.
func (f *Front) Cancel(ctx context.Context, c Caller) Answer {
	began := time.Now()
	v, refused := f.admit(ctx, c)
	if refused != nil {
		return f.note("cancel", v, refused, began)
	}
	job := &jobs.Job{ID: v.id, Team: v.team, Queue: v.queue.Name}
	answer := f.hand(v, &submission{job: job, cancel: true, reply: make(chan Answer, 1)})
	return f.note("cancel", v, &answer, began)
}

// hand gives the submission to its lane and waits for the answer.
func (f *Front) hand(v visit, s *submission) Answer {
	l := f.lanes[f.Parts.Of(v.id)%len(f.lanes)]
	if l.away.Load() {
		return *f.refuse(result.StoreUnavailable, "the table does not answer")
	}
	if !l.Offer(s) {
		return *f.refuse(result.Busy, "too many submissions wait")
	}
	timer := time.NewTimer(time.Until(v.limit))
	defer timer.Stop()
	select {
	case answer := <-s.reply:
		return answer
	case <-timer.C:
	}
	if s.taken.CompareAndSwap(false, true) {
		return *f.refuse(result.StoreUnavailable, "the table did not answer in time")
	}
	return *f.refuse(result.OutcomeUnknown, "the table did not answer in time")
}

// check returns what is wrong with a job; empty if nothing is.
func check(id jobs.ID, job *jobs.Job) string {
	switch {
	case id == "" || len(id) > 64:
		return "the job's id is missing or too long"
	case len(job.Spec) > maxSpec:
		return "the specification is too long"
	case len(job.Steps) == 0:
		return "the job has no steps"
	case job.Occurrences < 0 || job.Occurrences > 0 && job.Interval < 0:
		return "the schedule is not valid"
	}
	tasks := 0
	for i := range job.Steps {
		step := &job.Steps[i]
		tasks += step.Count
		if step.Count < 1 || tasks > maxTasks {
			return "the number of tasks is not valid"
		}
		for _, before := range step.After {
			if before < 0 || before >= i {
				return "a step waits for one that is not before it"
			}
		}
	}
	return ""
}

// lane is the duty that writes the submissions of some parts.
type lane struct {
	*duty.Duty[*submission]
	f     *Front
	state chart.State
	// away tells the callers' threads that the table does not answer.
	away    atomic.Bool
	probeAt time.Time
}

var tableChart *chart.Machine[lane]

var evAnswered, evUnanswered chart.Event

var tableAway chart.State

func init() {
	tableChart = chart.MustBind(charts.MustLoad("front_table"),
		chart.Guards[lane]{},
		chart.Actions[lane]{"note_lost": (*lane).noteLost, "note_regained": (*lane).noteRegained})
	evAnswered = tableChart.MustEvent("answered")
	evUnanswered = tableChart.MustEvent("unanswered")
	tableAway = tableChart.MustState("away")
}

func newLane(f *Front, number int) *lane {
	l := &lane{f: f}
	tableChart.Start(&l.state, l)
	l.Duty = duty.New("lane"+strconv.Itoa(number), laneRing, duty.HandlerFunc[*submission](l.handle))
	return l
}

func (l *lane) noteLost() {
	l.away.Store(true)
	l.f.Log.Warn("table_lost", slog.String("lane", l.Name()))
}

func (l *lane) noteRegained() {
	l.away.Store(false)
	l.f.Log.Info("table_regained", slog.String("lane", l.Name()))
}

func (l *lane) handle(batch []*submission) time.Duration {
	for len(batch) > 0 {
		n := l.fits(batch)
		l.work(batch[:n])
		batch = batch[n:]
	}
	if l.state == tableAway {
		l.probe()
		return probePeriod
	}
	return duty.Never
}

// fits returns how many submissions go into one write.
func (l *lane) fits(batch []*submission) int {
	size := 0
	for i, s := range batch {
		size += len(s.job.Spec) + 200*len(s.job.Steps)
		if i > 0 && (i >= laneBatch || size > laneBytes) {
			return i
		}
	}
	return len(batch)
}

// work writes the submissions whose callers still wait.
func (l *lane) work(batch []*submission) {
	var accept []*submission
	for _, s := range batch {
		if !s.taken.CompareAndSwap(false, true) {
			continue
		}
		switch {
		case l.state == tableAway:
			s.reply <- *l.f.refuse(result.StoreUnavailable, "the table does not answer")
		case s.cancel:
			s.reply <- l.cancel(s.job)
		default:
			accept = append(accept, s)
		}
	}
	for _, part := range l.byPart(accept) {
		l.accept(part)
	}
}

// byPart groups submissions by the part of their rows: a write of several parts
// takes twice as long and waits for all of them.
func (l *lane) byPart(batch []*submission) [][]*submission {
	var groups [][]*submission
	at := map[int]int{}
	for _, s := range batch {
		part := l.f.Parts.Of(s.job.ID)
		i, found := at[part]
		if !found {
			i = len(groups)
			at[part] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], s)
	}
	return groups
}

// accept writes the jobs together. If one of them is known already, each is
// written by itself.
func (l *lane) accept(batch []*submission) {
	accepted := make([]*jobs.Job, 0, len(batch))
	for _, s := range batch {
		accepted = append(accepted, s.job)
	}
	err := l.write(accepted)
	if len(batch) > 1 && eris.Is(err, storage.ErrConflict) {
		for _, s := range batch {
			s.reply <- l.answer(s.job, l.write([]*jobs.Job{s.job}))
		}
		return
	}
	for _, s := range batch {
		s.reply <- l.answer(s.job, err)
	}
}

// write creates the rows of the jobs on condition that none is there.
func (l *lane) write(list []*jobs.Job) error {
	var txn storage.Txn
	for _, job := range list {
		accepted := l.f.Parts.Key(holder.AcceptedTable, job.ID)
		txn.Checks = append(txn.Checks, storage.Check{Key: accepted})
		txn.Writes = append(txn.Writes,
			storage.Write{Key: l.f.Parts.Key(holder.JobsTable, job.ID), Value: holder.Encode(job)},
			storage.Write{Key: accepted, Value: holder.Encode(jobs.Status{State: jobs.Queued, Team: string(job.Team), Queue: job.Queue})})
	}
	return l.commit(txn)
}

// commit tries the write until it has an answer. ErrUnavailable means that
// there is none and the write may take effect later.
func (l *lane) commit(txn storage.Txn) error {
	var err error
	doubtful := false
	for range writeTries {
		ctx, cancel := context.WithTimeout(l.f.ctx, writeTimeout)
		err = l.f.Table.Commit(ctx, txn)
		cancel()
		if !eris.Is(err, storage.ErrUnavailable) {
			break
		}
		doubtful = true
	}
	switch {
	case err == nil || eris.Is(err, storage.ErrConflict):
		l.fire(evAnswered)
	case eris.Is(err, storage.ErrRefused):
		l.fire(evUnanswered)
		if doubtful {
			return eris.Wrap(storage.ErrUnavailable, err.Error())
		}
	default:
		l.fire(evUnanswered)
	}
	return err
}

func (l *lane) fire(event chart.Event) { tableChart.Fire(&l.state, event, l) }

// answer returns what the caller of a submission is told.
func (l *lane) answer(job *jobs.Job, err error) Answer {
	switch {
	case err == nil:
		return Answer{Code: result.OK, State: jobs.Queued}
	case eris.Is(err, storage.ErrConflict):
		return l.repeated(job)
	case eris.Is(err, storage.ErrRefused):
		return *l.f.refuse(result.StoreUnavailable, err.Error())
	default:
		return *l.f.refuse(result.OutcomeUnknown, err.Error())
	}
}

// repeated answers a submission whose id is known.
func (l *lane) repeated(job *jobs.Job) Answer {
	status, answer := l.f.status(l.f.ctx, job.ID)
	switch {
	case answer != nil:
		// A row with this id is there; who owns it can't be told now.
		return *l.f.refuse(result.OutcomeUnknown, "the job's row could not be read")
	case status.Team != string(job.Team) || status.Queue != job.Queue:
		return *l.f.refuse(result.KeyReused, "the id belongs to another job")
	default:
		return Answer{Code: result.OK, State: status.State}
	}
}

// cancel marks the job's row.
func (l *lane) cancel(wanted *jobs.Job) Answer {
	ctx, cancel := context.WithTimeout(l.f.ctx, writeTimeout)
	defer cancel()
	key := l.f.Parts.Key(holder.JobsTable, wanted.ID)
	row, err := l.f.Table.Get(ctx, key)
	if eris.Is(err, storage.ErrNotFound) {
		return l.cancelEnded(wanted)
	}
	if err != nil {
		l.fire(evUnanswered)
		return *l.f.refuse(result.StoreUnavailable, err.Error())
	}
	var job jobs.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		l.f.Log.Error("job_unreadable", slog.String("key", key), slog.Any("error", err))
		return *l.f.refuse(result.UnknownRequest, "the job's row can't be read")
	}
	if job.Team != wanted.Team || job.Queue != wanted.Queue {
		return *l.f.refuse(result.UnknownRequest, "there is no such job")
	}
	if job.Cancelled {
		return Answer{Code: result.OK, State: jobs.Cancelled}
	}
	job.Cancelled = true
	return l.writeCancel(key, row.Version, &job)
}

func (l *lane) writeCancel(key string, version storage.RowVersion, job *jobs.Job) Answer {
	err := l.commit(storage.Txn{
		Checks: []storage.Check{{Key: key, Version: version}},
		Writes: []storage.Write{{Key: key, Value: holder.Encode(job)}},
	})
	switch {
	case err == nil:
		return Answer{Code: result.OK, State: jobs.Cancelled}
	case eris.Is(err, storage.ErrConflict):
		// The row was cancelled by an earlier try or another caller, or the
		// job has ended.
		return l.cancelEnded(job)
	case eris.Is(err, storage.ErrRefused):
		return *l.f.refuse(result.StoreUnavailable, err.Error())
	default:
		return *l.f.refuse(result.OutcomeUnknown, err.Error())
	}
}

// cancelEnded answers for a job that has no row to mark any more.
func (l *lane) cancelEnded(wanted *jobs.Job) Answer {
	status, answer := l.f.status(l.f.ctx, wanted.ID)
	if answer != nil {
		return *answer
	}
	if status.Team != string(wanted.Team) || status.Queue != wanted.Queue {
		return *l.f.refuse(result.UnknownRequest, "there is no such job")
	}
	return Answer{Code: result.OK, State: status.State}
}

// probe asks the table whether it is back.
func (l *lane) probe() {
	now := l.f.Clock.Now()
	if now.Before(l.probeAt) {
		return
	}
	l.probeAt = now.Add(probePeriod)
	ctx, cancel := context.WithTimeout(l.f.ctx, writeTimeout)
	defer cancel()
	_, err := l.f.Table.Get(ctx, holder.QueuesKey)
	if err == nil || eris.Is(err, storage.ErrNotFound) {
		l.fire(evAnswered)
	}
}
