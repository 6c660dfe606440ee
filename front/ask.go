package front

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// readers is the number of threads that read the table for callers.
	readers = 4
	// readerRing is the number of questions that may wait for one of them.
	readerRing = 128
	// readTimeout bounds one read.
	readTimeout = 1200 * time.Millisecond
	// queuesAge is how old the numbers of waiting jobs may be; callers are
	// told numbers of up to 2 s ago, and the holder writes every 0.7 s.
	queuesAge = 500 * time.Millisecond
	// finalsKept is the number of final states that are remembered.
	finalsKept = 8192
)

// question asks for a job's status.
type question struct {
	id    jobs.ID
	reply chan statusReply
}

type statusReply struct {
	status jobs.Status
	answer *Answer
}

func newReaders(f *Front) []*duty.Duty[*question] {
	var all []*duty.Duty[*question]
	for number := range readers {
		all = append(all, duty.NewCalling("reader"+strconv.Itoa(number), readerRing, duty.HandlerFunc[*question](func(batch []*question) time.Duration {
			for _, q := range batch {
				status, answer := f.status(f.ctx, q.id)
				q.reply <- statusReply{status, answer}
			}
			return duty.Never
		})))
	}
	return all
}

// State tells the state of a job, or the waiting jobs of the queue when the path
// names no job.
func (f *Front) State(ctx context.Context, c Caller) Answer {
	began := time.Now()
	v, refused := f.admit(ctx, c)
	if refused != nil {
		return f.note("state", v, refused, began)
	}
	if v.id == "" {
		answer := f.waiting(v)
		return f.note("waiting", v, &answer, began)
	}
	answer := f.state(v)
	return f.note("state", v, &answer, began)
}

func (f *Front) state(v visit) Answer {
	status, known := f.finals.get(v.id)
	if !known {
		found := f.read(v)
		if found.answer != nil {
			return *found.answer
		}
		status = found.status
	}
	if !status.Belongs(v.team, v.queue.Name) {
		return *f.refuse(result.UnknownRequest, "there is no such job")
	}
	return Answer{Code: result.OK, State: status.State}
}

// read asks a reader with room and waits for its reply.
func (f *Front) read(v visit) statusReply {
	q := &question{id: v.id, reply: make(chan statusReply, 1)}
	first := f.Parts.Of(v.id)
	sent := false
	for i := range f.readers {
		if sent = f.readers[(first+i)%len(f.readers)].Offer(q); sent {
			break
		}
	}
	if !sent {
		return statusReply{answer: f.refuse(result.Busy, "too many questions wait")}
	}
	timer := time.NewTimer(time.Until(v.limit))
	defer timer.Stop()
	select {
	case found := <-q.reply:
		return found
	case <-timer.C:
		return statusReply{answer: f.refuse(result.StoreUnavailable, "the table did not answer in time")}
	}
}

// status reads what is known of a job: its outcome once it has begun, and before
// that the row of its acceptance.
func (f *Front) status(parent context.Context, id jobs.ID) (jobs.Status, *Answer) {
	ctx, cancel := context.WithTimeout(parent, readTimeout)
	defer cancel()
	var status jobs.Status
	row, err := f.Table.Get(ctx, holder.OutcomeKey(id))
	if eris.Is(err, storage.ErrNotFound) {
		row, err = f.Table.Get(ctx, f.Parts.Key(holder.AcceptedTable, id))
	}
	if eris.Is(err, storage.ErrNotFound) {
		return status, f.refuse(result.UnknownRequest, "there is no such job")
	}
	if err != nil {
		return status, f.refuse(result.StoreUnavailable, err.Error())
	}
	if err := json.Unmarshal(row.Value, &status); err != nil {
		f.Log.Error("status_unreadable", slog.String("key", row.Key), slog.Any("error", err))
		return status, f.refuse(result.StoreUnavailable, "the job's status can't be read")
	}
	if status.State.Final() {
		f.finals.add(id, status)
	}
	return status, nil
}

// queuesCache holds the row of the waiting jobs for a moment.
type queuesCache struct {
	// mu guards the fields: callers' threads share one copy.
	mu      sync.Mutex
	asked   time.Time
	waiting map[jobs.QueueName]int
}

func (f *Front) waiting(v visit) Answer {
	f.queues.mu.Lock()
	defer f.queues.mu.Unlock()
	now := f.Clock.Now()
	if f.queues.waiting == nil || now.Sub(f.queues.asked) > queuesAge {
		if refused := f.readQueues(now); refused != nil {
			return *refused
		}
	}
	return Answer{Code: result.OK, Waiting: f.queues.waiting[v.queue.Name]}
}

func (f *Front) readQueues(now time.Time) *Answer {
	ctx, cancel := context.WithTimeout(f.ctx, readTimeout)
	defer cancel()
	var found holder.Queues
	row, err := f.Table.Get(ctx, holder.QueuesKey)
	switch {
	case eris.Is(err, storage.ErrNotFound):
	case err != nil:
		return f.refuse(result.StoreUnavailable, err.Error())
	default:
		if err := json.Unmarshal(row.Value, &found); err != nil {
			return f.refuse(result.StoreUnavailable, "the numbers of waiting jobs can't be read")
		}
	}
	f.queues.asked, f.queues.waiting = now, found.Waiting
	if f.queues.waiting == nil {
		f.queues.waiting = map[jobs.QueueName]int{}
	}
	return nil
}

// finals remembers final states, which don't change.
type finals struct {
	// mu guards the fields: callers' threads and readers share them.
	mu    sync.Mutex
	kept  map[jobs.ID]jobs.Status
	order []jobs.ID
	next  int
}

func newFinals() *finals {
	return &finals{kept: map[jobs.ID]jobs.Status{}, order: make([]jobs.ID, finalsKept)}
}

func (c *finals) get(id jobs.ID) (jobs.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, known := c.kept[id]
	return status, known
}

func (c *finals) add(id jobs.ID, status jobs.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.kept[id]; known {
		return
	}
	delete(c.kept, c.order[c.next])
	c.order[c.next] = id
	c.next = (c.next + 1) % len(c.order)
	c.kept[id] = status
}
