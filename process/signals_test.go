package process_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/process"
)

// childVariable is the environment variable that makes the test binary the child of
// a test.
const childVariable = "HORNBEAM_TEST_PROCESS_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(runChild())
	}
	os.Exit(m.Run())
}

// runChild sets a process up, waits for a line on standard input, and runs it.
func runChild() int {
	p := process.New(logging.Discard(), clock.System{}, waitTimeout)
	p.OnReload(func() { fmt.Println("reloaded") })
	p.Configured()
	fmt.Println("set up")
	if _, err := bufio.NewReader(os.Stdin).ReadString('\n'); err != nil {
		return 1
	}
	if err := p.Run(); err != nil {
		return 1
	}
	fmt.Println("drained")
	return 0
}

// A signal between the first request that is served and Run ended the process with
// its requests.
var _ = DescribeTable("A signal before Run is handled by Run",
	func(signal syscall.Signal, expected string) {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), childVariable+"=1")
		input, err := child.StdinPipe()
		Expect(err).NotTo(HaveOccurred())
		output := gbytes.NewBuffer()
		child.Stdout, child.Stderr = output, io.Discard
		Expect(child.Start()).To(Succeed())
		Eventually(output).WithTimeout(waitTimeout).Should(gbytes.Say("set up"))
		Expect(child.Process.Signal(signal)).To(Succeed())
		Eventually(func() string { return pendingSignals(child.Process.Pid) }).WithTimeout(waitTimeout).Should(Equal(strings.Repeat("0", 16)))
		// The write fails when the signal has ended the child.
		_, _ = io.WriteString(input, "go on\n")
		Eventually(output).WithTimeout(waitTimeout).Should(gbytes.Say(expected))
		if signal == syscall.SIGHUP {
			Expect(child.Process.Signal(syscall.SIGTERM)).To(Succeed())
		}
		Expect(child.Wait()).To(Succeed())
	},
	Entry("SIGHUP", syscall.SIGHUP, "reloaded"),
	Entry("SIGTERM", syscall.SIGTERM, "drained"),
	Entry("SIGINT", syscall.SIGINT, "drained"),
)

// pendingSignals returns the mask of the process's signals that are not delivered.
func pendingSignals(pid int) string {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if mask, found := strings.CutPrefix(line, "ShdPnd:"); found {
			return strings.TrimSpace(mask)
		}
	}
	return ""
}
