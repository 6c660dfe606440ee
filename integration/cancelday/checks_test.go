package cancelday_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// cancelTime and stopTime are cancel_ms and the time of a stop of the users' grown site.
	cancelTime = 4 * time.Second
	stopTime   = 400 * time.Millisecond
	// contactTime is how long after a disturbance an instance counts as disturbed.
	contactTime = 4 * time.Second
	// sendersPoll is the time between two searches for the owners of new connections.
	sendersPoll = 100 * time.Millisecond
)

// disturbance is a time in which an instance or an endpoint is disturbed; the name is empty
// if all instances are.
type disturbance struct {
	name, what string
	from, to   time.Time
}

// disturb begins a disturbance and returns the function that ends it.
func (r *run) disturb(name, what string) func() {
	d := &disturbance{name: name, what: what, from: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.to = time.Now()
	}
}

// disturbedIn describes a disturbance of the name between two times; empty if there was
// none. Any instance will do if the name is unknownSender.
func (r *run) disturbedIn(name string, from, to time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.disturbances {
		applies := d.name == name || d.name == "" && !strings.HasPrefix(name, "w-") || name == unknownSender && !strings.HasPrefix(d.name, "w-")
		if applies && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return fmt.Sprintf("%s %s %s..%s", name, d.what, stamp(d.from), stamp(d.to))
		}
	}
	return ""
}

// verdict is a start or a run that a bound forbids, and what excuses it; a violation has no
// excuse.
type verdict struct{ what, excuse string }

func (v verdict) String() string {
	if v.excuse == "" {
		return "VIOLATION " + v.what
	}
	return v.what + ", excused: " + v.excuse
}

// judge returns in which ways a start of a job whose cancel was acknowledged is too late or
// its run too long.
func (r *run) judge(j *job, s *startRecord) []verdict {
	var found []verdict
	bound := j.acknowledged.Add(cancelTime)
	submitted := j.submittedAgain()
	if s.received.After(bound) {
		excuse := submitted
		if excuse == "" {
			excuse = r.disturbedIn(s.sender.owner(), s.received.Add(-contactTime), s.received)
		}
		found = append(found, verdict{fmt.Sprintf("a start received %v after the acknowledgement", s.received.Sub(j.acknowledged).Round(time.Millisecond)), excuse})
	}
	if s.late && s.began.After(bound) {
		if !s.received.After(bound) {
			found = append(found, verdict{fmt.Sprintf("a start begun %v after the acknowledgement", s.began.Sub(j.acknowledged).Round(time.Millisecond)), "executed late by the endpoint"})
		}
		bound = s.began.Add(contactTime)
	} else if s.began.After(bound) {
		bound = s.began
	}
	ended := s.ended
	if ended.IsZero() {
		ended = time.Now()
	}
	if ended.After(bound.Add(stopTime)) {
		excuses := []string{
			submitted,
			r.disturbedIn(s.sender.owner(), bound.Add(-contactTime), bound.Add(stopTime)),
			r.disturbedIn(s.endpoint, bound.Add(-contactTime), bound.Add(stopTime)),
		}
		if !s.stopReceived.IsZero() && s.stopReceived.Before(bound) {
			excuses = append(excuses, "the endpoint executed the stop late, it received it at "+stamp(s.stopReceived))
		}
		excuses = slices.DeleteFunc(excuses, func(e string) bool { return e == "" })
		found = append(found, verdict{fmt.Sprintf("a run until %v after the acknowledgement", ended.Sub(j.acknowledged).Round(time.Millisecond)), strings.Join(excuses, "; ")})
	}
	return found
}

// submittedAgain describes a submission that was sent after a 410 said that there is no such
// job; empty if there was none.
func (j *job) submittedAgain() string {
	if j.cancels[len(j.cancels)-1].status != http.StatusGone {
		return ""
	}
	for _, a := range j.submits {
		if a.sent.After(j.acknowledged) && a.status/100 == 2 {
			return "submitted after a 410: " + a.String()
		}
	}
	return ""
}

// writeStarts writes all starts to a file beside the logs.
func (r *run) writeStarts(dir string, jobs map[string]*job) {
	f, err := os.Create(filepath.Join(dir, "starts.txt"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = f.Close() }()
	w := bufio.NewWriter(f)
	for _, s := range r.starts {
		acknowledged := "-"
		if j := jobs[s.job]; j != nil && !j.acknowledged.IsZero() {
			acknowledged = stamp(j.acknowledged)
		}
		_, _ = fmt.Fprintf(w, "%s/%d fence=%d %s sender=%s received=%s began=%s late=%t stop=%s ended=%s %s acknowledged=%s\n", s.task, s.number, s.fence, s.endpoint,
			s.sender.owner(), stamp(s.received), stamp(s.began), s.late, stamp(s.stopReceived), stamp(s.ended), s.outcome, acknowledged)
	}
	Expect(w.Flush()).To(Succeed())
}

// unknownSender is the name of a sender whose connection was closed before its owner was
// found.
const unknownSender = "unknown"

// connection is a connection to an endpoint.
type connection struct {
	address string
	mu      sync.Mutex
	name    string
}

func (c *connection) owner() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.name == "" {
		return unknownSender
	}
	return c.name
}

// senders finds the instances that own the connections to endpoints.
type senders struct {
	mu      sync.Mutex
	open    map[string]*connection
	pending []*connection
}

// note notes a new connection.
func (s *senders) note(c net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	address := c.RemoteAddr().String()
	s.open[address] = &connection{address: address}
	s.pending = append(s.pending, s.open[address])
}

func (s *senders) of(address string) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[address]
}

// resolve finds the owners of new connections until stop is closed.
func (s *senders) resolve(nodes []*node, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(sendersPoll):
		}
		s.mu.Lock()
		pending := s.pending
		s.pending = nil
		s.mu.Unlock()
		if len(pending) == 0 {
			continue
		}
		owners := socketOwners(nodes)
		for _, c := range pending {
			c.mu.Lock()
			c.name = owners[c.address]
			c.mu.Unlock()
		}
	}
}

// socketOwners returns the names of the instances by the addresses of their sockets.
func socketOwners(nodes []*node) map[string]string {
	byLink := map[string]string{}
	for _, n := range nodes {
		dir := fmt.Sprintf("/proc/%d/fd", n.pid())
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, entry := range entries {
			if link, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil {
				byLink[link] = n.name
			}
		}
	}
	owners := map[string]string{}
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return owners
	}
	for _, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 10 {
			continue
		}
		_, portText, _ := strings.Cut(fields[1], ":")
		port, err := strconv.ParseUint(portText, 16, 16)
		name := byLink["socket:["+fields[9]+"]"]
		if err == nil && name != "" {
			owners[fmt.Sprintf("127.0.0.1:%d", port)] = name
		}
	}
	return owners
}
