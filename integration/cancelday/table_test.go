package cancelday_test

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// writeTime is the time of a transaction, callTime that of the rest of a call.
	writeTime = 3 * time.Millisecond
	callTime  = time.Millisecond
	// partInterval is the time between two transactions of one part, maxPartWait the
	// longest wait for it.
	partInterval = time.Second / 300
	maxPartWait  = time.Second
	// historyAge is how long changes are kept for feeds.
	historyAge = 20 * time.Second
	// hangTime is the time after which a connection is closed on which a reply is lost.
	hangTime = 20 * time.Second
)

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type expectedRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Version *uint64 `json:"ver"`
}

type txn struct {
	Expect []expectedRow `json:"expect-rev"`
	Puts   []row         `json:"puts"`
	Remove []row         `json:"remove"`
}

// tableFaults are the faults of a table: whether it replies 503 to every call, the factor
// by which calls take longer, and the probabilities that the reply of a call is lost and
// that a transaction without a reply is executed later.
type tableFaults struct {
	refuse     bool
	slowdown   float64
	lost, late float64
}

type partName struct{ table, part string }

type change struct {
	row row
	at  time.Time
}

// tableHistory contains the changes of one table.
type tableHistory struct {
	changes []change
	start   uint64
	changed chan struct{}
}

// table is a table service that is fast enough for 33 instances.
type table struct {
	address string
	server  *httptest.Server

	mu        sync.Mutex
	faults    tableFaults
	random    *rand.Rand
	parts     map[partName]map[string]row
	histories map[string]*tableHistory
	version   uint64
	nextWrite map[string]time.Time
	startedAt time.Time
	counts    map[string]int
}

