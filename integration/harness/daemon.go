package harness

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/duty"
)

// logLines is the number of lines of each log that a failed test prints.
const logLines = 60

// Daemon is a process of one of the binaries.
type Daemon struct {
	Name string

	group   *duty.Group
	admin   string
	program string
	args    []string
	log     string
	command *exec.Cmd
	ended   chan struct{}
}

// startDaemon writes the settings to a file and starts the binary with them. verb is
// the subcommand of a binary that has several. The daemon is stopped at the end of the
// test.
func (c *Cluster) startDaemon(name, program, admin, settings string, verb ...string) *Daemon {
	file := filepath.Join(c.dir, name+".ini")
	gomega.Expect(os.WriteFile(file, []byte(settings), 0o600)).To(gomega.Succeed())
	d := &Daemon{
		Name: name, group: c.group, admin: admin, program: filepath.Join(binaries, program),
		args: append(verb, "--settings", file), log: filepath.Join(c.dir, name+".log"),
	}
	d.Start()
	ginkgo.DeferCleanup(d.end)
	return d
}

// Start starts the process. After the previous one has ended, this is a restart with
// a new incarnation.
func (d *Daemon) Start() {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = log.Close() }()
	d.command = exec.Command(d.program, d.args...)
	d.command.Stdout, d.command.Stderr = log, log
	gomega.Expect(d.command.Start()).To(gomega.Succeed())
	command, ended := d.command, make(chan struct{})
	d.ended = ended
	d.group.Serve(func(context.Context) error {
		// The error is ignored: Terminate reads the exit code from ProcessState.
		_ = command.Wait()
		close(ended)
		return nil
	})
}

// Kill sends SIGKILL and waits until the process has ended.
func (d *Daemon) Kill() {
	d.signal(syscall.SIGKILL)
	gomega.Eventually(d.ended).WithTimeout(WaitTimeout).Should(gomega.BeClosed())
}

// Pause stops the process with SIGSTOP until Resume.
func (d *Daemon) Pause() { d.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (d *Daemon) Resume() { d.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, waits until the process has ended and returns its exit
// code.
func (d *Daemon) Terminate() int {
	d.signal(syscall.SIGTERM)
	gomega.Eventually(d.ended).WithTimeout(WaitTimeout).Should(gomega.BeClosed())
	return d.command.ProcessState.ExitCode()
}

// Ready reports whether the process's readiness check succeeds.
func (d *Daemon) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *Daemon) signal(s syscall.Signal) {
	gomega.Expect(d.command.Process.Signal(s)).To(gomega.Succeed())
}

// end kills the process if it still runs and prints its log when the test has failed.
// A data race or a panic in the log fails the test.
func (d *Daemon) end() {
	select {
	case <-d.ended:
	default:
		_ = d.command.Process.Kill()
		<-d.ended
	}
	text, err := os.ReadFile(d.log)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if ginkgo.CurrentSpecReport().Failed() {
		ginkgo.GinkgoWriter.Printf("--- log of %s\n%s\n", d.Name, tail(string(text), logLines))
	}
	gomega.Expect(string(text)).NotTo(gomega.ContainSubstring("DATA RACE"))
	gomega.Expect(string(text)).NotTo(gomega.ContainSubstring("panic:"))
}

func tail(text string, lines int) string {
	all := strings.Split(text, "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// Daemons use ports below the kernel's ephemeral range, so that no client connection
// occupies them. Concurrent test runs on one machine start at different ports.
const (
	firstPort = 10_000
	ports     = 20_000
	portStep  = 97
)

// nextPort is the offset of the last port tried by this test run.
var nextPort = os.Getpid() * portStep

// FreeAddress returns a loopback address with a port that is not in use. It does not
// return an address again until all ports have been tried.
func FreeAddress() string {
	for {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%ports)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// section formats one section of a settings file.
func section(name string, lines ...string) string {
	return fmt.Sprintf("[%s]\n%s\n\n", name, strings.Join(lines, "\n"))
}
