package httpserve

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hornbeamworks/hornbeam/chart"
	"github.com/hornbeamworks/hornbeam/charts"
)

// machine interprets the chart of a connection. It is bound in init, since
// report_cut reads the state's name from it.
var machine *chart.Machine[conn]

// The events of a connection.
var evBytesRead, evNextRead, evWritten, evWriteFailed chart.Event
var evHandlerBegun, evHandlerReturned, evIdle, evClosed chart.Event

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
}

// conn is a caller's connection. It records whether a request has been read that has
// no complete answer.
type conn struct {
	net.Conn
	server *Server

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
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.recordRead(len(p), n, err)
	return n, err
}

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

// Close implements net.Conn.
func (c *conn) Close() error {
	c.record(evClosed)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, as net/http does after an answer to a request
// that it has not read to its end.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
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
	if event == evHandlerBegun {
		c.handled = true
	}
	machine.Fire(&c.state, event, c)
}

func (c *conn) beginRequest() {
	c.began, c.bytes, c.handled = time.Now(), 0, false
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
