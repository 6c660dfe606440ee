//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["link"] = narrowLink }

// link delays the bytes between a node and the table as a link of the given rate does.
type link struct {
	rate float64
	mu   sync.Mutex
	free [2]time.Time
}

func (l *link) pass(direction, size int) {
	l.mu.Lock()
	now := time.Now()
	if l.free[direction].Before(now) {
		l.free[direction] = now
	}
	l.free[direction] = l.free[direction].Add(time.Duration(float64(size) / l.rate * float64(time.Second)))
	at := l.free[direction]
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

func (l *link) copy(direction int, from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.pass(direction, n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func newLink(to string, rate float64) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l := &link{rate: rate}
	time.AfterFunc(0, func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			_ = far.(*net.TCPConn).SetReadBuffer(64 << 10)
			time.AfterFunc(0, func() { l.copy(0, near, far) })
			time.AfterFunc(0, func() { l.copy(1, far, near) })
		}
	})
	return listener.Addr().String(), nil
}

// gateway serves the table with the retention of the platform: a feed from a version that is
// older than retainTime gets 410. It returns its address.
func (s *site) gateway() string {
	target := &url.URL{Scheme: "http", Host: s.table.Address}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	var oldest atomic.Uint64
	s.sample(&oldest)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if r.URL.Path == "/v1/rows-feed" && err == nil && after < oldest.Load() {
			w.WriteHeader(http.StatusGone)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	return server.Listener.Addr().String()
}

// sample reads the version of the table each second and stores it retainTime later.
func (s *site) sample(oldest *atomic.Uint64) {
	response, err := http.Get("http://" + s.table.Address + "/v1/rows-get?table=op&part=&limit=1")
	if err == nil {
		var found struct {
			Version uint64 `json:"ver"`
		}
		if json.NewDecoder(response.Body).Decode(&found) == nil {
			time.AfterFunc(retainTime, func() { oldest.Store(found.Version) })
		}
		_ = response.Body.Close()
	}
	time.AfterFunc(time.Second, func() { s.sample(oldest) })
}

const (
	// retainTime is the time for which the table keeps its history, retain-s.
	retainTime = 20 * time.Second
	// smallLink is the rate of the links of the machines with 0.192 of a core, 10 Mbit/s, in
	// bytes a second, largeLink that of those with 0.8, 200 Mbit/s.
	smallLink, largeLink = 10e6 / 8, 200e6 / 8
	// jobPeriod is the time between two jobs: 111 a second.
	jobPeriod = 9 * time.Millisecond
	// jobBytes is the size of a job's spec.
	jobBytes = 2300
	// recoverTime is the time in which the cell has to serve again after all is back,
	// recover-s.
	recoverTime = 15 * time.Second
	// finishTime is the time after the traffic in which jobs are asked for, finish_s.
	finishTime = 14 * time.Second
	// askedJobs is the number of jobs whose state is asked for then.
	askedJobs = 20
)

// narrowLink loses the largest instance, which holds the cell, under the usual traffic. Those
// that are left have narrow links.
func narrowLink(s *site) (bool, error) {
	for i := range 16 {
		s.addWorker(fmt.Sprintf("i-%02d", i), "a", fmt.Sprintf("r%d", i/2))
	}
	s.configure(1, route{name: "label-verify", prefix: "/label/", priority: 0, objectiveMS: 3000})
	table := s.gateway()
	s.links = map[string]string{}
	for name, rate := range map[string]float64{"edge-1": largeLink, "edge-2": smallLink, "edge-3": smallLink} {
		address, err := newLink(table, rate)
		if err != nil {
			return false, err
		}
		s.links[name] = address
	}
	if err := s.startNodesOf("0.8", "0.192", "0.192"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	t := &traffic{s: s, began: begin, until: begin.Add(55 * time.Second)}
	t.send()
	time.Sleep(12 * time.Second)
	holder := s.holder()
	if holder != s.nodes[0] {
		return false, fmt.Errorf("the largest instance does not hold the cell")
	}
	if s.trouble {
		s.log("disruption: %s, which holds the cell, is lost for good", holder.name)
		t.lost.Store(true)
		holder.kill()
	}
	time.Sleep(recoverTime)
	const size, id = 500, "00000000000f0000"
	if err := s.submitAt(s.nodes[1], "/label/", id, "daemon", step{Count: 1, CPU: size, Memory: 64, Daemon: true}); err != nil {
		return false, err
	}
	idle := s.watchTask(id+".0.0.0", time.Now(), 15*time.Second, size)
	time.Sleep(time.Until(t.until.Add(finishTime)))
	_, total := s.runningAt("")
	s.log("check: %d jobs accepted, %d not; %d jobs have begun; %d tasks run", t.accepted.Load(), t.refused.Load(), s.begun.Load(), total)
	queued := 0
	for i := range askedJobs {
		if _, text := s.call(s.nodes[1], "GET", fmt.Sprintf("/label/%016x", t.next-i), nil); strings.Contains(text, "queued") {
			queued++
		}
	}
	s.log("check: %d of the last %d jobs are queued %.0f s after the traffic", queued, askedJobs, finishTime.Seconds())
	return idle > idleTime, nil
}

// traffic hands in a job each jobPeriod.
type traffic struct {
	s                 *site
	began, until      time.Time
	next              int
	lost              atomic.Bool
	accepted, refused atomic.Int64
}

func (t *traffic) send() {
	if time.Now().After(t.until) {
		return
	}
	t.next++
	next, s := t.next, t.s
	time.AfterFunc(time.Until(t.began.Add(time.Duration(t.next)*jobPeriod)), t.send)
	n := s.nodes[next%3]
	if t.lost.Load() {
		n = s.nodes[1+next%2]
	}
	spec := "ms=400 " + strings.Repeat("x", jobBytes)
	status, _ := s.call(n, "POST", fmt.Sprintf("/label/%016x", next), map[string]any{"spec": spec, "steps": []step{{Count: 1, CPU: 500, Memory: 64, Estimate: 400}}})
	if status == http.StatusOK {
		t.accepted.Add(1)
	} else {
		t.refused.Add(1)
	}
	if next%500 == 0 {
		_, total := s.runningAt("")
		s.log("traffic: %d accepted, %d not, %d begun, %d tasks run", t.accepted.Load(), t.refused.Load(), s.begun.Load(), total)
	}
}
