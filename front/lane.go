package front

import (
	"context"
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
)

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
	l.Duty = duty.NewCalling("lane"+strconv.Itoa(number), laneRing, duty.HandlerFunc[*submission](l.handle))
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
	err := l.write(accepted, false)
	if len(batch) > 1 && (eris.Is(err, storage.ErrConflict) || eris.Is(err, errSettledConflict)) {
		// A try without an answer may have accepted all of them.
		doubtful := eris.Is(err, errSettledConflict)
		for _, s := range batch {
			s.reply <- l.answer(s.job, l.write([]*jobs.Job{s.job}, doubtful))
		}
		return
	}
	for _, s := range batch {
		s.reply <- l.answer(s.job, err)
	}
}

// write creates the rows of the jobs on condition that none is there. doubtful
// says that an earlier write of them may have taken effect.
func (l *lane) write(list []*jobs.Job, doubtful bool) error {
	var txn storage.Txn
	for _, job := range list {
		accepted := l.f.Parts.Key(holder.AcceptedTable, job.ID)
		txn.Checks = append(txn.Checks, storage.Check{Key: accepted})
		txn.Writes = append(txn.Writes,
			storage.Write{Key: l.f.Parts.Key(holder.JobsTable, job.ID), Value: storage.Encode(job)},
			storage.Write{Key: accepted, Value: storage.Encode(jobs.Status{State: jobs.Queued, Team: string(job.Team), Queue: job.Queue})})
	}
	return l.commit(txn, doubtful)
}

// errSettledConflict is a conflict after a try without an answer, which may be
// what the write conflicts with.
var errSettledConflict = eris.New("conflict after a try without an answer")

// commit tries the write until it has an answer. ErrUnavailable means that
// there is none and the write, or an earlier one in doubt, may take effect.
func (l *lane) commit(txn storage.Txn, doubtful bool) error {
	var err error
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
	case err == nil:
		l.fire(evAnswered)
	case eris.Is(err, storage.ErrConflict):
		l.fire(evAnswered)
		if doubtful {
			return errSettledConflict
		}
	case eris.Is(err, storage.ErrRefused):
		l.fire(evUnanswered)
		if doubtful {
			return eris.Wrapf(storage.ErrUnavailable, "an earlier try got no answer; then: %v", err)
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
	case eris.Is(err, storage.ErrConflict) || eris.Is(err, errSettledConflict):
		return l.repeated(job)
	default:
		return l.unwritten(err)
	}
}

// unwritten returns the answer for a write that failed: nothing was done, or
// nobody knows.
func (l *lane) unwritten(err error) Answer {
	if eris.Is(err, storage.ErrRefused) {
		return *l.f.refuse(result.StoreUnavailable, err.Error())
	}
	return *l.f.refuse(result.OutcomeUnknown, err.Error())
}

// repeated answers a submission whose id is known.
func (l *lane) repeated(job *jobs.Job) Answer {
	status, answer := l.f.status(l.f.ctx, job.ID)
	switch {
	case answer != nil:
		// A row with this id is there; who owns it can't be told now.
		return *l.f.refuse(result.OutcomeUnknown, "the job's row could not be read")
	case !status.Belongs(job.Team, job.Queue):
		return *l.f.refuse(result.KeyReused, "the id belongs to another job")
	default:
		return Answer{Code: result.OK, State: status.State}
	}
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
