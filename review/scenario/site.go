//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

const (
	program  = "target/hornbeam-node"
	template = "deploy/node.ini.tmpl"
	// rowBytes is row-bytes of the settings in DEPLOY.md.
	rowBytes = 65536
	// startTimeout bounds the time until a node is ready.
	startTimeout = 20 * time.Second
	// launchAttempts is how often the start of a node is tried, launchTime how long its
	// process is watched.
	launchAttempts = 3
	launchTime     = 200 * time.Millisecond
)

// site is a small deployment: a store, an advice service, workers and nodes.
type site struct {
	record  *record
	runs    *runs
	table   *platformtest.Table
	advice  string
	workers []*worker
	nodes   []*node
	folder  string
	group   *duty.Group
	cancel  context.CancelFunc
	closers []func()
}

// node is a hornbeam-node process.
type node struct {
	name, front, ready string
	settings           string
	command            *exec.Cmd
	ended              chan error
}

// startSite starts a store with the configuration, the workers and the nodes, each
// node reaching the store at the address that through returns for it.
func startSite(ctx context.Context, r *record, nodes, workers int, config map[string]any, through func(group *duty.Group, table string) (string, error)) (*site, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	s := &site{record: r, runs: &runs{record: r}}
	inner, cancel := context.WithCancel(ctx)
	s.cancel, s.group = cancel, duty.NewGroup(inner)
	var stop func()
	s.table, stop = platformtest.NewTable()
	s.closers = append(s.closers, stop)
	s.table.SetMaxRow(rowBytes)
	s.table.Put("op", "config", config)
	s.advice, stop = platformtest.NewAdvice()
	s.closers = append(s.closers, stop)
	var err error
	if s.folder, err = os.MkdirTemp("", "scenario-"); err != nil {
		return s, err
	}
	for i := range workers {
		w, err := newWorker(s, fmt.Sprintf("w-%02d", i), "r"+strconv.Itoa(i/8))
		if err != nil {
			return s, err
		}
		s.workers = append(s.workers, w)
	}
	for i := range nodes {
		address := s.table.Address
		if through != nil {
			if address, err = through(s.group, address); err != nil {
				return s, err
			}
		}
		n, err := s.launch(ctx, i, address)
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, n)
	}
	return s, s.waitReady(ctx)
}

// close ends all processes and servers.
func (s *site) close() {
	for _, n := range s.nodes {
		n.kill()
	}
	for _, w := range s.workers {
		w.close()
	}
	s.cancel()
	for _, c := range s.closers {
		c()
	}
	_ = s.group.Wait()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// freeAddresses returns n different addresses that no one listens on.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

// launch starts a node. It starts it at other addresses if the process ends at once, since
// another one has taken an address.
func (s *site) launch(ctx context.Context, number int, table string) (*node, error) {
	for range launchAttempts {
		n, err := s.newNode(number, table)
		if err != nil {
			return nil, err
		}
		sleep(ctx, launchTime)
		if len(n.ended) == 0 {
			return n, nil
		}
		s.record.add("%s ended: %v", n.name, <-n.ended)
		n.command = nil
	}
	return nil, errors.New("a node does not start")
}

// newNode writes the settings of a node, as the deploy file's template gives them, and
// starts it.
func (s *site) newNode(number int, table string) (*node, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	_, peerPort, _ := net.SplitHostPort(addresses[2])
	_, metricsPort, _ := net.SplitHostPort(addresses[3])
	n := &node{name: "edge-" + strconv.Itoa(number), front: addresses[0], ready: addresses[1]}
	n.settings = filepath.Join(s.folder, n.name+".ini")
	filled := strings.NewReplacer(
		"{{node}}", n.name, "{{zone}}", "north",
		"{{listen.front}}", addresses[0], "{{listen.ready}}", addresses[1], "{{ip}}", "127.0.0.1",
		"{{port-range.0}}", peerPort, "{{port-range.1}}", metricsPort,
		"{{platform.addr}}", table, "{{platform.across}}", "true", "{{advice}}", s.advice,
		"{{bounds.hold-max-ms}}", "10000", "{{bounds.stop-ms}}", "400",
		"{{limits.cpu-share}}", "0.4", "{{limits.memory-mb}}", "284",
	).Replace(string(text))
	if err := os.WriteFile(n.settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	return n, s.start(n)
}

// start starts the node's process as the deploy file does.
func (s *site) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command(program)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMWORKS_SETTINGS=" + n.settings, "GOGC=200", "GOMAXPROCS=1"}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	command, ended := n.command, make(chan error, 1)
	n.ended = ended
	s.group.Serve(func(context.Context) error {
		ended <- command.Wait()
		return nil
	})
	s.record.add("started %s", n.name)
	return nil
}

func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Kill()
	<-n.ended
	n.command = nil
}

// waitReady waits until each node's readiness page returns 200.
func (s *site) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.New(n.name + " did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.add("all nodes are ready")
	return nil
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