func newTable(seed uint64) *table {
	t := &table{
		parts: map[partName]map[string]row{}, histories: map[string]*tableHistory{}, nextWrite: map[string]time.Time{},
		startedAt: time.Now(), random: rand.New(rand.NewPCG(seed, 77)), counts: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", t.commit)
	mux.HandleFunc("GET /v1/rows-get", t.get)
	mux.HandleFunc("GET /v1/rows-feed", t.feed)
	t.server = httptest.NewServer(mux)
	t.address = t.server.Listener.Addr().String()
	return t
}

func (t *table) setFaults(f tableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

func (t *table) refusing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults.refuse
}

// draw counts the call and returns the faults that apply to it.
func (t *table) draw(name string) (refuse, lost, late bool, slowdown float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[name]++
	f := t.faults
	slowdown = max(f.slowdown, 1)
	return f.refuse, t.random.Float64() < f.lost, t.random.Float64() < f.late, slowdown
}

func (t *table) now() int64 { return 1000 + time.Since(t.startedAt).Milliseconds() }

// put writes a row as an operator or an endpoint would; a nil value deletes it.
func (t *table) put(name, key string, value any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := row{Table: name, Key: key}
	if value == nil {
		t.apply(nil, []row{r})
		return
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	r.Value = raw
	t.apply([]row{r}, nil)
}

func (t *table) history(name string) *tableHistory {
	h := t.histories[name]
	if h == nil {
		h = &tableHistory{changed: make(chan struct{})}
		t.histories[name] = h
	}
	return h
}

func (t *table) apply(puts, removed []row) {
	t.version++
	touched := map[*tableHistory]bool{}
	add := func(r row) {
		r.Version = t.version
		h := t.history(r.Table)
		h.changes = append(h.changes, change{r, time.Now()})
		touched[h] = true
		name := partName{r.Table, r.Part}
		if t.parts[name] == nil {
			t.parts[name] = map[string]row{}
		}
		if r.Tombstone {
			delete(t.parts[name], r.Key)
		} else {
			t.parts[name][r.Key] = r
		}
	}
	for _, r := range puts {
		add(r)
	}
	for _, r := range removed {
		r.Tombstone, r.Value = true, nil
		add(r)
	}
	for h := range touched {
		close(h.changed)
		h.changed = make(chan struct{})
		for len(h.changes) > 0 && time.Since(h.changes[0].at) > historyAge {
			h.start = h.changes[0].row.Version
			h.changes = h.changes[1:]
		}
	}
}

// tryCommit executes the transaction if its conditions hold.
func (t *table) tryCommit(x *txn) (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range x.Expect {
		have := t.parts[partName{e.Table, e.Part}][e.Key].Version
		if e.Version != nil && *e.Version != have {
			return t.version, false
		}
	}
	t.apply(x.Puts, x.Remove)
	return t.version, true
}

// reserve returns when a transaction of the part may take effect; false if too many wait.
func (t *table) reserve(part string, slowdown float64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.nextWrite[part]
	if now := time.Now(); next.Before(now) {
		next = now
	}
	if time.Until(next) > maxPartWait {
		return next, false
	}
	t.nextWrite[part] = next.Add(partInterval)
	return next.Add(time.Duration(slowdown * float64(writeTime))), true
}

func (t *table) commit(w http.ResponseWriter, r *http.Request) {
	var x txn
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	refuse, lost, late, slowdown := t.draw("write")
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if late {
		t.mu.Lock()
		delay := time.Second + time.Duration(t.random.Int64N(int64(5*time.Second)))
		t.mu.Unlock()
		time.AfterFunc(delay, func() { t.tryCommit(&x) })
		loseReply(r)
	}
	part := ""
	if len(x.Puts) > 0 {
		part = x.Puts[0].Part
	} else if len(x.Expect) > 0 {
		part = x.Expect[0].Part
	}
	at, ok := t.reserve(part, slowdown)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(time.Until(at))
	version, done := t.tryCommit(&x)
	if lost {
		loseReply(r)
	}
	status := http.StatusOK
	if !done {
		status = http.StatusPreconditionFailed
	}
	reply(w, status, map[string]any{"rows": []row{}, "ver": version, "now-ms": t.now()})
}

// loseReply keeps the call without a reply until the client gives it up.
func loseReply(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(hangTime):
	}
	panic(http.ErrAbortHandler)
}

func (t *table) get(w http.ResponseWriter, r *http.Request) {
	refuse, lost, _, slowdown := t.draw("read")
	if refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(slowdown * float64(callTime)))
	q := r.URL.Query()
	rows := []row{}
	t.mu.Lock()
	part := t.parts[partName{q.Get("table"), q.Get("part")}]
	from, to, limit := q.Get("from"), q.Get("to"), 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	if limit == 1 && from != "" && part[from].Version > 0 {
		rows = append(rows, part[from])
	} else {
		for key, found := range part {
			if key >= from && (to == "" || key < to) {
				rows = append(rows, found)
			}
		}
		sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	}
	version := t.version
	t.mu.Unlock()
	if lost {
		loseReply(r)
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "more-pages": len(rows) > limit, "ver": version, "now-ms": t.now()})
}

func (t *table) feed(w http.ResponseWriter, r *http.Request) {
	refuse, lost, _, slowdown := t.draw("feed")
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if refuse || err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(slowdown * float64(callTime)))
	wait, err := strconv.Atoi(q.Get("wait-ms"))
	if err != nil {
		wait = 0
	}
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	expired := false
	for {
		rows, version, gone, changed := t.since(q.Get("table"), after)
		switch {
		case t.refusing():
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0 || expired:
			if lost {
				loseReply(r)
			}
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": version, "now-ms": t.now()})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			expired = true
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (t *table) since(name string, after uint64) (rows []row, version uint64, gone bool, changed chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.history(name)
	if after < h.start {
		return nil, 0, true, nil
	}
	first := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].row.Version > after })
	rows = []row{}
	for _, c := range h.changes[first:] {
		rows = append(rows, c.row)
	}
	return rows, t.version, false, h.changed
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
