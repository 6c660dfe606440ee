package limit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/httpserve/limit"
)

// large is the size of the largest legal body.
const large = 256 << 10

var begin = time.Unix(1_000_000, 0)

// newBudget returns a budget for three large bodies and 16 slots, of which a quarter is
// reserved, with the product's times.
func newBudget() *limit.Budget {
	return limit.NewBudget(limit.BodySettings{
		Bytes: 1 << 20, Count: 16, AddressShare: 1, Factor: 1,
		MinRate: 1 << 10, StallTime: 15 * time.Second, BodyTime: 5 * time.Minute,
	})
}

var _ = Describe("Budget", func() {
	var aborted int
	abort := func() { aborted++ }
	open := func(g *limit.Budget, at time.Duration, address string, size int64) (*limit.Body, limit.Cause) {
		body, cause, evicted := g.Open(begin.Add(at), address, size, abort)
		limit.AbortAll(evicted)
		return body, cause
	}
	read := func(g *limit.Budget, at time.Duration, body *limit.Body, n int) limit.Cause {
		cause, evicted := g.Received(begin.Add(at), body, n)
		limit.AbortAll(evicted)
		return cause
	}
	// fill opens bodies that receive all but one byte, until no more are admitted.
	fill := func(g *limit.Budget, at time.Duration, address string) (bodies int) {
		for {
			body, cause := open(g, at, address, large)
			if cause == limit.None {
				cause = read(g, at, body, large-1)
			}
			if cause != limit.None {
				return bodies
			}
			bodies++
		}
	}
	BeforeEach(func() { aborted = 0 })

	It("serves the largest legal body at the slowest steady rate", func() {
		g := newBudget()
		body, cause := open(g, 0, "a", large)
		Expect(cause).To(Equal(limit.None))
		for second := time.Second; second <= large/(1<<10)*time.Second; second += time.Second {
			Expect(g.Deadline(body)).To(BeTemporally(">=", begin.Add(second)))
			Expect(read(g, second, body, 1<<10)).To(Equal(limit.None))
		}
		Expect(g.Whole(body)).To(BeTrue())
	})

	It("ends a body that stalls, and one that is slower than the minimum rate", func() {
		g := newBudget()
		body, _ := open(g, 0, "a", large)
		Expect(g.Deadline(body)).To(Equal(begin.Add(15 * time.Second)))
		for second := time.Duration(1); second <= 20; second++ {
			Expect(read(g, second*time.Second, body, 100)).To(Equal(limit.None))
		}
		Expect(g.Deadline(body)).To(BeTemporally("<", begin.Add(17*time.Second)))
	})

	It("never holds more than its bytes, and returns them all", func() {
		g := newBudget()
		Expect(fill(g, 0, "a")).To(Equal(3))
		_, bytes := g.Used()
		Expect(bytes).To(BeNumerically("<=", 1<<20))
	})

	It("refuses a large body while all others arrive fast enough, and evicts one that has stalled", func() {
		g := newBudget()
		fill(g, 0, "a")
		_, cause := open(g, 100*time.Millisecond, "b", large)
		Expect(cause).To(Equal(limit.Bytes))
		Expect(aborted).To(BeZero())
		body, cause := open(g, 2*time.Second, "b", large)
		Expect(cause).To(Equal(limit.None))
		Expect(read(g, 2*time.Second, body, large)).To(Equal(limit.None))
		Expect(aborted).To(BeNumerically(">", 0))
	})

	It("never evicts a body that has been read to its end", func() {
		g := newBudget()
		for range 3 {
			body, _ := open(g, 0, "a", large)
			Expect(read(g, 0, body, large)).To(Equal(limit.None))
			Expect(g.Whole(body)).To(BeTrue())
		}
		_, cause := open(g, time.Minute, "b", large)
		Expect(cause).To(Equal(limit.Bytes))
		Expect(aborted).To(BeZero())
	})

	// Guards against a flood of small unfinished bodies that takes every slot.
	It("has room for a small body that arrives whole among large and small ones that do not", func() {
		g := newBudget()
		fill(g, 0, "a")
		for range 100 {
			_, _ = open(g, 0, "a", 1000)
		}
		body, cause := open(g, time.Second, "b", 1000)
		Expect(cause).To(Equal(limit.None))
		Expect(read(g, time.Second, body, 1000)).To(Equal(limit.None))
		Expect(g.Whole(body)).To(BeTrue())
	})

	It("leaves a part to other addresses than the one that has used up its share", func() {
		g := limit.NewBudget(limit.BodySettings{Bytes: 4 << 20, Count: 64, AddressShare: 0.75, Factor: 1, MinRate: 1, StallTime: time.Minute, BodyTime: time.Hour})
		fill(g, 0, "a")
		body, cause := open(g, 0, "b", large)
		Expect(cause).To(Equal(limit.None))
		Expect(read(g, 0, body, large)).To(Equal(limit.None))
	})
})

