package cell_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

const (
	// startsBy is the time after the acknowledgement of a job's cancel from which none of its
	// tasks may be started.
	startsBy = 3 * time.Second
	// holdTime is the time after the acknowledgement for which the starts are held back: the
	// lease of the endpoint, which is 5 s, has not ended by then.
	holdTime = 3800 * time.Millisecond
	// settleTime is the time in which held starts and stops are executed once they arrive.
	settleTime = 2 * time.Second
	// heldTasks is the number of tasks whose starts are held back.
	heldTasks = 16
)

// proxied makes the nodes call the endpoint through a fault proxy, and waits until they do.
func proxied(e *platformtest.Endpoint) *faultproxy.Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	proxy, err := faultproxy.Listen(group, "127.0.0.1:0", e.Address, 1)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		cancel()
		Expect(group.Wait()).To(Succeed())
	})
	e.Address = proxy.Address()
	e.Register("ready")
	Eventually(func() int { return proxy.Stats().Chunks }, harness.WaitTimeout, 20*time.Millisecond).Should(BeNumerically(">", 4))
	return proxy
}

// holdStarts holds back only the starts, each with its connection.
func holdStarts() faultproxy.Faults {
	return faultproxy.Faults{Up: faultproxy.DirectionFaults{HoldContaining: "/v1/run-start"}}
}

// endsOf counts the runs of the job by how they ended, and the starts after latest.
func endsOf(s *harness.Site, job string, latest time.Time) (ends map[string]int, late []string) {
	ends = map[string]int{}
	for _, r := range s.Checker.Runs() {
		if !strings.HasPrefix(r.Task, job+".") {
			continue
		}
		ends[r.Outcome]++
		if r.Began.After(latest) {
			late = append(late, fmt.Sprintf("%s run %d at %v after the latest time, ended %q", r.Task, r.Number, r.Began.Sub(latest), r.Outcome))
		}
	}
	return ends, late
}

// signalSenders returns an action that sends the signal to the nodes that send commands for the
// holder.
func signalSenders(signal syscall.Signal) func(*harness.Site, int) {
	return func(s *harness.Site, _ int) {
		for _, sender := range senders(s) {
			s.Nodes[sender].Signal(signal)
			if signal == syscall.SIGSTOP {
				DeferCleanup(s.Nodes[sender].Signal, syscall.SIGCONT)
			}
		}
	}
}

// signalHolder returns an action that sends the holder a signal that ends it.
func signalHolder(signal syscall.Signal) func(*harness.Site, int) {
	return func(s *harness.Site, holder int) {
		s.Nodes[holder].Signal(signal)
		_ = s.Nodes[holder].Ended()
	}
}

func nothing(*harness.Site, int) {}

var _ = Describe("UNASKED: a start that is delivered seconds after its sender has given it up", func() {
	// The endpoint executed it until the end of the whole lease, later than a task of a
	// cancelled job may start.
	DescribeTable("is not executed later than 3 s after its job's cancel was acknowledged",
		func(faults faultproxy.Faults, dispatching bool, meanwhile func(s *harness.Site, holder int)) {
			start := harness.StartSite
			if dispatching {
				start = harness.StartDispatchingSite
			}
			s := start(3, 1, work)
			proxy := proxied(s.Endpoints[0])
			holder := s.Holder()
			serving := (holder + 1) % len(s.Nodes)
			if dispatching {
				Eventually(func() []int { return senders(s) }, harness.WaitTimeout).ShouldNot(BeEmpty())
				serving = holder
			}
			proxy.Set(faults)
			Expect(s.Submit(serving, id(0), heldTasks)).To(Equal(http.StatusOK))
			Eventually(func() int { return proxy.Stats().Held }, harness.WaitTimeout, 5*time.Millisecond).Should(BeNumerically(">=", heldTasks))
			status, _ := s.Call(serving, http.MethodDelete, id(0), nil)
			Expect(status).To(Equal(http.StatusOK))
			acknowledgedAt := time.Now()
			meanwhile(s, holder)
			time.Sleep(time.Until(acknowledgedAt.Add(holdTime)))
			proxy.Set(faultproxy.Faults{})
			time.Sleep(settleTime)
			ends, late := endsOf(s, id(0), acknowledgedAt.Add(startsBy))
			AddReportEntry("runs of the cancelled job", fmt.Sprint(ends, late))
			Expect(late).To(BeEmpty())
			// Other jobs are served as before.
			Expect(s.Submit(serving, id(1), 3)).To(Equal(http.StatusOK))
			s.Completed(serving, id(1))
			Expect(s.Checker.Violations()).To(BeEmpty())
		},
		Entry("with the starts' connections held", holdStarts(), false, nothing),
		Entry("with the starts' connections held and the holder killed", holdStarts(), false, signalHolder(syscall.SIGKILL)),
		Entry("with the starts' connections held and the instance paused that had sent them", holdStarts(), true, signalSenders(syscall.SIGSTOP)),
		Entry("with the whole link held", faultproxy.Partition(), false, nothing),
		Entry("with the whole link held and the holder stopped", faultproxy.Partition(), false, signalHolder(syscall.SIGTERM)),
		Entry("with the whole link held and the instance stopped that had sent them", faultproxy.Partition(), true, signalSenders(syscall.SIGTERM)),
		Entry("with the whole link held and the instance paused that had sent them", faultproxy.Partition(), true, signalSenders(syscall.SIGSTOP)),
	)
})
