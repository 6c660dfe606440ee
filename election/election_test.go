package election_test

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/election"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/platform"
	"github.com/hornbeamworks/hornbeam/platform/platformtest"
)

// patience is reached only by a failure.
const patience = 20 * time.Second

// candidate is one instance of these tests.
type candidate struct {
	*election.Election
	mu     sync.Mutex
	epoch  uint64
	holds  bool
	elects int
	until  time.Time
	cancel context.CancelFunc
}

func (c *candidate) Elected(e election.Elected) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch, c.holds, c.until = e.Epoch, true, e.Until
	c.elects++
}

func (c *candidate) Renewed(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = until
}

func (c *candidate) Deposed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds = false
}

func (c *candidate) state() (holds bool, epoch uint64, elects int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holds, c.epoch, c.elects
}

// join starts a candidate at the table. Its end is like that of a killed
// process: nothing is released.
func join(stand *platformtest.Table, name, incarnation string) *candidate {
	return joinBeside(stand, name, incarnation, false)
}

// joinBeside does the same where an instance of twice its size is known or not.
func joinBeside(stand *platformtest.Table, name, incarnation string, larger bool) *candidate {
	return joinWith(stand, name, incarnation, larger, func() time.Duration { return 0 })
}

// joinWith does the same where the table is reached only through others for the
// time that detour returns.
func joinWith(stand *platformtest.Table, name, incarnation string, larger bool, detour func() time.Duration) *candidate {
	c := &candidate{}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.Election = election.New(ctx, election.Options{
		Node: name, Incarnation: incarnation, CPUShare: 1, Larger: func() bool { return larger }, Detour: detour, Table: platform.NewTable(stand.Address, true),
		Clock: clock.Boot{}, Log: logging.Discard(), Listener: c,
	})
	group := duty.NewGroup(context.Background())
	group.Start(c.Election)
	DeferCleanup(func() {
		cancel()
		c.Stop()
		Expect(group.Wait()).To(Succeed())
	})
	return c
}

func holders(all ...*candidate) int {
	n := 0
	for _, c := range all {
		if holds, _, _ := c.state(); holds {
			n++
		}
	}
	return n
}

var _ = Describe("An election", func() {
	var stand *platformtest.Table
	BeforeEach(func() {
		var stop func()
		stand, stop = platformtest.NewTable()
		DeferCleanup(stop)
	})

	It("gives the cell to one of several that start together", func() {
		a, b, c := join(stand, "a", "1"), join(stand, "b", "1"), join(stand, "c", "1")
		Eventually(func() int { return holders(a, b, c) }, patience).Should(Equal(1))
		Consistently(func() int { return holders(a, b, c) }, time.Second).Should(Equal(1))
	})

	It("gives the cell under a higher epoch to another when the holder dies", func() {
		a := join(stand, "a", "1")
		Eventually(func() int { return holders(a) }, patience).Should(Equal(1))
		b := join(stand, "b", "1")
		Consistently(func() int { return holders(b) }, election.VacantTime).Should(BeZero())
		a.cancel()
		Eventually(func() int { return holders(b) }, patience).Should(Equal(1))
		_, first, _ := a.state()
		_, second, _ := b.state()
		Expect(second).To(BeNumerically(">", first))
	})

	It("gives the cell at once to an instance that has started anew", func() {
		a := join(stand, "a", "1")
		Eventually(func() int { return holders(a) }, patience).Should(Equal(1))
		a.cancel()
		began := time.Now()
		again := join(stand, "a", "2")
		Eventually(func() int { return holders(again) }, patience, 10*time.Millisecond).Should(Equal(1))
		Expect(time.Since(began)).To(BeNumerically("<", election.VacantTime))
	})

	It("hands the cell over when the holder resigns", func() {
		a := join(stand, "a", "1")
		Eventually(func() int { return holders(a) }, patience).Should(Equal(1))
		b := join(stand, "b", "1")
		Consistently(func() int { return holders(b) }, 300*time.Millisecond).Should(BeZero())
		a.Resign(context.Background())
		Expect(holders(a)).To(BeZero())
		Eventually(func() int { return holders(b) }, patience).Should(Equal(1))
	})

	It("gives the cell to the larger of two that start together", func() {
		small, large := joinBeside(stand, "a", "1", true), join(stand, "b", "1")
		Eventually(func() int { return holders(large) }, patience).Should(Equal(1))
		Expect(holders(small)).To(BeZero())
	})

	It("gives the cell to a smaller one when no larger one comes, which makes way later", func() {
		small := joinBeside(stand, "a", "1", true)
		Eventually(func() int { return holders(small) }, patience).Should(Equal(1))
		large := join(stand, "b", "1")
		Eventually(func() int { return holders(large) }, patience).Should(Equal(1))
		Eventually(func() int { return holders(small) }, patience).Should(BeZero())
	})

	It("keeps a smaller holder that has made way in vain", func() {
		small := joinBeside(stand, "a", "1", true)
		Eventually(func() int { _, _, elects := small.state(); return elects }, patience).Should(Equal(2))
		Consistently(func() int { _, _, elects := small.state(); return elects }, 6*time.Second).Should(Equal(2))
	})

	It("gives the cell to another when the holder reaches the table only through others", func() {
		var lost atomic.Int64
		a := joinWith(stand, "a", "1", false, func() time.Duration { return time.Duration(lost.Load()) })
		Eventually(func() int { return holders(a) }, patience).Should(Equal(1))
		b := join(stand, "b", "1")
		lost.Store(int64(time.Second))
		Consistently(func() int { return holders(a) }, time.Second).Should(Equal(1), "not at once")
		lost.Store(int64(2 * time.Second))
		Eventually(func() int { return holders(b) }, patience).Should(Equal(1))
		Expect(holders(a)).To(BeZero())
	})

	It("says so when the holder resigns though the first try fails", func() {
		a := join(stand, "a", "1")
		Eventually(func() int { return holders(a) }, patience).Should(Equal(1))
		stand.SetMood(platformtest.Silent)
		resigned := make(chan struct{})
		go func() { a.Resign(context.Background()); close(resigned) }()
		time.Sleep(300 * time.Millisecond)
		stand.SetMood(platformtest.Serving)
		Eventually(resigned, patience).Should(BeClosed())
		Expect(holders(a)).To(BeZero())
		row, err := platform.NewTable(stand.Address, true).Get(context.Background(), election.LeaseKey)
		Expect(err).NotTo(HaveOccurred())
		var lease election.Lease
		Expect(json.Unmarshal(row.Value, &lease)).To(Succeed())
		Expect(lease.Released).To(BeTrue())
	})

	It("keeps the holder while answers to its renewals are lost", func() {
		a := join(stand, "a", "1")
		Eventually(func() int { return holders(a) }, patience).Should(Equal(1))
		b := join(stand, "b", "1")
		stand.SetMood(platformtest.Losing)
		time.Sleep(700 * time.Millisecond)
		stand.SetMood(platformtest.Serving)
		Consistently(func() int { return holders(a) }, 2*time.Second).Should(Equal(1))
		Expect(holders(b)).To(BeZero())
	})
})
