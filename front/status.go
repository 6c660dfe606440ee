package front

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/holder"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/storage"
)

const (
	// readerCount is the number of threads that read the table for callers.
	readerCount = 4
	// readerRing is the number of status requests that may wait for one reader.
	readerRing = 128
	// readTimeout bounds the table calls of one read.
	readTimeout = 1200 * time.Millisecond
	// queuesCacheTime is how long the numbers of waiting jobs are cached. Callers may
	// get numbers that are up to 2 s old, and the holder writes them every 0.7 s.
	queuesCacheTime = 500 * time.Millisecond
	// queuesMaxAge is the age of the holder's numbers of waiting jobs beyond which they
	// are not given to callers.
	queuesMaxAge = 2*time.Second - queuesCacheTime
	// maxFinalStatuses is the number of final statuses in the cache.
	maxFinalStatuses = 8192
)

// statusRequest is a message to a reader: a request for a job's status.
type statusRequest struct {
	id    jobs.ID
	reply chan statusResult
}

// statusResult is the status of a job with the version of its row, or the answer to a call
// that is refused.
type statusResult struct {
	status  jobs.Status
	version storage.RowVersion
	answer  *Answer
}

func newReaders(f *Front) []*duty.Duty[*statusRequest] {
	var all []*duty.Duty[*statusRequest]
	for number := range readerCount {
		all = append(all, duty.NewCalling("reader"+strconv.Itoa(number), readerRing, duty.HandlerFunc[*statusRequest](func(batch []*statusRequest) time.Duration {
			for _, request := range batch {
				request.reply <- f.loadStatus(f.ctx, request.id)
			}
			return duty.Never
		})))
	}
	return all
}

// State returns the state of a job, or the number of waiting jobs of the queue when
// the path names no job.
func (f *Front) State(ctx context.Context, c Caller) Answer {
	began := time.Now()
	call, refused := f.admitQuery(ctx, c)
	if refused != nil {
		return f.recordAnswer("state", call, refused, began)
	}
	if call.id == "" {
		answer := f.waiting(call)
		return f.recordAnswer("waiting", call, &answer, began)
	}
	answer := f.state(call)
	return f.recordAnswer("state", call, &answer, began)
}

func (f *Front) state(call admittedCall) Answer {
	status, cached := f.finalStatuses.get(call.id)
	if !cached {
		found := f.readStatus(call)
		if found.answer != nil {
			return *found.answer
		}
		status = found.status
		if f.belongsTo(status, call.team, call.queue.Name) {
			status = f.awaitChange(call, status)
		}
	}
	if status.Barred || !f.belongsTo(status, call.team, call.queue.Name) {
		return *f.refuse(result.UnknownRequest, "there is no such job")
	}
	return Answer{Code: result.OK, State: status.State, StateReason: status.Reason}
}

// readStatus sends a request to a reader whose ring has space and waits for the
// result until the deadline of the call.
func (f *Front) readStatus(call admittedCall) statusResult {
	request := &statusRequest{id: call.id, reply: make(chan statusResult, 1)}
	first := f.Parts.Of(call.id)
	sent := false
	for i := range f.readers {
		if sent = f.readers[(first+i)%len(f.readers)].Offer(request); sent {
			break
		}
	}
	if !sent {
		return statusResult{answer: f.refuse(result.Busy, "too many questions wait")}
	}
	timer := time.NewTimer(time.Until(call.deadline))
	defer timer.Stop()
	select {
	case found := <-request.reply:
		return found
	case <-timer.C:
		return statusResult{answer: f.refuse(result.StoreUnavailable, "the table did not answer in time")}
	}
}

// loadStatus reads the status of a job from the table: from its outcome row once the
// job has begun, and before that from its accepted row.
func (f *Front) loadStatus(parent context.Context, id jobs.ID) statusResult {
	ctx, cancel := context.WithTimeout(parent, readTimeout)
	defer cancel()
	var status jobs.Status
	row, err := f.Table.Get(ctx, holder.OutcomeKey(id))
	if eris.Is(err, storage.ErrNotFound) {
		row, err = f.Table.Get(ctx, f.Parts.Key(holder.AcceptedTable, id))
	}
	if eris.Is(err, storage.ErrNotFound) {
		return statusResult{answer: f.refuse(result.UnknownRequest, "there is no such job")}
	}
	if err != nil {
		return statusResult{answer: f.refuse(result.StoreUnavailable, err.Error())}
	}
	if err := json.Unmarshal(row.Value, &status); err != nil {
		f.Log.Error("status_unreadable", slog.String("key", row.Key), slog.Any("error", err))
		return statusResult{answer: f.refuse(result.StoreUnavailable, "the job's status can't be read")}
	}
	if status.State.Final() {
		f.finalStatuses.add(id, status)
	}
	return statusResult{status: status, version: row.Version}
}

