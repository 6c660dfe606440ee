package httpserve

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

// machine interprets the chart of a connection. It is bound in init, since
// report_cut reads the state's name from it.
var machine *chart.Machine[conn]

// The events of a connection.
var evBytesRead, evNextRead, evWritten, evWriteFailed chart.Event
var evHandlerBegun, evHandlerReturned, evIdle, evClosed chart.Event

// stateAccepted is the state before the first byte, stateFlushing that after the handler
// of a request. withoutRequest are the states in which no byte of a request has been
// read.
var (
	stateAccepted, stateFlushing chart.State

	withoutRequest chart.StateSet
)

const (
	// lastReadTime bounds the last read of a connection that ends. It covers the time
	// for which a goroutine may wait for the CPU on a small instance.
	lastReadTime = 20 * time.Millisecond
	// firstReadTime bounds it on a connection that has had no request. Its first one
	// is on its way, which takes a few round trips.
	firstReadTime = 500 * time.Millisecond
	// receiveTime bounds the wait for a caller to receive an answer and close the
	// connection, which takes a round trip.
	receiveTime = 400 * time.Millisecond
)

func init() {
	machine = chart.MustBind(charts.MustLoad("http_connection"),
		chart.Guards[conn]{},
		chart.Actions[conn]{"begin_request": (*conn).beginRequest, "report_cut": (*conn).reportCut})
	evBytesRead = machine.MustEvent("bytes_read")
	evNextRead = machine.MustEvent("next_read")
	evWritten = machine.MustEvent("written")
	evWriteFailed = machine.MustEvent("write_failed")
	evHandlerBegun = machine.MustEvent("handler_begun")
	evHandlerReturned = machine.MustEvent("handler_returned")
	evIdle = machine.MustEvent("idle")
	evClosed = machine.MustEvent("closed")
	stateAccepted = machine.MustState("accepted")
	stateFlushing = machine.MustState("flushing")
	withoutRequest = machine.MustSet("accepted", "waiting")
}

// conn is a caller's connection. It records whether a request has been read that has
// no complete answer.
type conn struct {
	net.Conn
	// socket is the connection without the layers on top of it.
	socket net.Conn
	server *Server
	// tlsConn is the connection if it has TLS, and otherwise nil.
	tlsConn *tls.Conn

	// mu guards the fields below: net/http reads on one goroutine while the handler
	// runs on another.
	mu    sync.Mutex
	state chart.State
	// began is when the first byte of the request was read, bytes the number read
	// since then.
	began time.Time
	bytes int
	// handled is set once the handler of the request has begun.
	handled bool
	// failure is the last error of a read or write, without timeouts. byCaller is set
	// when the caller closed the connection.
	failure  error
	byCaller bool
	// deadline is the deadline of reads that net/http has set. While ending is set
	// another one is in force, so that a read without bytes returns.
	deadline time.Time
	ending   bool
	// handshakeDone is set after the handshake of a connection with TLS.
	handshakeDone bool
}

// Read implements net.Conn. At the end of a drain it returns io.EOF if no byte of a
// request has been read. Bytes that it has read are never discarded.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.handshake(); err != nil {
		c.recordRead(len(p), 0, err)
		return 0, err
	}
	n, err := c.Conn.Read(p)
	for n == 0 && isTimeout(err) && c.beginLastRead() {
		n, err = c.Conn.Read(p)
		if n == 0 && isTimeout(err) && c.endEmpty() {
			return 0, io.EOF
		}
	}
	c.recordRead(len(p), n, err)
	return n, err
}

// handshake completes the handshake of a connection with TLS before its first read.
func (c *conn) handshake() error {
	if c.tlsConn == nil {
		return nil
	}
	// It returns at once after the first one.
	err := c.tlsConn.Handshake()
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.handshakeDone
	c.handshakeDone = true
	if first && err == nil && c.server.is(finishing) {
		c.endWaiting()
	}
	return err
}

// end makes the connection end unless bytes of a request have been read.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWaiting()
}

// endWaiting interrupts the read of a connection without a request. A handshake is not
// interrupted, since its request follows. The caller holds mu.
func (c *conn) endWaiting() {
	if !withoutRequest.Has(c.state) || c.ending || c.tlsConn != nil && !c.handshakeDone {
		return
	}
	c.ending = true
	c.setReadDeadline(time.Now())
}

