//go:build review2

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

// A site is a small deployment: the platform's table and advice service as stand-ins in this
// process, nodes and workers as processes of their own.
type site struct {
	folder  string
	began   time.Time
	table   *platformtest.Table
	advice  string
	nodes   []*node
	workers []*workerProcess
	client  *http.Client
	stops   []func()
	group   *duty.Group

	mu     sync.Mutex
	record *os.File
	runs   []*runRecord
}

// runRecord is a run of a task as the worker has reported it.
type runRecord struct {
	task, worker, how string
	run               int
	fence             uint64
	began, ended      time.Time
}

type node struct {
	name, front, ready, peers, file, log string
	process                              *exec.Cmd
}

type workerProcess struct {
	s           *site
	id, address string
	zone        string

	mu      sync.Mutex
	process *exec.Cmd
	born    int64
	seq     int
	silent  time.Time
}

const (
	heartbeat = 1500 * time.Millisecond
	// entryExpiry is three heartbeats.
	entryExpiry = 3 * heartbeat
)

var zones = []string{"abbotsford", "chilliwack", "langley"}

func newSite(recordFile string) (*site, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, began: time.Now(), record: record, group: duty.NewGroup(context.Background()), client: &http.Client{Timeout: 5 * time.Second}}
	table, stopTable := platformtest.NewTable()
	advice, stopAdvice := platformtest.NewAdvice()
	s.table, s.advice, s.stops = table, advice, append(s.stops, stopAdvice, stopTable)
	return s, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%7.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	for _, w := range s.workers {
		w.kill()
	}
	for _, stop := range s.stops {
		stop()
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs in", s.folder)
	}
}

// nextPort is the next port to try. It begins at a random one below the range of the kernel's
// own ports, which outgoing connections use.
var nextPort = 12000 + rand.IntN(18000)

// freeAddresses returns n addresses with ports that are free.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > 1000 {
			return nil, errors.New("no free port")
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort > 32000 {
			nextPort = 12000
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{\^([a-z0-9.-]+)\}\}.*?\{\{/[a-z0-9.-]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)
)

// settings fills in deploy/node.ini.tmpl for a deployment with all values that it names.
func settings(values map[string]string) (string, error) {
	raw, err := os.ReadFile("deploy/node.ini.tmpl")
	if err != nil {
		return "", err
	}
	text := section.ReplaceAllString(string(raw), "")
	missing := ""
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		name := strings.Trim(p, "{}")
		value, found := values[name]
		if !found {
			missing = name
		}
		return value
	})
	if missing != "" {
		return "", errors.New("the template names " + missing)
	}
	return text, nil
}

// addNode starts a node with the command and the environment of deploy/system.toml.
func (s *site) addNode() error {
	addresses, err := freeAddresses(4)
	if err != nil {
		return err
	}
	number := len(s.nodes)
	zone := zones[number%len(zones)]
	n := &node{
		name: fmt.Sprintf("edge-%s-%d", zone, number+1), front: addresses[0], ready: addresses[1], peers: addresses[2],
		file: filepath.Join(s.folder, fmt.Sprintf("node%d.ini", number)), log: filepath.Join(s.folder, fmt.Sprintf("node%d.log", number)),
	}
	_, peerPort, _ := net.SplitHostPort(addresses[2])
	_, metricsPort, _ := net.SplitHostPort(addresses[3])
	text, err := settings(map[string]string{
		"node": n.name, "zone": zone, "listen.front": n.front, "listen.ready": n.ready, "ip": "127.0.0.1",
		"port-range.0": peerPort, "port-range.1": metricsPort, "platform.addr": s.table.Address, "platform.across": "true",
		"advice": s.advice, "bounds.hold-max-ms": strconv.FormatInt(maxLease.Milliseconds(), 10), "bounds.stop-ms": "400",
		"limits.cpu-share": "0.4", "limits.memory-mb": "284",
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return s.startNode(n)
}

func (s *site) startNode(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.process = exec.Command("target/hornbeam-node")
	n.process.Env = append(os.Environ(), "HORNBEAMWORKS_SETTINGS="+n.file, "GOGC=200", "GOMAXPROCS=1")
	n.process.Stdout, n.process.Stderr = log, log
	s.note("node %s starts", n.name)
	return n.process.Start()
}

func (n *node) kill() {
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Kill()
		_ = n.process.Wait()
		n.process = nil
	}
}

// awaitReady waits until all nodes are ready for callers.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range s.nodes {
		for {
			response, err := s.client.Get("http://" + n.ready + "/v1/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// addWorker starts a worker and writes its entry at each heartbeat while it lives.
func (s *site) addWorker() error {
	addresses, err := freeAddresses(1)
	if err != nil {
		return err
	}
	number := len(s.workers)
	w := &workerProcess{s: s, id: fmt.Sprintf("i-%02d", number), address: addresses[0], zone: zones[number%len(zones)]}
	s.workers = append(s.workers, w)
	if err := w.start(); err != nil {
		return err
	}
	s.group.Serve(func(context.Context) error {
		for {
			w.beat()
			time.Sleep(heartbeat)
		}
	})
	return nil
}

func (w *workerProcess) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	process := exec.Command(os.Args[0], "worker", w.id, w.address)
	process.Stderr = os.Stderr
	out, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	w.process = process
	lines := bufio.NewReader(out)
	first, err := lines.ReadString('\n')
	if err != nil {
		return err
	}
	if _, err := fmt.Sscanf(first, "up %d", &w.born); err != nil {
		return err
	}
	w.s.note("worker %s is up, born %d", w.id, w.born)
	w.s.group.Serve(func(context.Context) error {
		w.follow(lines)
		return nil
	})
	return nil
}

// follow records what the worker reports.
func (w *workerProcess) follow(lines *bufio.Reader) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		if !isWorkerLine(line) {
			continue
		}
		w.s.note("worker %s: %s", w.id, line)
		w.s.observe(w.id, line)
	}
}

