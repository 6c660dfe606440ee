package cell_test

import (
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

// carriers returns the nodes that carry orders for the holder.
func carriers(s *harness.Site) []int {
	var all []int
	for i, n := range s.Nodes {
		if strings.Contains(n.Log(), "event=agent_follows") {
			all = append(all, i)
		}
	}
	return all
}

// carried starts a site and waits until orders go through another instance.
func carried(nodes, endpoints int) (s *harness.Site, holder, carrier int) {
	s = harness.StartDispatchingSite(nodes, endpoints, work)
	holder = s.Holder()
	Eventually(func() []int { return carriers(s) }, harness.Patience).ShouldNot(BeEmpty())
	return s, holder, carriers(s)[0]
}

var _ = Describe("Orders that other instances carry", func() {
	It("run every job once", func() {
		s, holder, _ := carried(3, 4)
		submitAll(s)
		completeAll(s, holder)
		Expect(s.Judge.Runs()).To(HaveLen(3 * jobs))
	})

	It("are settled when the instance that carries them is killed", func() {
		s, holder, carrier := carried(3, 4)
		submitAll(s)
		s.Nodes[carrier].Signal(syscall.SIGKILL)
		Expect(s.Nodes[carrier].Ended()).To(HaveOccurred())
		completeAll(s, holder)
	})

	It("are settled when the instance that carries them is paused and goes on", func() {
		s, holder, carrier := carried(3, 4)
		submitAll(s)
		s.Nodes[carrier].Signal(syscall.SIGSTOP)
		time.Sleep(3500 * time.Millisecond)
		s.Nodes[carrier].Signal(syscall.SIGCONT)
		completeAll(s, holder)
		time.Sleep(time.Second)
		Expect(s.Judge.Violations()).To(BeEmpty())
	})

	It("go on under a new holder when the holder is killed", func() {
		s, holder, carrier := carried(3, 4)
		submitAll(s)
		s.Nodes[holder].Signal(syscall.SIGKILL)
		Expect(s.Nodes[holder].Ended()).To(HaveOccurred())
		completeAll(s, carrier)
	})

	It("run nothing twice when endpoints carry starts out late", func() {
		s, holder, _ := carried(2, 3)
		s.Endpoints[0].SetLate(time.Second)
		submitAll(s)
		completeAll(s, holder)
		time.Sleep(1200 * time.Millisecond)
		Expect(s.Judge.Violations()).To(BeEmpty())
	})

	It("repeat the work of a silent endpoint once its lease has ended", func() {
		// The tasks outlast the lease, so that none ends unseen.
		s := harness.StartDispatchingSite(2, 2, 6*time.Second)
		holder := s.Holder()
		Eventually(func() []int { return carriers(s) }, harness.Patience).ShouldNot(BeEmpty())
		Expect(s.Submit(0, id(0), 12)).To(Equal(http.StatusOK))
		Eventually(func() int { return len(s.Judge.Runs()) }, harness.Patience).Should(Equal(12))
		s.Endpoints[0].SetMood(platformtest.Silent)
		s.Completed(holder, id(0))
		Expect(s.Judge.Violations()).To(BeEmpty())
	})
})