var _ = Describe("Budget of large bodies", func() {
	// Guards against buffers of the kernel that no budget counts.
	It("charges larger receive buffers up to half of its bytes", func() {
		g := newBudget()
		body, _, _ := g.Open(begin, "a", large, func() {})
		other, _, _ := g.Open(begin, "a", large, func() {})
		_, before := g.Used()
		Expect(g.Buffer(body, 300<<10)).To(BeTrue())
		Expect(g.Buffer(body, 1)).To(BeFalse())
		Expect(g.Buffer(other, 300<<10)).To(BeFalse())
		_, held := g.Used()
		Expect(held - before).To(Equal(int64(300 << 10)))
		cause, _ := g.Received(begin, body, 100<<10)
		Expect(cause).To(Equal(limit.None))
		_, held = g.Used()
		Expect(held).To(BeNumerically(">=", 400<<10))
		g.Close(body)
		g.Close(other)
		_, held = g.Used()
		Expect(held).To(BeZero())
	})

	// Whole bodies of 16 KB that decode to some 600 KB each held no budget.
	It("charges what a small body decodes to, and leaves the reserved part to other small bodies", func() {
		g := newBudget()
		var refused limit.Cause
		for refused == limit.None {
			body, cause, _ := g.Open(begin, "a", 1000, func() {})
			Expect(cause).To(Equal(limit.None))
			g.Received(begin, body, 1000)
			Expect(g.Whole(body)).To(BeTrue())
			refused, _ = g.Hold(begin, body, 100<<10)
		}
		_, held := g.Used()
		Expect(held).To(BeNumerically("<=", 1<<20))
		_, cause, _ := g.Open(begin, "b", 16<<10, func() {})
		Expect(cause).To(Equal(limit.None))
	})

	// Messages of which little more than the length arrived ended hornbeam-sched.
	It("charges a body that has its buffer at once with its whole size", func() {
		g := limit.NewBudget(limit.BodySettings{Bytes: 1 << 20, Count: 16, AddressShare: 1, Factor: 1, Reserve: true, MinRate: 1, StallTime: time.Minute, BodyTime: time.Hour})
		for range 3 {
			_, cause, _ := g.Open(begin, "a", large, func() {})
			Expect(cause).To(Equal(limit.None))
		}
		_, cause, _ := g.Open(begin, "a", large, func() {})
		Expect(cause).To(Equal(limit.Bytes))
	})
})

var _ = Describe("Instance", func() {
	// The limits of all listeners together allowed more than the smallest instance has.
	It("divides its memory so that a part is left to the process itself", func() {
		kinds := []limit.Kind{limit.Callers, limit.Operators, limit.Peers, limit.Pages, limit.Pages}
		for _, memory := range []int64{96 << 20, 160 << 20, 184 << 20, 536 << 20} {
			for _, unread := range []int64{16 << 10, 64 << 10} {
				i := limit.Instance{Memory: memory, Sockets: 8000, Unread: unread}
				sum := i.BodyBytes() + i.MessageBytes()
				for _, kind := range kinds {
					connections := int64(i.Connections(kind))
					sum += connections*(32<<10+unread) + int64(limit.Queue(int(connections)))*unread
				}
				Expect(sum).To(BeNumerically("<=", memory*11/16), "memory %d, unread %d", memory, unread)
				Expect(i.Connections(limit.Callers)).To(BeNumerically(">=", 100))
			}
		}
		descriptors := 0
		i := limit.Instance{Memory: 1 << 40, Sockets: 500, Unread: 16 << 10}
		for _, kind := range kinds {
			descriptors += i.Connections(kind)
		}
		Expect(descriptors).To(BeNumerically("<=", 500*7/8))
	})
})

