package httpserve_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

// drain starts a drain whose calls in flight have the given time, and returns a
// channel that is closed at its end.
func (f *fixture) drain(allowed time.Duration) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), allowed)
		defer cancel()
		f.server.Drain(ctx, func(ctx context.Context) {
			select {
			case <-f.linger:
			case <-ctx.Done():
			}
		})
	}()
	time.Sleep(settle)
	return done
}

// Each of these requests was read and got no answer: net/http returned from the
// connection, or closed it, once its Shutdown had begun.
var _ = Describe("A request on a connection that was accepted before the drain is answered", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })
	AfterEach(func() { Expect(f.log).NotTo(gbytes.Say("request_cut")) })

	It("when it is sent on a new connection while the drain lingers", func() {
		c := f.connect()
		time.Sleep(settle)
		done := f.drain(waitTimeout)
		c.send(whole)
		c.expectAnswer("ok")
		close(f.linger)
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("when it is sent on an idle connection while the drain lingers", func() {
		c := f.connect()
		c.send(whole)
		c.expectAnswer("ok")
		done := f.drain(waitTimeout)
		c.send(whole)
		_, _, closes := c.answer()
		Expect(closes).To(BeTrue())
		c.expectEnd()
		close(f.linger)
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("when it is on its way on a new connection at the end of the linger time", func() {
		c := f.connect()
		done := f.drain(waitTimeout)
		close(f.linger)
		time.Sleep(3 * settle)
		c.send(whole)
		c.expectAnswer("ok")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("when half of its header was read before the linger time ended", func() {
		c := f.connect()
		c.send(whole[:20])
		time.Sleep(settle)
		done := f.drain(waitTimeout)
		close(f.linger)
		time.Sleep(settle)
		c.send(whole[20:])
		c.expectAnswer("ok")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("when half of its header was read on an idle connection", func() {
		c := f.connect()
		c.send(whole)
		c.expectAnswer("ok")
		c.send(whole[:20])
		time.Sleep(settle)
		done := f.drain(waitTimeout)
		close(f.linger)
		time.Sleep(settle)
		c.send(whole[20:])
		c.expectAnswer("ok")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("when its body arrives after the linger time", func() {
		c := f.connect()
		c.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc")
		Eventually(f.arrived).WithTimeout(waitTimeout).Should(Receive())
		done := f.drain(waitTimeout)
		close(f.linger)
		time.Sleep(settle)
		c.send("def")
		c.expectAnswer("abcdef")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("when it waits for permission to send its body", func() {
		c := f.connect()
		c.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n")
		status, err := c.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(ContainSubstring("100 Continue"))
		_, err = c.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		done := f.drain(waitTimeout)
		close(f.linger)
		time.Sleep(settle)
		c.send("abc")
		c.expectAnswer("abc")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("when the next one follows before its answer", func() {
		c := f.connect()
		c.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(f.arrived).WithTimeout(waitTimeout).Should(Receive())
		c.send(whole)
		time.Sleep(settle)
		done := f.drain(waitTimeout)
		close(f.linger)
		time.Sleep(settle)
		close(f.release)
		c.expectAnswer("ok")
		c.expectAnswer("ok")
		c.expectEnd()
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("when many callers send on idle connections at the moment at which the linger time ends", func() {
		const callers, rounds = 40, 5
		for range rounds {
			f := newFixture()
			idle := make([]*caller, callers)
			for i := range idle {
				idle[i] = f.connect()
				idle[i].send(whole)
				idle[i].expectAnswer("ok")
			}
			done := f.drain(waitTimeout)
			start := make(chan struct{})
			for i, c := range idle {
				go func() {
					defer GinkgoRecover()
					<-start
					time.Sleep(time.Duration(i) * 25 * time.Microsecond)
					// A connection that has ended without a byte read may refuse the write.
					_, _ = c.Write([]byte(whole))
				}()
			}
			close(start)
			close(f.linger)
			Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
			Expect(f.log).NotTo(gbytes.Say("request_cut"))
		}
	})
})

var _ = Describe("The end of a drain", func() {
	var f *fixture
	BeforeEach(func() { f = newFixture() })

	It("closes connections without a request and accepts no more", func() {
		unused, idle := f.connect(), f.connect()
		idle.send(whole)
		idle.expectAnswer("ok")
		done := f.drain(waitTimeout)
		close(f.linger)
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
		unused.expectEnd()
		idle.expectEnd()
	})

	It("accepts connections until the linger time ends", func() {
		done := f.drain(waitTimeout)
		c := f.connect()
		c.send(whole)
		_, _, closes := c.answer()
		Expect(closes).To(BeTrue())
		close(f.linger)
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("answers what callers have sent before their connection was accepted", func() {
		var all []*caller
		done := f.drain(waitTimeout)
		for range 30 {
			c := f.connect()
			c.send(whole)
			all = append(all, c)
		}
		close(f.linger)
		for _, c := range all {
			c.expectAnswer("ok")
		}
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})

	It("waits for the calls in flight until its time is over and then reports them", func() {
		c := f.connect()
		c.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(f.arrived).WithTimeout(waitTimeout).Should(Receive())
		close(f.linger)
		done := f.drain(4 * settle)
		Expect(done).NotTo(BeClosed())
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(f.log).To(gbytes.Say("event=calls_cut_off"))
		Expect(f.server.Close()).To(Succeed())
		Eventually(f.log).WithTimeout(waitTimeout).Should(gbytes.Say("drain=finishing.*event=request_cut"))
		close(f.release)
	})

	It("ends the wait of a request of the drain in time for its answer", func() {
		done := f.drain(20 * settle)
		c := f.connect()
		c.send("GET /waiting HTTP/1.1\r\nHost: x\r\n\r\n")
		Eventually(f.arrived).WithTimeout(waitTimeout).Should(Receive())
		close(f.linger)
		c.expectAnswer("ok")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
		Expect(f.log).NotTo(gbytes.Say("calls_cut_off"))
	})

	It("waits until the caller has received its answer", func() {
		done := f.drain(waitTimeout)
		c := f.connect()
		c.send(whole)
		Eventually(f.arrived).WithTimeout(waitTimeout).Should(Receive())
		close(f.linger)
		Consistently(done).WithTimeout(4 * settle).ShouldNot(BeClosed())
		c.expectAnswer("ok")
		Expect(c.Close()).To(Succeed())
		Eventually(done).WithTimeout(4 * settle).Should(BeClosed())
	})

	It("does not wait for a caller that never completes its header", func() {
		c := f.connect()
		c.send(strings.TrimSuffix(whole, "\n"))
		time.Sleep(settle)
		close(f.linger)
		done := f.drain(waitTimeout)
		Eventually(done).WithTimeout(waitTimeout / 4).Should(BeClosed())
	})
})
