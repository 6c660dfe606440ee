package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

// Site is a deployment of hornbeam-node on a fake of the users' platform.
type Site struct {
	Table     *platformtest.Table
	Checker   *platformtest.Checker
	Endpoints []*platformtest.Endpoint
	Nodes     []*Node
	client    *http.Client
}

// Node is a hornbeam-node process.
type Node struct {
	// Address is the address for callers.
	Address string
	file    string
	log     string
	command *exec.Cmd
	// starts is the number of processes of the node so far.
	starts int
	ended  chan error
	group  *duty.Group
}

// nodePorts is the number of addresses that a node listens on.
const nodePorts = 4

// StartSite starts nodes and endpoints whose tasks take the given time, and waits
// until the nodes have a configuration.
func StartSite(nodes, endpoints int, work time.Duration) *Site {
	return siteSettings{nodes: nodes, endpoints: endpoints, work: work, direct: directEndpoints}.start()
}

// StartDispatchingSite starts a site whose holder calls no endpoint itself as long as
// another instance can send its commands.
func StartDispatchingSite(nodes, endpoints int, work time.Duration) *Site {
	return siteSettings{nodes: nodes, endpoints: endpoints, work: work}.start()
}

// StartDirectSite starts a site whose holder calls all endpoints itself, whatever
// their number.
func StartDirectSite(nodes, endpoints int, work time.Duration) *Site {
	return siteSettings{nodes: nodes, endpoints: endpoints, work: work, direct: endpoints}.start()
}

// directEndpoints is the number of endpoints up to which the holder calls them
// itself: more than most tests have.
const directEndpoints = 100

const (
	// shortLinger is the time for which a stopping node of most tests accepts connections.
	shortLinger = 300 * time.Millisecond
	// defaultLinger is that of the product.
	defaultLinger = 2300 * time.Millisecond
)

// siteSettings are the settings of a site.
type siteSettings struct {
	nodes, endpoints int
	work             time.Duration
	// direct is the number of endpoints up to which the holder calls them itself.
	direct int
	// linger is the nodes' linger; 0 means shortLinger.
	linger time.Duration
	// clock is what the endpoints' clocks show at their start; 0 means their own.
	clock time.Duration
	// tableAddress maps the table's address to the one that a node uses, and is called
	// once per node; endpointAddress maps an endpoint's address to the one that it
	// registers. Nil leaves the address as it is.
	tableAddress, endpointAddress func(string) string
}

// faultyClock is what the endpoints' clocks of a faulty site show at their start: the end of
// a lease on such a clock is far ahead on the clock of an endpoint that has restarted.
const faultyClock = time.Hour

// StartFaultySite starts a site whose nodes reach the table through a fault proxy
// each, and every endpoint through one of the endpoint. With an even seed, the
// holder's commands are sent by other instances; with every second eight seeds, nodes stop with
// the product's linger.
func StartFaultySite(group *duty.Group, nodes, endpoints int, work time.Duration, seed uint64) (s *Site, toTable, toEndpoints []*faultproxy.Proxy) {
	through := func(proxies *[]*faultproxy.Proxy) func(string) string {
		return func(target string) string {
			proxy, err := faultproxy.Listen(group, "127.0.0.1:0", target, seed)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			*proxies = append(*proxies, proxy)
			return proxy.Address()
		}
	}
	settings := siteSettings{
		nodes: nodes, endpoints: endpoints, work: work, direct: directEndpoints * int(seed%2),
		clock: faultyClock, tableAddress: through(&toTable), endpointAddress: through(&toEndpoints),
	}
	if seed/8%2 == 1 {
		settings.linger = defaultLinger
	}
	return settings.start(), toTable, toEndpoints
}