func (s *site) observe(worker, line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var task, how string
	var run int
	var fence uint64
	if n, _ := fmt.Sscanf(line, "start %s %d fence %d", &task, &run, &fence); n == 3 {
		s.runs = append(s.runs, &runRecord{task: task, run: run, fence: fence, worker: worker, began: time.Now()})
		return
	}
	if n, _ := fmt.Sscanf(line, "end %s %d %s", &task, &run, &how); n == 3 {
		for _, r := range s.runs {
			if r.task == task && r.run == run && r.worker == worker && r.ended.IsZero() {
				r.ended, r.how = time.Now(), how
			}
		}
	}
}

// runsOf returns copies of the runs of the tasks whose names begin so.
func (s *site) runsOf(prefix string) []runRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []runRecord
	for _, r := range s.runs {
		if strings.HasPrefix(r.task, prefix) {
			found = append(found, *r)
		}
	}
	return found
}

// beat writes the worker's entry, or removes it after three heartbeats of silence.
func (w *workerProcess) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.process == nil {
		if !w.silent.IsZero() && time.Since(w.silent) > entryExpiry {
			w.silent = time.Time{}
			w.s.table.Put("servers", w.id, nil)
		}
		return
	}
	w.seq++
	w.s.table.Put("servers", w.id, map[string]any{
		"service": "recipe-svc", "addr": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "seq": w.seq, "born": w.born, "labels": []string{"a", "r1"},
		"capacity": map[string]any{"cpu": 16000, "mem-mb": 65536, "gpu": 0},
	})
}

// kill crashes the worker; what runs there ends.
func (w *workerProcess) kill() {
	w.mu.Lock()
	process := w.process
	w.process, w.silent = nil, time.Now()
	w.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGKILL)
	_ = process.Wait()
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	for _, r := range w.s.runs {
		if r.worker == w.id && r.ended.IsZero() {
			r.ended, r.how = time.Now(), "crashed"
		}
	}
}

// crash kills the worker and starts it again after the given time.
func (w *workerProcess) crash(down time.Duration) error {
	w.s.note("worker %s crashes", w.id)
	w.kill()
	time.Sleep(down)
	if err := w.start(); err != nil {
		return err
	}
	w.beat()
	return nil
}

func (s *site) worker(id string) *workerProcess {
	for _, w := range s.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

const (
	host = "recipes.example"
	key  = "key-packer"
)

// call makes a client's call to a node and records it. Status 0 means no answer.
func (s *site) call(n *node, method, path string, body any) (status int, state string) {
	var content io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, "http://"+n.front+path, content)
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Api-Key", key)
	request.Header.Set("Deadline-Ms", "3000")
	response, err := s.client.Do(request)
	if err != nil {
		s.note("%s %s to %s: no answer (%v)", method, path, n.name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &answer)
	s.note("%s %s to %s: %d %s", method, path, n.name, response.StatusCode, strings.TrimSpace(string(raw)))
	return response.StatusCode, answer.State
}

// route returns a route of the configuration.
func route(name, prefix string, timeout int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "timeout-ms": timeout, "slo-ms": 3000,
		"priority": 1, "service": "recipe-svc", "attempts": 3, "stretch": 2,
	}
}

// configure writes a version of the configuration; the store's response acknowledges it.
func (s *site) configure(version int, routes ...map[string]any) {
	s.table.Put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "recipe-svc", "admission-check": false}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "packer", "api-keys": []string{key}, "weight": 100, "cap": map[string]any{}}},
	})
	var names []string
	for _, r := range routes {
		names = append(names, fmt.Sprintf("%v (%v ms)", r["name"], r["timeout-ms"]))
	}
	s.note("configuration %d acknowledged, routes %s", version, strings.Join(names, ", "))
}