// fakeSocket is a socket with bytes that have not been read, or without.
type fakeSocket struct{ unread bool }

func (s *fakeSocket) Close() error { return nil }
func (s *fakeSocket) Unread() bool { return s.unread }

var _ = Describe("Table", func() {
	open := func(t *limit.Table, at time.Duration, address string) (*limit.Connection, limit.Cause, *limit.Connection) {
		return t.Open(begin.Add(at), address, time.Second, &fakeSocket{})
	}

	// An answer was lost whose handler had returned, before it was written.
	It("keeps a connection whose request has just been served", func() {
		t := limit.NewTable(1, 1)
		served, _, _ := open(t, 0, "a")
		served.SetBusy(begin, true)
		served.SetBusy(begin.Add(3*time.Second), false)
		_, cause, evicted := open(t, 3500*time.Millisecond, "b")
		Expect(cause).To(Equal(limit.Connections))
		Expect(evicted).To(BeNil())
		_, _, evicted = open(t, 4*time.Second, "b")
		Expect(evicted).To(Equal(served))
	})

	It("keeps connections that are in use, and evicts the one that has been idle for longest", func() {
		t := limit.NewTable(2, 1)
		idle, _, _ := open(t, 0, "a")
		busy, _, _ := open(t, 0, "a")
		busy.SetBusy(begin, true)
		_, cause, _ := open(t, 500*time.Millisecond, "b")
		Expect(cause).To(Equal(limit.Connections))
		third, cause, evicted := open(t, time.Second, "b")
		Expect(cause).To(Equal(limit.None))
		Expect(evicted).To(Equal(idle))
		third.SetBusy(begin, true)
		_, cause, _ = open(t, time.Minute, "b")
		Expect(cause).To(Equal(limit.Connections))
	})

	It("evicts a connection of the address with the most of them, and frees what is closed", func() {
		t := limit.NewTable(4, 0.75)
		lone, _, _ := open(t, 0, "b")
		for range 3 {
			_, cause, _ := open(t, 500*time.Millisecond, "a")
			Expect(cause).To(Equal(limit.None))
		}
		_, cause, _ := open(t, 500*time.Millisecond, "a")
		Expect(cause).NotTo(Equal(limit.None))
		fresh, cause, evicted := open(t, 3*time.Second, "c")
		Expect(cause).To(Equal(limit.None))
		Expect(evicted).NotTo(Equal(lone))
		for _, c := range []*limit.Connection{fresh, lone, evicted} {
			c.Close()
		}
		Expect(t.Used()).To(Equal(2))
	})

	// Clients that read no answer kept the ports for pages from the platform's checks.
	It("evicts a connection whose client does not receive its answer", func() {
		t := limit.NewTable(1, 1)
		stuck, _, _ := open(t, 0, "a")
		stuck.SetBusy(begin, true)
		stuck.BeginWrite(begin)
		_, cause, _ := open(t, 500*time.Millisecond, "b")
		Expect(cause).To(Equal(limit.Connections))
		_, _, evicted := open(t, 2*time.Second, "b")
		Expect(evicted).To(Equal(stuck))
	})

	// Clients with many addresses displaced the idle connections of a balancer.
	It("evicts a connection without a request before one that has served some", func() {
		t := limit.NewTable(3, 1)
		balancer, _, _ := open(t, 0, "b")
		second, _, _ := open(t, 0, "b")
		for _, c := range []*limit.Connection{balancer, second} {
			c.SetBusy(begin, true)
			c.SetBusy(begin, false)
		}
		silent, _, _ := open(t, time.Second, "a")
		_, _, evicted := open(t, 3*time.Second, "c")
		Expect(evicted).To(Equal(silent))
	})

	// A request in the kernel's buffer was reset without an answer.
	It("keeps a connection on which a request has arrived", func() {
		t := limit.NewTable(2, 1)
		waiting, _, _ := t.Open(begin, "a", time.Second, &fakeSocket{unread: true})
		idle, _, _ := open(t, 500*time.Millisecond, "a")
		_, cause, evicted := open(t, 3*time.Second, "b")
		Expect(cause).To(Equal(limit.None))
		Expect(evicted).To(Equal(idle))
		Expect(evicted).NotTo(Equal(waiting))
	})
})
