//go:build review

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	// registrationLife is how long the entry of a silent worker stays: three
	// heartbeat intervals.
	registrationLife = 3 * heartbeat
	endsPage         = 500
)

// taskRun is what the workers saw of one run of a task.
type taskRun struct {
	task, worker, how string
	job               string
	number            int
	cpu               int64
	began, ended      time.Time
	// noted is set when the end was acknowledged and the worker's lease had not expired
	// since the end.
	noted time.Time
}

// runs collects the runs on all workers.
type runs struct {
	record *record
	mu     sync.Mutex
	all    []*taskRun
}

func (r *runs) begin(task string, number int, worker string) *taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &taskRun{task: task, number: number, worker: worker, began: time.Now()}
	run.job, _, _ = cut(task)
	r.all = append(r.all, run)
	r.record.add("%s run %d begins on %s", task, number, worker)
	return run
}

func (r *runs) end(run *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.ended, run.how = time.Now(), how
	r.record.add("%s run %d ends on %s: %s", run.task, run.number, run.worker, how)
}

func (r *runs) note(run *taskRun, lapsedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lapsedAt.Before(run.ended) {
		run.noted = time.Now()
	}
}

// snapshot returns copies of all runs.
func (r *runs) snapshot() []taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]taskRun, 0, len(r.all))
	for _, run := range r.all {
		list = append(list, *run)
	}
	return list
}

func cut(task string) (job, rest string, found bool) {
	for i := range len(task) {
		if task[i] == '.' {
			return task[:i], task[i+1:], true
		}
	}
	return task, "", false
}

// behaviour tells how long a task runs and how it ends: "done" or "failed".
type behaviour func(spec string) (time.Duration, string)

type worker struct {
	s          *site
	id         string
	rack       string
	kind       string
	address    string
	generation int

	mu         sync.Mutex
	up         bool
	server     *http.Server
	born       int64
	clockStart time.Time
	fence      uint64
	leaseEnd   int64
	lapsedAt   time.Time
	running    map[string]*liveRun
	highest    map[string]int
	ended      []endRow
	lastEnd    int64
	changed    chan struct{}
	behave     behaviour
	seq        int
	closed     bool
}

type liveRun struct {
	*taskRun
	timer *time.Timer
	// length is the time that the run takes.
	length time.Duration
}

type endRow struct {
	number int64
	run    *taskRun
}

func newWorker(s *site, id, rack string) (*worker, error) {
	addresses, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	w := &worker{s: s, id: id, rack: rack, kind: "a", address: addresses[0]}
	w.behave = func(string) (time.Duration, string) { return 800 * time.Millisecond, "done" }
	s.group.Serve(func(ctx context.Context) error {
		w.heartbeats(ctx)
		return nil
	})
	return w, w.boot()
}

// boot starts a new incarnation, which knows nothing of an earlier one.
func (w *worker) boot() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.fence, w.leaseEnd, w.lastEnd, w.seq = true, 0, 0, 0, 0
	w.running, w.highest, w.ended = map[string]*liveRun{}, map[string]int{}, nil
	w.born, w.clockStart, w.changed = time.Now().UnixMilli(), time.Now(), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.s.group.Serve(func(context.Context) error {
		_ = server.Serve(listener)
		return nil
	})
	w.s.table.Put("servers", w.id, w.entry())
	w.s.record.add("worker %s is up at %s", w.id, w.address)
	return nil
}

// reboot starts the worker again after the given time. It retries while another socket
// uses the address.
func (w *worker) reboot(ctx context.Context, down time.Duration) {
	sleep(ctx, down)
	for ctx.Err() == nil && w.boot() != nil {
		sleep(ctx, 20*time.Millisecond)
	}
}

// crash ends the worker without a word: everything that runs on it ends, and what it
// knows is gone.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for _, r := range w.running {
		r.timer.Stop()
		w.s.runs.end(r.taskRun, "gone")
	}
	w.running = map[string]*liveRun{}
	server, id := w.server, w.id
	w.mu.Unlock()
	w.s.record.add("worker %s crashes", id)
	_ = server.Close()
	w.s.group.Serve(func(ctx context.Context) error {
		sleep(ctx, registrationLife)
		if !w.isUp(id) {
			w.s.table.Put("servers", id, nil)
		}
		return nil
	})
}

// rename gives the next incarnation an id of its own.
func (w *worker) rename() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.generation++
	w.id = w.id[:4] + "-" + strconv.Itoa(w.generation)
}

