package openrequests_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
)

// instance is what a process has of its entry instance.
type instance struct{ memoryMiB, descriptors int }

// fileDescriptors is the number of descriptors that are not for sockets.
const fileDescriptors = 200

var (
	// entry has the figures of the small entry instance of docs/design/heavy-load.md. The
	// descriptors are lowered from 4,100 so that a crowd of some hundred connections
	// exceeds them.
	entry = instance{memoryMiB: 184, descriptors: fromEnvironment("HORNBEAM_DESCRIPTORS", 700)}
	// lowered has less memory, which the crowd exceeds with what it leaves unread.
	lowered = instance{memoryMiB: fromEnvironment("HORNBEAM_MEMORY", 96), descriptors: entry.descriptors}
)

// fromEnvironment returns the figure of a run by hand at the size of a real instance, or
// the one of all other runs.
func fromEnvironment(name string, usual int) int {
	if figure, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return figure
	}
	return usual
}

const (
	// waitTimeout bounds every wait. It is reached only when a test fails.
	waitTimeout = 30 * time.Second
	// pauseTime is the time for which a process is paused, slowTime that for which it is
	// slow: in each slowPeriod it then runs for slowShare.
	pauseTime  = 4 * time.Second
	slowTime   = 6 * time.Second
	slowPeriod = 100 * time.Millisecond
	slowShare  = 12 * time.Millisecond

	operatorSecret, teamSecret = "secret-of-operator", "secret-of-packer"
)

// binaries is the directory of the binaries. They are built without the race detector,
// which multiplies resident memory.
var binaries string

func build() {
	var err error
	binaries, err = os.MkdirTemp("", "hornbeam-openrequests-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, binaries)
	out, err := exec.Command("go", "build", "-o", binaries, "github.com/hornbeamworks/hornbeam/cmd/...").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
}

// daemon is a process of one of the binaries.
type daemon struct {
	instance
	command *exec.Cmd
	log     string
	ended   chan struct{}
	meter   *harness.Meter
}

// startDaemon starts the binary with the descriptors of the instance. It is killed at the
// end of the test.
func startDaemon(in instance, dir, program, settings string, verb ...string) *daemon {
	file := filepath.Join(dir, program+".ini")
	Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	d := &daemon{instance: in, log: filepath.Join(dir, program+".log"), ended: make(chan struct{})}
	log, err := os.Create(d.log)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	args := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, in.descriptors), filepath.Join(binaries, program)}, verb...)
	d.command = exec.Command("sh", append(args, "--settings", file)...)
	d.command.Stdout, d.command.Stderr = log, log
	Expect(d.command.Start()).To(Succeed())
	go func() {
		defer close(d.ended)
		// The exit error is in the log.
		_ = d.command.Wait()
	}()
	d.meter = harness.NewMeter(d.command.Process.Pid)
	go d.meter.Run(d.ended)
	DeferCleanup(d.end)
	return d
}

// end kills the process and prints its figures and the end of its log if the test has
// failed.
func (d *daemon) end() {
	if CurrentSpecReport().Failed() {
		d.report()
	}
	// The process may have ended.
	_ = d.command.Process.Kill()
	<-d.ended
	if CurrentSpecReport().Failed() {
		text, err := os.ReadFile(d.log)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("--- end of %s\n%s\n", filepath.Base(d.log), text[max(0, len(text)-4000):])
	}
}

func (d *daemon) signal(s syscall.Signal) {
	Expect(d.command.Process.Signal(s)).To(Succeed())
}

// whilePaused runs f while the process is paused, and returns when both have ended.
func (d *daemon) whilePaused(f func()) {
	d.signal(syscall.SIGSTOP)
	resumed := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(resumed)
		time.Sleep(pauseTime)
		d.signal(syscall.SIGCONT)
	}()
	f()
	<-resumed
	time.Sleep(settleTime)
}

// whileSlow runs f while the process has an eighth of a core, and returns when both have
// ended.
func (d *daemon) whileSlow(f func()) {
	fast := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(fast)
		for began := time.Now(); time.Since(began) < slowTime; {
			d.signal(syscall.SIGSTOP)
			time.Sleep(slowPeriod - slowShare)
			d.signal(syscall.SIGCONT)
			time.Sleep(slowShare)
		}
	}()
	f()
	<-fast
	time.Sleep(settleTime)
}

// check checks that the process lives and has stayed within the memory and the
// descriptors of its instance.
func (d *daemon) check() {
	GinkgoHelper()
	Expect(d.ended).NotTo(BeClosed(), "the process has ended")
	peak, memory, sockets := d.report()
	Expect([]int{peak, memory, sockets}).To(HaveExactElements(
		And(BeNumerically(">", 0), BeNumerically("<", d.memoryMiB)), BeNumerically("<", d.memoryMiB),
		BeNumerically("<=", d.descriptors-fileDescriptors)),
		"peak resident memory in MiB, the peak of it together with unread bytes, and sockets")
}

// report prints and returns the largest resident memory of the process, in MiB, the
// largest sum of resident memory and unread bytes, and its largest number of open sockets.
func (d *daemon) report() (peak, memory, sockets int) {
	peak = d.peakMemory() >> 20
	usage, sum := d.meter.Peak()
	memory = int(sum >> 20)
	AddReportEntry(filepath.Base(d.log), fmt.Sprintf("peak resident memory %d MiB, unread %d MiB, sum %d MiB, most sockets %d",
		peak, usage.Unread>>20, memory, usage.Sockets))
	return peak, memory, usage.Sockets
}

// peakMemory returns the largest resident memory of the process; 0 if it has ended.
func (d *daemon) peakMemory() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			Expect(err).NotTo(HaveOccurred())
			return kilobytes << 10
		}
	}
	return 0
}

func awaitListener(address string) {
	Eventually(func() error {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			return err
		}
		return connection.Close()
	}, waitTimeout, 20*time.Millisecond).Should(Succeed())
}

// client has a connection for each request, like an ordinary caller that has just come.
var client = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
	DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
}}

// call makes a request and returns the HTTP status; 0 if there is no answer.
func call(method, url, host string, header http.Header, body string) int {
	status, _ := exchange(method, url, host, header, body)
	return status
}

// exchange makes a request and returns the HTTP status and the body of the answer; 0 if
// there is none.
func exchange(method, url, host string, header http.Header, body string) (status int, answer string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header, request.Host = header, host
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(raw)
}

// linkPiece is what a slow link carries in each linkPeriod.
const linkPiece, linkPeriod = 4 << 10, 20 * time.Millisecond

// slowLink returns the address of a slow link to the address.
func slowLink(address string) (link string, stop func() error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", address)
			if err != nil {
				_ = from.Close()
				continue
			}
			// An error ends the connection in both directions.
			go func() {
				for err := error(nil); err == nil; time.Sleep(linkPeriod) {
					_, err = io.CopyN(to, from, linkPiece)
				}
				_ = to.Close()
			}()
			go func() {
				_, _ = io.Copy(from, to)
				_ = from.Close()
			}()
		}
	}()
	return listener.Addr().String(), listener.Close
}

// answered waits for an ordinary request to be served: callers repeat a refused one.
func answered(request func() int, statuses ...int) {
	GinkgoHelper()
	Eventually(request, waitTimeout, 100*time.Millisecond).Should(BeElementOf(statuses), "status of an ordinary request")
}
