package cancelday_test

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// checkpointInterval is the work after which a run has a new checkpoint, restoreTime
	// the time that a start from one takes.
	checkpointInterval = 500 * time.Millisecond
	restoreTime        = 100 * time.Millisecond
	// maxStopTime bounds the time of a stop.
	maxStopTime = 400 * time.Millisecond
	// gangWait is the time after which a member of a gang ends that waits for the others.
	gangWait = 4 * time.Second
	// maxLease is the longest lease of an endpoint.
	maxLease = 10 * time.Second
	// beatInterval is the time between two writes of an entry, entryExpiry the silence
	// after which the table removes it, and entryReturn the longest time for which it is
	// missing after an outage.
	beatInterval = 1500 * time.Millisecond
	entryExpiry  = 3 * beatInterval
	entryReturn  = 2 * time.Second
	// minOrderDelay and maxOrderDelay bound the delay of an order that gets no reply.
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
)

// startRecord is a start of a run as an endpoint sees it.
type startRecord struct {
	job, task string
	number    int
	fence     uint64
	endpoint  string
	domain    string
	// received is when the order arrived, began when it was executed, which is later for
	// an order that is executed late.
	received, began, ended time.Time
	late                   bool
	// stopReceived is when the first order to stop the run arrived.
	stopReceived time.Time
	outcome      string
	sender       *connection
}

// recorder collects the starts of all endpoints.
type recorder struct {
	mu      sync.Mutex
	starts  []*startRecord
	stops   int
	rejects map[string]int
	senders *senders
}

func (c *recorder) started(s *startRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, s)
}

// snapshot returns copies of the starts so far.
func (c *recorder) snapshot() []*startRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var starts []*startRecord
	for _, s := range c.starts {
		found := *s
		starts = append(starts, &found)
	}
	return starts
}

func (c *recorder) stopArrived(s *startRecord, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.stopReceived.IsZero() {
		s.stopReceived = at
	}
}

func (c *recorder) ended(s *startRecord, how string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ended, s.outcome = at, how
}

func (c *recorder) rejected(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejects[reason]++
}

// gangs coordinates the members of gangs on different endpoints.
type gangs struct {
	mu      sync.Mutex
	present map[string][]*activeRun
}

// endpoint is an endpoint of the platform.
type endpoint struct {
	id, domain, rack, kind, address string
	speed                           float64
	server                          *httptest.Server
	table                           *table
	recorder                        *recorder
	gangs                           *gangs
	born                            int64
	clockStart                      time.Time

	mu         sync.Mutex
	random     *rand.Rand
	lateOrders float64
	// heldUntil is when the endpoint's link delivers what it has held back; zero while it
	// holds back nothing.
	heldUntil  time.Time
	fence      uint64
	leaseEnd   int64
	running    map[string]*activeRun
	highest    map[string]int
	ended      [][5]any
	lastEnd    int64
	endedSince chan struct{}
}

type activeRun struct {
	*startRecord
	e *endpoint
	// doneBefore is the work of the checkpoint from which the run started; work the whole.
	doneBefore, work time.Duration
	// workingSince is zero while the run waits for its gang.
	workingSince time.Time
	checkpoints  bool
	gang         string
	timer        *time.Timer
	stopping     bool
}

type command struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Saved    string `json:"saved"`
	Ticket   string `json:"ticket"`
	Until    int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int64  `json:"last-seen"`
	Wait     int    `json:"wait-ms"`
}

func newEndpoint(number int, domain string, t *table, c *recorder, g *gangs, seed uint64) *endpoint {
	e := &endpoint{
		id: fmt.Sprintf("w-%03d", number), domain: domain, rack: fmt.Sprintf("r-%s-%d", domain, number/36), kind: []string{"a", "b"}[number%2],
		speed: []float64{0.8, 1, 1.25}[number%3], table: t, recorder: c, gangs: g, born: time.Now().UnixMilli(), clockStart: time.Now().Add(-time.Second),
		random: rand.New(rand.NewPCG(seed, uint64(5000+number))), running: map[string]*activeRun{}, highest: map[string]int{}, endedSince: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.order((*endpoint).start))
	mux.HandleFunc("POST /v1/run-stop", e.order((*endpoint).stop))
	mux.HandleFunc("POST /v1/hold", e.order((*endpoint).hold))
	e.server = httptest.NewUnstartedServer(mux)
	e.server.Config.ConnState = c.senders.note
	e.server.Start()
	e.address = e.server.Listener.Addr().String()
	return e
}