// beginLastRead reports whether the read was interrupted by end. It then allows one
// more, for bytes that had arrived but were not read.
func (c *conn) beginLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		return false
	}
	allowed := lastReadTime
	if c.state == stateAccepted {
		allowed = firstReadTime
	}
	c.setReadDeadline(time.Now().Add(allowed))
	return true
}

// endEmpty closes the sending side unless bytes have arrived: a read on a busy instance
// may time out though they have. It reports whether none had. With TLS the sending
// side is closed by Close, which sends an alert before.
func (c *conn) endEmpty() bool {
	arrived := 0
	known := withDescriptor(c.socket, func(fd int) {
		var err error
		if arrived, err = unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil && arrived == 0 && c.tlsConn == nil {
			// An error means that the connection has ended.
			_ = unix.Shutdown(fd, unix.SHUT_WR)
		}
	})
	return !known || arrived == 0
}

// unreadIn returns the number of bytes that have arrived at the socket and have not been
// read; 0 if that is not known.
func unreadIn(socket any) int {
	arrived := 0
	withDescriptor(socket, func(fd int) {
		if bytes, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			arrived = bytes
		}
	})
	return arrived
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// setReadDeadline sets the deadline of the socket. It fails only on a closed
// connection, whose reads then return that error.
func (c *conn) setReadDeadline(t time.Time) { _ = c.Conn.SetReadDeadline(t) }

// recordRead records the result of a read into size bytes. While a handler runs
// net/http reads a single byte, the first one after the request's body.
func (c *conn) recordRead(size, n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !isTimeout(err) {
		c.failure = err
		c.byCaller = !errors.Is(err, net.ErrClosed)
	}
	if n == 0 {
		return
	}
	if size == 1 {
		c.fire(evNextRead)
	} else {
		c.fire(evBytesRead)
	}
	c.bytes += n
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failure = err
		c.fire(evWriteFailed)
		return n, err
	}
	c.fire(evWritten)
	return n, nil
}

// Close implements net.Conn. During a drain it waits until the caller has received its
// answer, since what is not yet sent may be lost with the process.
func (c *conn) Close() error {
	c.mu.Lock()
	answered := c.state == stateFlushing
	c.fire(evClosed)
	c.mu.Unlock()
	if answered && c.server.awaitsCallers() {
		c.awaitCaller()
	}
	err := c.Conn.Close()
	c.server.untrack(c)
	return err
}

// awaitCaller waits until the caller closes the connection, for receiveTime at most.
func (c *conn) awaitCaller() {
	if c.CloseWrite() != nil {
		return
	}
	c.setReadDeadline(time.Now().Add(receiveTime))
	// Any result ends the wait: the caller has closed the connection, or has sent more
	// after an answer with Connection: close, or the time is over.
	_, _ = c.Conn.Read(make([]byte, 1))
}

// CloseWrite closes the sending side, as net/http does after an answer to a request
// that it has not read to its end.
func (c *conn) CloseWrite() error {
	served := c.socket
	if c.tlsConn != nil {
		served = c.tlsConn
	}
	if half, ok := served.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// record processes the event.
func (c *conn) record(event chart.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fire(event)
}

// fire processes the event. The caller holds mu.
func (c *conn) fire(event chart.Event) {
	machine.Fire(&c.state, event, c)
	if event == evHandlerBegun {
		c.handled = true
	}
	if event == evIdle && c.server.is(finishing) {
		c.endWaiting()
	}
}

// beginRequest starts a request. The connection does not end before its answer.
func (c *conn) beginRequest() {
	c.began, c.bytes, c.handled = time.Now(), 0, false
	if c.ending {
		c.ending = false
		c.setReadDeadline(c.deadline)
	}
}

// reportCut reports that the connection ends with a request that has no complete
// answer.
func (c *conn) reportCut() {
	c.server.reportCut(cut{
		age: time.Since(c.began), bytes: c.bytes, handled: c.handled,
		byCaller: c.byCaller, failure: c.failure,
	})
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