func (w *worker) isUp(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up && w.id == id
}

func (w *worker) close() {
	w.mu.Lock()
	w.closed, w.up = true, false
	server := w.server
	w.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (w *worker) entry() map[string]any {
	w.seq++
	return map[string]any{
		"service": "recipe-svc", "addr": w.address, "zone": "north", "version": "1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "seq": w.seq, "born": w.born, "labels": []string{w.kind, w.rack},
		"capacity": map[string]any{"cpu": 16000, "mem-mb": 65536, "gpu": 0},
	}
}

func (w *worker) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, heartbeat)
		w.mu.Lock()
		if w.up {
			w.s.table.Put("servers", w.id, w.entry())
		}
		w.mu.Unlock()
	}
}

func (w *worker) clock() int64 { return time.Since(w.clockStart).Milliseconds() }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// read decodes an order and checks its incarnation and fence. It holds w.mu on
// success.
func (w *worker) read(out http.ResponseWriter, in *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if in.Header.Get("Expect-Instance") != w.id {
		w.mu.Unlock()
		out.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if o.Fence < w.fence {
		w.reply(out, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return o, false
	}
	w.fence = o.Fence
	w.lapse()
	return o, true
}

func (w *worker) reply(out http.ResponseWriter, status int, body map[string]any) {
	body["clock-ms"], body["born"] = w.clock(), w.born
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+holdMax.Milliseconds()))
}

func (w *worker) start(out http.ResponseWriter, in *http.Request) {
	o, ok := w.read(out, in)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if o.Deadline <= w.clock() {
		w.reply(out, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	w.extend(o.Deadline)
	if o.Run <= w.highest[o.Task] {
		w.reply(out, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	key := o.Task + "#" + strconv.Itoa(o.Run)
	if w.running[key] == nil {
		length, how := w.behave(o.Spec)
		r := &liveRun{taskRun: w.s.runs.begin(o.Task, o.Run, w.id), length: length}
		born := w.born
		r.timer = time.AfterFunc(length, func() { w.finish(key, born, how) })
		w.running[key] = r
	}
	w.reply(out, http.StatusOK, map[string]any{})
}

func (w *worker) finish(key string, born int64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.born != born {
		return
	}
	w.lapse()
	if r := w.running[key]; r != nil {
		w.end(key, r, how)
	}
}

func (w *worker) end(key string, r *liveRun, how string) {
	r.timer.Stop()
	delete(w.running, key)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ended = append(w.ended, endRow{number: w.lastEnd, run: r.taskRun})
	w.s.runs.end(r.taskRun, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// lapse ends everything once the lease has expired.
func (w *worker) lapse() {
	if w.leaseEnd == 0 || w.clock() < w.leaseEnd {
		return
	}
	w.lapsedAt = time.Now()
	for key, r := range w.running {
		w.end(key, r, "lapsed")
	}
}

func (w *worker) stop(out http.ResponseWriter, in *http.Request) {
	o, ok := w.read(out, in)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	key := o.Task + "#" + strconv.Itoa(o.Run)
	if r := w.running[key]; r != nil {
		w.end(key, r, "stopped")
	}
	w.reply(out, http.StatusOK, map[string]any{})
}

func (w *worker) hold(out http.ResponseWriter, in *http.Request) {
	o, ok := w.read(out, in)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(o.Deadline)
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		w.s.runs.note(w.ended[0].run, w.lapsedAt)
		w.ended = w.ended[1:]
	}
	born, until := w.born, time.Now().Add(time.Duration(o.Wait)*time.Millisecond)
	for len(w.ended) == 0 && time.Now().Before(until) {
		changed := w.changed
		w.mu.Unlock()
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-in.Context().Done():
		}
		timer.Stop()
		w.mu.Lock()
		if w.born != born || !w.up || in.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		w.lapse()
	}
	w.reply(out, http.StatusOK, map[string]any{"running": w.runningRows(), "ended": w.endedRows()})
}

func (w *worker) runningRows() []any {
	rows := []any{}
	for _, r := range w.running {
		percent := min(99, int(100*time.Since(r.began)/max(r.length, 1)))
		rows = append(rows, [5]any{r.task, r.number, "", percent, 0})
	}
	return rows
}

func (w *worker) endedRows() []any {
	rows := []any{}
	for _, e := range w.ended[:min(len(w.ended), endsPage)] {
		rows = append(rows, [5]any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	return rows
}