func (settings siteSettings) start() *Site {
	itself := func(address string) string { return address }
	if settings.tableAddress == nil {
		settings.tableAddress = itself
	}
	if settings.endpointAddress == nil {
		settings.endpointAddress = itself
	}
	settings.linger = max(settings.linger, shortLinger)
	table, stop := platformtest.NewTable()
	ginkgo.DeferCleanup(stop)
	advice, stopAdvice := platformtest.NewAdvice()
	ginkgo.DeferCleanup(stopAdvice)
	s := &Site{Table: table, Checker: &platformtest.Checker{}, client: &http.Client{Timeout: 5 * time.Second}}
	table.Put("op", "config", platformtest.Config(1))
	for i := range settings.endpoints {
		e, stop := platformtest.NewEndpoint(fmt.Sprintf("i-%02d", i), s.Checker, table, settings.work)
		ginkgo.DeferCleanup(stop)
		if settings.clock > 0 {
			e.SetClock(settings.clock)
		}
		if address := settings.endpointAddress(e.Address); address != e.Address {
			e.RegisterAt(address)
		}
		s.Endpoints = append(s.Endpoints, e)
	}
	dir, err := os.MkdirTemp("", "hornbeam-site-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(os.RemoveAll, dir)
	for i := range settings.nodes {
		s.Nodes = append(s.Nodes, settings.startNode(dir, i, settings.tableAddress(table.Address), advice))
	}
	for _, n := range s.Nodes {
		n.waitReady()
	}
	return s
}

func (settings siteSettings) startNode(dir string, number int, table, advice string) *Node {
	var ports []string
	for range nodePorts {
		ports = append(ports, FreeAddress())
	}
	n := &Node{
		Address: ports[0], group: duty.NewGroup(context.Background()), file: filepath.Join(dir, fmt.Sprintf("node%d.ini", number)), log: filepath.Join(dir, fmt.Sprintf("node%d.log", number)),
	}
	text := fmt.Sprintf("[node]\nname = node%d\ndomain = north\n\n[listen]\nfront = %s\nready = %s\npeers = %s\nmetrics = %s\n\n"+
		"[table]\naddress = %s\nacross = true\n\n[advice]\naddress = %s\n\n[cell]\nmax_lease = 10s\ndirect_endpoints = %d\n\n"+
		"[drain]\nlinger = %v\n\n[runtime]\ncpu_share = 1\nmemory = 256\n", number, ports[0], ports[1], ports[2], ports[3], table, advice, settings.direct, settings.linger)
	gomega.Expect(os.WriteFile(n.file, []byte(text), 0o600)).To(gomega.Succeed())
	n.Start()
	ginkgo.DeferCleanup(n.end)
	return n
}

// Start starts the process.
func (n *Node) Start() {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = log.Close() }()
	n.command = exec.Command(filepath.Join(binaries, "hornbeam-node"), "--settings", n.file)
	n.command.Stdout, n.command.Stderr = log, log
	gomega.Expect(n.command.Start()).To(gomega.Succeed())
	n.starts++
	command, ended := n.command, make(chan error, 1)
	n.ended = ended
	n.group.Serve(func(context.Context) error {
		ended <- command.Wait()
		return nil
	})
}

// AwaitStarted waits until the process handles signals.
func (n *Node) AwaitStarted() {
	gomega.Eventually(func() int { return strings.Count(n.Log(), "event=process_started") }, WaitTimeout, 20*time.Millisecond).
		Should(gomega.BeNumerically(">=", n.starts))
}

// Signal sends the signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	gomega.Expect(n.command.Process.Signal(s)).To(gomega.Succeed())
}

// CPUTime returns the CPU time that the process has used.
func (n *Node) CPUTime() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.command.Process.Pid))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	// The first field after the process name in brackets is the third one; 14 and 15
	// are the user and the system time.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	ticks := 0
	for _, field := range []int{14, 15} {
		n, err := strconv.Atoi(fields[field-3])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}

// ticksPerSecond is the unit of the CPU times in /proc.
const ticksPerSecond = 100

// Ended waits until the process has ended and returns its exit error.
func (n *Node) Ended() error {
	var exitErr error
	gomega.Eventually(n.ended, WaitTimeout).Should(gomega.Receive(&exitErr))
	n.ended = nil
	return exitErr
}

