package httpserve_test

import (
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lateListener accepts connections whose reads that have timed out return after
// resume, as on an instance that waits for the CPU.
type lateListener struct {
	net.Listener
	timedOut, resume chan struct{}
}

type lateConn struct {
	*net.TCPConn
	listener *lateListener
}

func (l *lateListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: accepted.(*net.TCPConn), listener: l}, nil
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if os.IsTimeout(err) {
		select {
		case c.listener.timedOut <- struct{}{}:
			<-c.listener.resume
		case <-c.listener.resume:
		}
	}
	return n, err
}

var _ = Describe("A slow instance at the end of a drain", func() {
	// The last read of a connection timed out, and the connection was closed with
	// a request in its buffer.
	It("answers a request that arrives as the last read times out", func() {
		late := &lateListener{timedOut: make(chan struct{}), resume: make(chan struct{})}
		f := newLayeredFixture(func(socket net.Listener) net.Listener {
			late.Listener = socket
			return late
		})
		c := f.connect()
		time.Sleep(settle)
		done := f.drain(waitTimeout)
		close(f.linger)
		Eventually(late.timedOut).WithTimeout(waitTimeout).Should(Receive())
		late.resume <- struct{}{}
		Eventually(late.timedOut).WithTimeout(waitTimeout).Should(Receive())
		c.send(whole)
		time.Sleep(settle)
		close(late.resume)
		c.expectAnswer("ok")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})
})

// wrappedListener hides the methods of a connection that net.Conn does not have, as a
// listener that limits connections does.
type wrappedListener struct{ net.Listener }

type wrappedConn struct{ net.Conn }

func (l wrappedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrappedConn{accepted}, nil
}

var _ = Describe("A slow instance that limits its connections, at the end of a drain", func() {
	// The buffer of such a connection was not looked at before it was closed.
	It("answers a request that arrives as the last read times out", func() {
		late := &lateListener{timedOut: make(chan struct{}), resume: make(chan struct{})}
		f := newLayeredFixture(func(socket net.Listener) net.Listener {
			late.Listener = socket
			return wrappedListener{late}
		})
		c := f.connect()
		time.Sleep(settle)
		done := f.drain(waitTimeout)
		close(f.linger)
		Eventually(late.timedOut).WithTimeout(waitTimeout).Should(Receive())
		late.resume <- struct{}{}
		Eventually(late.timedOut).WithTimeout(waitTimeout).Should(Receive())
		c.send(whole)
		time.Sleep(settle)
		close(late.resume)
		c.expectAnswer("ok")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})
})

var _ = Describe("Requests that arrive in one segment", func() {
	It("are answered when the linger time ends before the first answer", func() {
		f := newFixture()
		c := f.connect()
		c.send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n" + whole)
		Eventually(f.arrived).WithTimeout(waitTimeout).Should(Receive())
		done := f.drain(waitTimeout)
		close(f.linger)
		time.Sleep(settle)
		close(f.release)
		c.expectAnswer("ok")
		c.expectAnswer("ok")
		Eventually(done).WithTimeout(waitTimeout).Should(BeClosed())
	})
})