// queuesCache caches the numbers of waiting jobs for queuesCacheTime.
type queuesCache struct {
	// reads makes callers that arrive during a read share its result. If each made
	// its own, the last of many would wait for the timeouts of all others.
	reads singleflight.Group
	// mu guards the fields below, which callers' threads share.
	mu          sync.Mutex
	requestedAt time.Time
	// waiting is not changed once it is set; nil before the first read.
	waiting map[jobs.QueueName]int
}

// get returns the cached numbers, or nil if they are older than queuesCacheTime.
func (c *queuesCache) get(now time.Time) map[jobs.QueueName]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.requestedAt) > queuesCacheTime {
		return nil
	}
	return c.waiting
}

func (c *queuesCache) set(requestedAt time.Time, waiting map[jobs.QueueName]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedAt, c.waiting = requestedAt, waiting
}

// queuesRead is the result of a read: the numbers of waiting jobs, or the answer to
// a call that is refused.
type queuesRead struct {
	waiting map[jobs.QueueName]int
	refused *Answer
}

// waiting returns the number of waiting jobs of the call's queue. It takes no longer
// than one read.
func (f *Front) waiting(call admittedCall) Answer {
	read, _, _ := f.waitingJobs.reads.Do("", func() (any, error) { return f.readQueues(), nil })
	found, _ := read.(queuesRead)
	if found.refused != nil {
		return *found.refused
	}
	return Answer{Code: result.OK, Waiting: found.waiting[call.queue.Name]}
}

// readQueues returns the numbers of waiting jobs from the cache or the table.
func (f *Front) readQueues() queuesRead {
	now := f.Clock.Now()
	if cached := f.waitingJobs.get(now); cached != nil {
		return queuesRead{waiting: cached}
	}
	ctx, cancel := context.WithTimeout(f.ctx, readTimeout)
	defer cancel()
	var found holder.Queues
	row, err := f.Table.Get(ctx, holder.QueuesKey)
	switch {
	case eris.Is(err, storage.ErrNotFound):
	case err != nil:
		return queuesRead{refused: f.refuse(result.StoreUnavailable, err.Error())}
	default:
		if err := json.Unmarshal(row.Value, &found); err != nil {
			return queuesRead{refused: f.refuse(result.StoreUnavailable, "the numbers of waiting jobs can't be read")}
		}
	}
	if age, known := f.ageOf(found.PublishedAt); known && age > queuesMaxAge {
		return queuesRead{refused: f.refuse(result.StoreUnavailable, "the numbers of waiting jobs are "+age.String()+" old")}
	}
	if found.Waiting == nil {
		found.Waiting = map[jobs.QueueName]int{}
	}
	f.waitingJobs.set(now, found.Waiting)
	return queuesRead{waiting: found.Waiting}
}

// ageOf returns the age of what was written at the time; false if it is not known.
func (f *Front) ageOf(at storage.TableTime) (time.Duration, bool) {
	now, known := f.TableClock.TableNow()
	if !known || at == 0 {
		return 0, false
	}
	return time.Duration(now-at) * time.Millisecond, true
}

// finalStatusCache caches final statuses, which don't change. When it is full, it
// evicts the oldest entry.
type finalStatusCache struct {
	// mu guards the fields, which callers' threads and readers share.
	mu       sync.Mutex
	statuses map[jobs.ID]jobs.Status
	ids      []jobs.ID
	next     int
}

func newFinalStatusCache() *finalStatusCache {
	return &finalStatusCache{statuses: map[jobs.ID]jobs.Status{}, ids: make([]jobs.ID, maxFinalStatuses)}
}

func (c *finalStatusCache) get(id jobs.ID) (jobs.Status, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	status, cached := c.statuses[id]
	return status, cached
}

func (c *finalStatusCache) add(id jobs.ID, status jobs.Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, cached := c.statuses[id]; cached {
		return
	}
	delete(c.statuses, c.ids[c.next])
	c.ids[c.next] = id
	c.next = (c.next + 1) % len(c.ids)
	c.statuses[id] = status
}