// beat writes the registry entry until stop is closed. After an outage that outlasts its
// expiry it is removed and returns within entryReturn.
func (e *endpoint) beat(stop chan struct{}) {
	e.mu.Lock()
	back := time.Duration(e.random.Int64N(int64(entryReturn)))
	e.mu.Unlock()
	written, removed, pause := time.Now(), false, time.Duration(0)
	for seq := 1; ; seq++ {
		switch {
		case e.table.refusing():
			pause = 100 * time.Millisecond
			if time.Since(written) > entryExpiry && !removed {
				removed = true
				e.table.put("servers", e.id, nil)
				back = time.Duration(rand.Int64N(int64(entryReturn)))
			}
		case removed:
			removed = false
			pause = back
			written = time.Now()
		default:
			e.table.put("servers", e.id, e.entry(seq))
			written, pause = time.Now(), beatInterval
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func (e *endpoint) entry(seq int) map[string]any {
	return map[string]any{
		"service": "recipe", "addr": e.address, "zone": e.domain, "version": "v1", "slots": 8, "state": "ready", "born": e.born,
		"capacity": map[string]any{"cpu": 16000, "mem-mb": 65536, "gpu": 0}, "labels": []string{e.kind, e.rack}, "seq": seq,
	}
}

func (e *endpoint) clock() int64 { return time.Since(e.clockStart).Milliseconds() }

// order decodes a command and passes it to do, which returns the reply. An order that is
// executed late gets no reply.
func (e *endpoint) order(do func(e *endpoint, cmd command, s *startRecord) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var cmd command
		if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("Expect-Instance") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		record := &startRecord{received: time.Now(), endpoint: e.id, domain: e.domain, sender: e.recorder.senders.of(r.RemoteAddr)}
		e.noteStop(r, cmd, record.received)
		e.waitForLink()
		e.mu.Lock()
		late, closed := e.random.Float64() < e.lateOrders, e.random.IntN(2) == 0
		delay := minOrderDelay + time.Duration(e.random.Int64N(int64(maxOrderDelay-minOrderDelay)))
		e.mu.Unlock()
		if late {
			record.late = true
			time.AfterFunc(delay, func() { do(e, cmd, record) })
			if !closed {
				loseReply(r)
			}
			panic(http.ErrAbortHandler)
		}
		record.late = time.Since(record.received) > linkDelay
		status, body := do(e, cmd, record)
		e.waitForLink()
		reply(w, status, body)
	}
}

// noteStop records the arrival of an order to stop a run.
func (e *endpoint) noteStop(r *http.Request, cmd command, at time.Time) {
	if r.URL.Path != "/v1/run-stop" {
		return
	}
	e.mu.Lock()
	run := e.running[cmd.Task]
	e.mu.Unlock()
	if run != nil && run.number <= cmd.Run {
		e.recorder.stopArrived(run.startRecord, at)
	}
}

// linkDelay is the delay from which an order counts as executed late.
const linkDelay = 100 * time.Millisecond

// holdLink holds back the endpoint's link for d and waits as long.
func (e *endpoint) holdLink(d time.Duration) {
	e.mu.Lock()
	e.heldUntil = time.Now().Add(d)
	e.mu.Unlock()
	time.Sleep(d)
}

// waitForLink waits while the link is held back.
func (e *endpoint) waitForLink() {
	e.mu.Lock()
	until := e.heldUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

// accept checks the fence. The caller holds the lock.
func (e *endpoint) accept(cmd command) bool {
	if cmd.Fence < e.fence {
		return false
	}
	e.fence = cmd.Fence
	return true
}

func (e *endpoint) reject(reason string) (int, any) {
	e.recorder.rejected(reason)
	return http.StatusConflict, map[string]any{"clock-ms": e.clock(), "born": e.born, "reason": reason}
}

func (e *endpoint) confirmed() (int, any) {
	return http.StatusOK, map[string]any{"clock-ms": e.clock(), "born": e.born}
}

func (e *endpoint) extend(until int64) {
	if until > 0 {
		e.leaseEnd = max(e.leaseEnd, min(until, e.clock()+maxLease.Milliseconds()))
	}
}

func (e *endpoint) start(cmd command, s *startRecord) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accept(cmd) {
		return e.reject("fence")
	}
	e.lapse()
	switch {
	case cmd.Until <= e.clock():
		return e.reject("late")
	case cmd.Run <= e.highest[cmd.Task]:
		e.extend(cmd.Until)
		return e.reject("old")
	case e.running[cmd.Task] != nil:
		e.extend(cmd.Until)
		return e.confirmed()
	case !e.ticketValid(cmd):
		return e.reject("ticket")
	}
	e.extend(cmd.Until)
	s.task, s.number, s.fence, s.began = cmd.Task, cmd.Run, cmd.Fence, time.Now()
	s.job, _, _ = strings.Cut(cmd.Task, ".")
	e.recorder.started(s)
	run := &activeRun{startRecord: s, e: e}
	run.plan(cmd)
	e.running[cmd.Task] = run
	if run.gang == "" {
		run.begin()
		return e.confirmed()
	}
	run.timer = time.AfterFunc(gangWait, func() { run.finish("alone") })
	go e.gangs.join(run, run.gangSize(cmd.Spec))
	return e.confirmed()
}

// ticketValid checks a ticket of the form step|endpoint|expiry.
func (e *endpoint) ticketValid(cmd command) bool {
	fields := strings.Split(cmd.Ticket, "|")
	if len(fields) != 3 {
		return false
	}
	expiry, err := strconv.ParseInt(fields[2], 10, 64)
	return err == nil && fields[1] == e.id && strings.HasPrefix(cmd.Task, fields[0]+".") && time.Now().UnixMilli() <= expiry
}

// plan reads the step's work from the spec: a list of steps work/flags/count, with the work
// in milliseconds, where the flag c means checkpoints and g a gang.
func (r *activeRun) plan(cmd command) {
	parts := strings.Split(cmd.Task, ".")
	step, _ := strconv.Atoi(parts[2])
	fields := strings.Split(strings.Split(cmd.Spec, ";")[step], "/")
	ms, _ := strconv.Atoi(fields[0])
	spread := 0.6 + 0.8*float64(hash(cmd.Task)%1000)/1000
	r.work = time.Duration(float64(ms) * spread * r.e.speed * float64(time.Millisecond))
	r.checkpoints = strings.Contains(fields[1], "c")
	if strings.Contains(fields[1], "g") {
		r.gang = strings.Join(parts[:3], ".") + "/" + strconv.Itoa(cmd.Run)
		r.work = time.Duration(float64(ms) * float64(time.Millisecond))
	}
	if cmd.Saved != "" {
		saved, _ := strconv.Atoi(strings.TrimLeft(cmd.Saved, "s"))
		r.doneBefore = time.Duration(saved) * time.Millisecond
	}
}

func (r *activeRun) gangSize(spec string) int {
	step, _ := strconv.Atoi(strings.Split(r.task, ".")[2])
	n, _ := strconv.Atoi(strings.Split(strings.Split(spec, ";")[step], "/")[2])
	return n
}

// begin starts the work. The caller holds the endpoint's lock.
func (r *activeRun) begin() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.workingSince = time.Now()
	left := max(r.work-r.doneBefore, 0)
	if r.doneBefore > 0 {
		left += restoreTime
	}
	r.timer = time.AfterFunc(left, func() { r.finish("done") })
}

func (r *activeRun) finish(how string) {
	r.e.mu.Lock()
	defer r.e.mu.Unlock()
	r.e.lapse()
	if r.e.running[r.task] == r {
		r.e.end(r, how, time.Now())
	}
}

// done returns the work done so far.
func (r *activeRun) done() time.Duration {
	if r.workingSince.IsZero() {
		return r.doneBefore
	}
	worked := time.Since(r.workingSince)
	if r.doneBefore > 0 {
		worked -= restoreTime
	}
	return min(r.doneBefore+max(worked, 0), r.work)
}

func (r *activeRun) saved(exact bool) string {
	if !r.checkpoints {
		return ""
	}
	done := r.done()
	if !exact {
		done = done.Truncate(checkpointInterval)
	}
	if done == 0 {
		return ""
	}
	return fmt.Sprintf("s%d", done.Milliseconds())
}

// join begins the work of a gang once all members are present.
func (g *gangs) join(r *activeRun, size int) {
	g.mu.Lock()
	g.present[r.gang] = append(g.present[r.gang], r)
	members := append([]*activeRun(nil), g.present[r.gang]...)
	g.mu.Unlock()
	if len(members) < size {
		return
	}
	for _, m := range members {
		m.e.mu.Lock()
		if m.e.running[m.task] == m && m.workingSince.IsZero() {
			m.begin()
		}
		m.e.mu.Unlock()
	}
}

// leave ends the other members of a gang of which one has not ended as done.
func (g *gangs) leave(r *activeRun) {
	g.mu.Lock()
	members := g.present[r.gang]
	delete(g.present, r.gang)
	g.mu.Unlock()
	for _, m := range members {
		if m != r {
			m.finish("broken")
		}
	}
}

// end ends a run. The caller holds the lock.
func (e *endpoint) end(r *activeRun, how string, at time.Time) {
	if r.timer != nil {
		r.timer.Stop()
	}
	saved := r.saved(how == "stopped")
	delete(e.running, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ended = append(e.ended, [5]any{e.lastEnd, r.task, r.number, how, saved})
	e.recorder.ended(r.startRecord, how, at)
	close(e.endedSince)
	e.endedSince = make(chan struct{})
	if r.gang != "" && how != "done" {
		go e.gangs.leave(r)
	}
}

// lapse ends all runs once the lease has lapsed. The caller holds the lock.
func (e *endpoint) lapse() {
	if e.leaseEnd == 0 || e.clock() < e.leaseEnd {
		return
	}
	for _, r := range e.running {
		e.end(r, "lapsed", e.clockStart.Add(time.Duration(e.leaseEnd)*time.Millisecond))
	}
}

func (e *endpoint) stop(cmd command, _ *startRecord) (int, any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.accept(cmd) {
		return e.reject("fence")
	}
	e.recorder.mu.Lock()
	e.recorder.stops++
	e.recorder.mu.Unlock()
	r := e.running[cmd.Task]
	if r == nil || r.number > cmd.Run {
		e.highest[cmd.Task] = max(e.highest[cmd.Task], cmd.Run)
		return e.confirmed()
	}
	if !r.stopping {
		r.stopping = true
		time.AfterFunc(time.Duration(e.random.Int64N(int64(maxStopTime))), func() { r.finish("stopped") })
	}
	return e.confirmed()
}

func (e *endpoint) hold(cmd command, _ *startRecord) (int, any) {
	end := time.NewTimer(time.Duration(cmd.Wait) * time.Millisecond)
	defer end.Stop()
	expired := cmd.Wait == 0
	for {
		e.mu.Lock()
		if !e.accept(cmd) {
			e.mu.Unlock()
			return e.reject("fence")
		}
		e.lapse()
		e.extend(cmd.Until)
		for len(e.ended) > 0 && e.ended[0][0].(int64) <= cmd.LastSeen {
			e.ended = e.ended[1:]
		}
		if len(e.ended) > 0 || expired {
			body := map[string]any{"clock-ms": e.clock(), "born": e.born, "running": e.runningRows(), "ended": append([][5]any{}, e.ended[:min(len(e.ended), 500)]...)}
			e.mu.Unlock()
			return http.StatusOK, body
		}
		changed := e.endedSince
		e.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			expired = true
		}
	}
}

func (e *endpoint) runningRows() []any {
	rows := []any{}
	for _, r := range e.running {
		percent := 100 * r.done() / max(r.work, 1)
		rows = append(rows, [5]any{r.task, r.number, r.saved(false), int(min(percent, 99)), 0})
	}
	return rows
}

func (e *endpoint) setLateOrders(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lateOrders = share
}

func (e *endpoint) expireLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
}

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

// newAdvice starts an advice service. The share of eligible endpoints depends on the job's
// class, the last digit of its ID.
func newAdvice() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		class := classOf(q.Step)
		time.Sleep(time.Duration((class.adviceMS + class.advicePerEndpointMS*float64(len(q.Workers))) * float64(time.Millisecond)))
		eligible := [][2]string{}
		for _, id := range q.Workers {
			if float64(hash(q.Step+id)%1000) < 1000*class.eligible {
				eligible = append(eligible, [2]string{id, fmt.Sprintf("%s|%s|%d", q.Step, id, time.Now().Add(ticketTime).UnixMilli())})
			}
		}
		reply(w, http.StatusOK, map[string]any{"good": eligible, "valid-ms": ticketTime.Milliseconds()})
	}))
}

// ticketTime is how long a ticket is valid.
const ticketTime = 2 * time.Second
