//go:build review3

package main

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a worker of the platform. What a task does is in its spec: "ms=N" is the time
// that it works, "fail" makes it end as failed then, and "daemon" makes it run until it is
// stopped.
type worker struct {
	s      *site
	id     string
	labels []string
	zone   string
	server *httptest.Server
	cpu    int64

	mu       sync.Mutex
	born     int64
	began    time.Time
	gone     bool
	down     bool
	draining bool
	seq      int
	fence    uint64
	leaseEnd int64
	running  map[string]*work
	highest  map[string]int
	ended    [][5]any
	lastEnd  int64
	changed  chan struct{}
}

// work is a task that runs.
type work struct {
	task, spec string
	run        int
	began      time.Time
	duration   time.Duration
	timer      *time.Timer
}

const (
	maxHold = 10 * time.Second
	// expirePeriod is the period in which leases are checked.
	expirePeriod = 10 * time.Millisecond
)

func (s *site) addWorker(id, kind, rack string) *worker {
	w := &worker{
		s: s, id: id, labels: []string{kind, rack}, zone: "langley", cpu: 16000, born: time.Now().UnixMilli(), began: time.Now().Add(-time.Second),
		running: map[string]*work{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	w.server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		down := w.down
		w.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(rw, r)
	}))
	w.server.Config.ErrorLog = log.New(io.Discard, "", 0)
	s.workers = append(s.workers, w)
	w.beat()
	w.expire()
	return w
}

// setDraining changes the state of the worker and registers it.
func (w *worker) setDraining(draining bool) {
	w.mu.Lock()
	w.draining = draining
	w.mu.Unlock()
	w.register()
}

func (w *worker) isGone() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone
}

// beat registers the worker now and with each heartbeat.
func (w *worker) beat() {
	w.register()
	if !w.isGone() {
		time.AfterFunc(heartbeat, w.beat)
	}
}

func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	w.s.table.Put("servers", w.id, map[string]any{
		"service": service, "addr": w.server.Listener.Addr().String(), "zone": w.zone, "state": state, "born": w.born, "version": "1",
		"slots": 8, "cold-left-ms": 0, "seq": w.seq, "labels": w.labels,
		"capacity": map[string]any{"cpu": w.cpu, "mem-mb": 65536, "gpu": 0},
	})
}

// end ends the worker for good: what runs there is killed and its port is closed. Its entry
// is removed after three heartbeats.
func (w *worker) end() {
	w.mu.Lock()
	if w.gone {
		w.mu.Unlock()
		return
	}
	w.gone = true
	for _, r := range w.running {
		r.timer.Stop()
		w.s.log("worker %s: %s#%d ends with the worker", w.id, r.task, r.run)
	}
	w.running = map[string]*work{}
	w.mu.Unlock()
	w.server.CloseClientConnections()
	_ = w.server.Listener.Close()
	time.AfterFunc(3*heartbeat, func() { w.s.table.Put("servers", w.id, nil) })
	w.s.log("worker %s is gone", w.id)
}

// restart makes the worker crash and start again under its ID after the given time.
func (w *worker) restart(down time.Duration) {
	w.mu.Lock()
	w.down = true
	for _, r := range w.running {
		r.timer.Stop()
		w.s.log("worker %s: %s#%d ends with the worker", w.id, r.task, r.run)
	}
	w.running = map[string]*work{}
	w.mu.Unlock()
	w.s.log("worker %s crashes", w.id)
	w.server.CloseClientConnections()
	time.Sleep(down)
	w.mu.Lock()
	w.down, w.born, w.began = false, time.Now().UnixMilli(), time.Now()
	w.fence, w.leaseEnd, w.highest, w.ended, w.lastEnd, w.seq = 0, 0, map[string]int{}, nil, 0, 0
	w.mu.Unlock()
	w.s.log("worker %s is back, born %d", w.id, w.born)
	w.register()
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

// expire kills what runs when the lease ends.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	if w.clock() > w.leaseEnd {
		for _, r := range w.running {
			w.finish(r, "lapsed")
		}
	}
	time.AfterFunc(expirePeriod, w.expire)
}

// finish moves the work to the list of ends.
func (w *worker) finish(r *work, how string) {
	r.timer.Stop()
	delete(w.running, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, [5]any{w.lastEnd, r.task, r.run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
	w.s.log("worker %s: %s#%d ends %s", w.id, r.task, r.run, how)
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

// read decodes an order and checks its instance and its fence. The caller holds mu.
func (w *worker) read(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.answer(rw, http.StatusBadRequest, nil)
		return o, false
	}
	w.mu.Lock()
	if r.Header.Get("Expect-Instance") != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, nil)
		w.mu.Unlock()
		return o, false
	}
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		w.mu.Unlock()
		return o, false
	}
	w.fence = o.Fence
	return o, true
}

func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock-ms"], body["born"] = w.clock(), w.born
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Instance-Id", w.id)
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	present := w.running[o.Task]
	switch {
	case present != nil && present.run == o.Run:
		w.answer(rw, http.StatusOK, nil)
	case o.Deadline <= w.clock():
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
	case present != nil || o.Run <= w.highest[o.Task]:
		w.extend(o.Deadline)
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
	default:
		w.extend(o.Deadline)
		w.begin(o)
		w.answer(rw, http.StatusOK, nil)
	}
}

func (w *worker) begin(o order) {
	r := &work{task: o.Task, spec: o.Spec, run: o.Run, began: time.Now(), duration: time.Hour}
	how := "done"
	for _, word := range strings.Fields(o.Spec) {
		if ms, found := strings.CutPrefix(word, "ms="); found {
			n, _ := strconv.Atoi(ms)
			r.duration = time.Duration(n) * time.Millisecond
		}
		if word == "fail" {
			how = "failed"
		}
	}
	w.running[o.Task] = r
	w.s.begun.Add(1)
	w.s.log("worker %s: %s#%d starts (%.20s)", w.id, r.task, r.run, r.spec)
	r.timer = time.AfterFunc(r.duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[r.task] == r {
			w.finish(r, how)
		}
	})
}

// failTask ends the run of the task as failed, as a task that lasts may at any time.
func (w *worker) failTask(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.running[task]; r != nil {
		w.finish(r, "failed")
	}
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.run <= o.Run {
		w.finish(r, "stopped")
	}
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(o.Deadline)
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.LastSeen {
		if w.ended[0][3] == "done" {
			w.s.log("worker %s: %s#%d noted done", w.id, w.ended[0][1], w.ended[0][2])
		}
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.Wait) * time.Millisecond):
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, r := range w.running {
		percent := min(100, 100*time.Since(r.began).Milliseconds()/max(1, r.duration.Milliseconds()))
		if strings.Contains(r.spec, "daemon") {
			percent = 0
			if time.Since(r.began) > 200*time.Millisecond {
				percent = 100
			}
		}
		running = append(running, []any{r.task, r.run, "", percent, 0})
	}
	ended := append([][5]any{}, w.ended[:min(500, len(w.ended))]...)
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// tasks returns the number of tasks that run here, and whether the given one does.
func (w *worker) tasks(task string) (count int, runs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running), w.running[task] != nil
}
