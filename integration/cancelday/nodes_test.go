package cancelday_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

const (
	// quotaPeriod is the period of a processor quota, quotaPoll how often it is checked.
	quotaPeriod = 100 * time.Millisecond
	quotaPoll   = 4 * time.Millisecond
	// grace is the time between SIGTERM and SIGKILL of a planned stop.
	grace = 6 * time.Second
)

// node is a hornbeam-node process with a processor quota.
type node struct {
	name, front, file, log string
	share                  float64
	binary                 string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	// stopped is set while the quota has suspended the process, paused while the day has.
	stopped, paused bool
}

func newNode(dir, binary, name, domain string, share float64, table, advice string) *node {
	var ports []string
	for len(ports) < 4 {
		if address := freeAddress(); address != "" {
			ports = append(ports, address)
		}
	}
	n := &node{name: name, front: ports[0], share: share, binary: binary, file: filepath.Join(dir, name+".ini"), log: filepath.Join(dir, name+".log")}
	memory := 184
	if share > 0.5 {
		memory = 536
	}
	text := fmt.Sprintf("[node]\nname = %s\ndomain = %s\n\n[listen]\nfront = %s\nready = %s\npeers = %s\nmetrics = %s\n\n"+
		"[table]\naddress = %s\nacross = true\n\n[advice]\naddress = %s\n\n[cell]\nmax_lease = 10000ms\nstop_time = 400ms\n\n"+
		"[runtime]\ncpu_share = %g\nmemory = %d\n\n[log]\nlevel = info\n", name, domain, ports[0], ports[1], ports[2], ports[3], table, advice, share, memory)
	Expect(os.WriteFile(n.file, []byte(text), 0o600)).To(Succeed())
	return n
}

// nextPort is the next port for an instance. The ports are below those of outgoing
// connections.
var nextPort = 21000

// freeAddress returns an address; empty if its port is in use.
func freeAddress() string {
	nextPort++
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
	if err != nil {
		return ""
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (n *node) start() {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	command := exec.Command(n.binary, "--settings", n.file)
	command.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=200")
	command.Stdout, command.Stderr = log, log
	Expect(command.Start()).To(Succeed())
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended, n.stopped = command.Process, ended, false
	n.mu.Unlock()
	go func() {
		// The exit error is in the log.
		_ = command.Wait()
		n.mu.Lock()
		if n.process == command.Process {
			n.process = nil
		}
		n.mu.Unlock()
		close(ended)
	}()
}

func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.Pid
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		// The process may have ended.
		_ = n.process.Signal(s)
	}
}

// planStop ends the process as the platform does and returns how long that took.
func (n *node) planStop() time.Duration {
	began := time.Now()
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(grace):
		n.signal(syscall.SIGKILL)
		<-ended
	}
	return time.Since(began)
}

func (n *node) kill() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	n.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}

// quotas suspends processes that have used their share of the processor in a period, until
// the period ends.
type quotas struct {
	// scale is the share of its quota that a process gets.
	scale float64

	mu        sync.Mutex
	throttled map[string]int
	// most is the most processor time of each instance in one period, total that of all.
	most  map[string]time.Duration
	total time.Duration
}

func (q *quotas) enforce(nodes []*node, stop chan struct{}) {
	used := map[*node]time.Duration{}
	pids := map[*node]int{}
	periodEnd := time.Now()
	for {
		select {
		case <-stop:
			for _, n := range nodes {
				n.suspend(false)
			}
			return
		case <-time.After(quotaPoll):
		}
		now := time.Now()
		newPeriod := now.After(periodEnd)
		if newPeriod {
			periodEnd = now.Add(quotaPeriod)
		}
		for _, n := range nodes {
			pid := n.pid()
			cpu := cpuTime(pid)
			if newPeriod || pids[n] != pid {
				if pids[n] == pid {
					q.mu.Lock()
					q.most[n.name] = max(q.most[n.name], cpu-used[n])
					q.total += cpu - used[n]
					q.mu.Unlock()
				}
				used[n], pids[n] = cpu, pid
				n.suspend(false)
				continue
			}
			if cpu-used[n] > time.Duration(q.scale*n.share*float64(quotaPeriod)) && n.suspend(true) {
				q.mu.Lock()
				q.throttled[n.name]++
				q.mu.Unlock()
			}
		}
	}
}

// suspend suspends or resumes the process and returns whether that is a change.
func (n *node) suspend(on bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.paused || n.stopped == on {
		return false
	}
	n.stopped = on
	s := syscall.SIGCONT
	if on {
		s = syscall.SIGSTOP
	}
	// The process may have ended.
	_ = n.process.Signal(s)
	return true
}

// pause makes the process stand still.
func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	n.paused, n.stopped = true, true
	if n.process != nil {
		// The process may have ended.
		_ = n.process.Signal(syscall.SIGSTOP)
	}
	n.mu.Unlock()
	time.Sleep(d)
	n.mu.Lock()
	n.paused = false
	n.mu.Unlock()
	n.suspend(false)
}

// cpuTime returns the processor time of a process.
func cpuTime(pid int) time.Duration {
	if pid == 0 {
		return 0
	}
	var at unix.Timespec
	// The clock of another process; see clock_getcpuclockid(3).
	if err := unix.ClockGettime(int32(^pid<<3|2), &at); err != nil {
		return 0
	}
	return time.Duration(at.Nano())
}

// latestIn returns the index of the node whose log has the latest line with the text.
func latestIn(nodes []*node, text string) int {
	found, latest := -1, ""
	for i, n := range nodes {
		raw, err := os.ReadFile(n.log)
		if err != nil {
			continue
		}
		at := bytes.LastIndex(raw, []byte(text))
		if at < 0 {
			continue
		}
		line := string(raw[bytes.LastIndexByte(raw[:at], '\n')+1 : at])
		if line > latest {
			found, latest = i, line
		}
	}
	return found
}

// linesWith returns the lines of all logs that contain one of the texts, in the order of
// their times.
func linesWith(nodes []*node, texts ...string) []string {
	var found []string
	for _, n := range nodes {
		f, err := os.Open(n.log)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			for _, text := range texts {
				if strings.Contains(lines.Text(), text) {
					found = append(found, lines.Text()+" @"+n.name)
					break
				}
			}
		}
		_ = f.Close()
	}
	slices.Sort(found)
	return found
}