// end kills the process if it still runs and reports its log when the test has
// failed. A data race or a panic in the log fails the test.
func (n *Node) end() {
	if n.ended != nil {
		// The error is ignored: the process may have ended already.
		_ = n.command.Process.Kill()
		<-n.ended
	}
	log := n.Log()
	if ginkgo.CurrentSpecReport().Failed() {
		ginkgo.AddReportEntry(filepath.Base(n.log), log[max(0, len(log)-logTail):])
		if dir := os.Getenv(logDirectory); dir != "" {
			gomega.Expect(os.WriteFile(filepath.Join(dir, filepath.Base(n.log)), []byte(log), 0o600)).To(gomega.Succeed())
		}
	}
	for _, fault := range []string{"DATA RACE", "panic:"} {
		if at := strings.Index(log, fault); at >= 0 {
			ginkgo.Fail(filepath.Base(n.log) + ": " + log[at:min(len(log), at+logTail)])
		}
	}
}

// logDirectory is the environment variable with the directory to which the complete
// logs of a failed test are copied.
const logDirectory = "HORNBEAM_LOGS"

// logTail is the size in bytes of the part of a log that a failed test reports.
const logTail = 30000

func (n *Node) waitReady() {
	gomega.Eventually(func() error {
		response, err := http.Get("http://" + n.Address + "/cook/none")
		if err != nil {
			return err
		}
		if response.StatusCode == http.StatusServiceUnavailable {
			err = eris.New("the node has no configuration yet")
		}
		return errors.Join(err, response.Body.Close())
	}, WaitTimeout, 20*time.Millisecond).Should(gomega.Succeed())
}

// Log returns the log of all processes of the node so far.
func (n *Node) Log() string {
	log, err := os.ReadFile(n.log)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return string(log)
}

// Call makes a caller's call to a node and returns the HTTP status and the job's
// state. Status 0 means that there was no response.
func (s *Site) Call(node int, method, id string, body any) (status int, state string) {
	raw, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request, err := http.NewRequest(method, "http://"+s.Nodes[node].Address+"/cook/"+id, bytes.NewReader(raw))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "kitchen.example"
	request.Header.Set("Api-Key", "key")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return response.StatusCode, ""
	}
	return response.StatusCode, answer.State
}

// Submit submits a job of one step with the given number of tasks and returns the
// HTTP status.
func (s *Site) Submit(node int, id string, tasks int) int {
	step := map[string]any{"count": tasks, "cpu": 1000, "mem-mb": 100, "est-ms": 300}
	return s.SubmitSteps(node, id, "x", []any{step})
}

// SubmitSteps submits a job of the given steps and returns the HTTP status.
func (s *Site) SubmitSteps(node int, id, spec string, steps []any) int {
	status, _ := s.Call(node, http.MethodPost, id, map[string]any{"spec": spec, "steps": steps})
	return status
}

// Completed waits until the node reports the job as completed.
func (s *Site) Completed(node int, id string) {
	gomega.Eventually(func() string {
		_, state := s.Call(node, http.MethodGet, id, nil)
		return state
	}, WaitTimeout, 50*time.Millisecond).Should(gomega.Equal("completed"), id)
}

// Holder returns the index of the node that holds the cell: the one whose log has the
// latest entry with state=deciding.
func (s *Site) Holder() int {
	holder := -1
	gomega.Eventually(func() bool {
		var latest []byte
		for i, n := range s.Nodes {
			log := []byte(n.Log())
			at := bytes.LastIndex(log, []byte("state=deciding"))
			if at < 0 {
				continue
			}
			line := log[bytes.LastIndexByte(log[:at], '\n')+1 : at]
			if holder < 0 || bytes.Compare(line, latest) > 0 {
				holder, latest = i, line
			}
		}
		return holder >= 0
	}, WaitTimeout, 50*time.Millisecond).Should(gomega.BeTrue())
	return holder
}
