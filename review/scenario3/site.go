//go:build review3

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

const (
	service   = "recipe-svc"
	host      = "kitchen.example"
	heartbeat = 1500 * time.Millisecond
	// nodeProgram is built by the build line of the deploy file.
	nodeProgram = "target/hornbeam-node"
	template    = "deploy/node.ini.tmpl"
)

// site is a small deployment on loopback: the table, workers and entry instances.
type site struct {
	trouble bool
	start   time.Time
	folder  string
	// links has the addresses of proxies to the table, by node.
	links   map[string]string
	table   *platformtest.Table
	nodes   []*node
	workers []*worker
	closers []func()

	// begun counts the first runs of tasks.
	begun atomic.Int64

	mu     sync.Mutex
	record *os.File
}

func newSite(record string, trouble bool) (*site, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &site{trouble: trouble, start: time.Now(), folder: folder, record: file}
	table, stop := platformtest.NewTable()
	s.table = table
	s.closers = append(s.closers, stop)
	s.log("trouble: %v", trouble)
	return s, nil
}

func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	for _, w := range s.workers {
		w.end()
	}
	_ = os.RemoveAll(s.folder)
	_ = s.record.Close()
	// The stand-ins end with this process.
}

// log writes a line with the time since the start to the record.
func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// route is a queue of the configuration.
type route struct {
	name, prefix string
	priority     int
	objectiveMS  int
}

// configure writes a configuration with the routes and one tenant.
func (s *site) configure(version int, routes ...route) {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "path-prefix": r.prefix, "service": service, "priority": r.priority,
			"attempts": 3, "stretch": 2.0, "slo-ms": r.objectiveMS, "timeout-ms": 3000,
		})
	}
	s.table.Put("op", "config", map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": service}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "packer", "api-keys": []string{"key-packer"}, "weight": 50.0, "cap": map[string]any{"cpu": 1000000}}},
	})
	s.log("configuration %d is acknowledged", version)
}

// memoryOf has the memory in MB of a machine with the share of a core, as in the site files.
var memoryOf = map[string]string{"0.192": "184", "0.4": "284", "0.8": "536"}

// tableAddress returns the address at which the node reaches the table.
func (s *site) tableAddress(node string) string {
	if link := s.links[node]; link != "" {
		return link
	}
	return s.table.Address
}

// node is a process of hornbeam-node.
type node struct {
	s        *site
	name     string
	settings string
	front    string
	ready    string
	process  *exec.Cmd
}

// The ports of the nodes are below those that the system gives to outgoing connections.
const firstPort, ports = 20000, 12000

// takenPorts are the ports that this process has given out.
var takenPorts = map[int]bool{}

func freeAddress() (string, error) {
	for range 100 {
		port := firstPort + rand.IntN(ports)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil || takenPorts[port] {
			continue
		}
		takenPorts[port] = true
		return address, listener.Close()
	}
	return "", errors.New("no port is free")
}

// startNodes starts the processes and waits until they are ready.
func (s *site) startNodes(count int) error {
	shares := make([]string, count)
	for i := range shares {
		shares[i] = "0.4"
	}
	return s.startNodesOf(shares...)
}

// startNodesOf is startNodes for machines with the given shares of a core.
func (s *site) startNodesOf(shares ...string) error {
	for i, share := range shares {
		n, err := s.newNode(fmt.Sprintf("edge-%d", i+1), share)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := n.launch(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for i := range s.nodes {
		for !s.nodes[i].isReady() {
			n := s.nodes[i]
			raw, _ := os.ReadFile(n.settings + ".log")
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready; the end of its log: %s", n.name, raw[max(0, len(raw)-500):])
			}
			if strings.Contains(string(raw), "address already in use") {
				if err := s.moveNode(i, shares[i]); err != nil {
					return err
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.log("%d instances are ready", len(shares))
	return nil
}

// moveNode starts the node at other ports: another program has taken one of its own.
func (s *site) moveNode(index int, share string) error {
	former := s.nodes[index]
	s.log("%s starts again at other ports", former.name)
	former.kill()
	if err := os.Remove(former.settings + ".log"); err != nil {
		return err
	}
	n, err := s.newNode(former.name, share)
	if err != nil {
		return err
	}
	s.nodes[index] = n
	return n.launch()
}

func (s *site) newNode(name, share string) (*node, error) {
	n := &node{s: s, name: name, settings: filepath.Join(s.folder, name+".ini")}
	var addresses [4]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	n.front, n.ready = addresses[0], addresses[1]
	raw, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	text := string(raw)
	// The bounds have evacuate-ms, so that the platform leaves this section out.
	for {
		begin := strings.Index(text, "{{^bounds.evacuate-ms}}")
		if begin < 0 {
			break
		}
		end := strings.Index(text, "{{/bounds.evacuate-ms}}")
		text = text[:begin] + text[end+len("{{/bounds.evacuate-ms}}"):]
	}
	text = strings.NewReplacer(
		"{{node}}", name, "{{zone}}", "langley", "{{listen.front}}", n.front, "{{listen.ready}}", n.ready,
		"{{ip}}:{{port-range.0}}", addresses[2], "{{ip}}:{{port-range.1}}", addresses[3],
		"{{platform.addr}}", s.tableAddress(name), "{{platform.across}}", "true", "{{advice}}", "",
		"{{bounds.hold-max-ms}}", "10000", "{{bounds.stop-ms}}", "400",
		"{{limits.cpu-share}}", share, "{{limits.memory-mb}}", memoryOf[share],
	).Replace(text)
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("a placeholder of %s is not known:\n%s", template, text)
	}
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

func (n *node) launch() error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.process = exec.Command(nodeProgram)
	n.process.Env = append(os.Environ(), "HORNBEAMWORKS_SETTINGS="+n.settings, "GOGC=200", "GOMAXPROCS=1")
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.s.log("%s is started", n.name)
	return nil
}

func (n *node) isReady() bool {
	response, err := http.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) { _ = n.process.Process.Signal(signal) }

// kill kills the process and waits for its end.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
	n.process = nil
	if os.Getenv("KEEP_LOGS") != "" {
		raw, _ := os.ReadFile(n.settings + ".log")
		_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), n.name+".log"), raw, 0o600)
	}
}
