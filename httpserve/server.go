// Package httpserve serves HTTP for a process that drains: the connections of
// callers, each by the chart http_connection.scxml, and the end of serving.
package httpserve

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/logging"
)

// phase is the state of a server's drain.
type phase int32

const (
	// serving is the time before the drain.
	serving phase = iota
	// lingering is the time in which the drain still accepts connections.
	lingering
	// finishing is the time in which the requests in progress are answered.
	finishing
)

// answerTime is the time reserved at the end of a drain for writing the answers that
// were still awaited, and for their callers to receive them (receiveTime).
const answerTime = 800 * time.Millisecond

// phaseNames are the names of the phases in logs and metrics.
var phaseNames = map[phase]string{serving: "serving", lingering: "lingering", finishing: "finishing"}

// Server serves HTTP on one listener. Its drain takes the place of that of net/http,
// which discards requests that it reads once Shutdown has begun, and closes idle
// connections whose next request has been read.
type Server struct {
	http *http.Server
	log  *logging.Logger
	// acceptor is the listener, served is closed when Serve has returned.
	acceptor *acceptor
	served   chan struct{}

	phase atomic.Int32
	// closed is set by Close.
	closed atomic.Bool
	// answerBy is the deadline of the requests that are read during a drain; nil if
	// the drain has none.
	answerBy atomic.Pointer[time.Time]
	// mu guards open, the connections that are not closed: each is opened and closed
	// on a goroutine of its own.
	mu   sync.Mutex
	open map[*conn]struct{}
	// drained is closed when a drain is finishing and no connection is open.
	drained      chan struct{}
	closeDrained sync.Once
}

// New returns a server that serves by the settings of server, whose Handler,
// ConnState and ConnContext it replaces.
func New(server *http.Server, log *logging.Logger) *Server {
	s := &Server{
		http: server, log: log, served: make(chan struct{}),
		open: map[*conn]struct{}{}, drained: make(chan struct{}),
	}
	server.Handler = s.handler(server.Handler)
	server.ConnState = recordIdle
	server.ConnContext = withConn
	return s
}

// Serve serves on the listener that Listen has returned until Drain or Close.
func (s *Server) Serve(listener net.Listener) error {
	defer close(s.served)
	return ServeUntilClosed(s.http, listener)
}

// ServeUntilClosed serves on the listener until the server is closed.
func ServeUntilClosed(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serving HTTP")
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.closed.Store(true)
	return s.http.Close()
}

// awaitsCallers reports whether a connection waits for its caller before it closes.
func (s *Server) awaitsCallers() bool { return !s.is(serving) && !s.closed.Load() }

// Drain serves until linger returns, closing each connection after its answer. It
// then accepts no more connections, ends those on which no byte of a request has been
// read, and waits for the answers on the others until ctx ends. The contexts of
// requests that are read during the drain end answerTime before ctx, so that their
// handlers answer with what is certain by then.
func (s *Server) Drain(ctx context.Context, linger func(context.Context)) {
	if end, bounded := ctx.Deadline(); bounded {
		answerBy := end.Add(-answerTime)
		s.answerBy.Store(&answerBy)
	}
	s.phase.Store(int32(lingering))
	linger(ctx)
	s.acceptor.stop(ctx)
	s.finish()
	select {
	case <-s.drained:
	case <-ctx.Done():
		s.log.Warn("calls_cut_off", slog.Int("connections", s.connections()))
	}
}

// finish ends the connections without a request. One that is idle later ends itself.
func (s *Server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase.Store(int32(finishing))
	for c := range s.open {
		c.end()
	}
	s.closeIfDrained()
}

func (s *Server) is(p phase) bool { return s.phase.Load() == int32(p) }

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *Server) track(accepted, socket net.Conn) *conn {
	c := &conn{Conn: accepted, socket: socket, server: s}
	c.tlsConn, _ = accepted.(*tls.Conn)
	machine.Start(&c.state, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.open[c]; !found {
		return
	}
	delete(s.open, c)
	s.closeIfDrained()
}

// closeIfDrained closes drained when the last connection has ended. A connection is
// accepted later only if the drain's time was over before the listener was closed. The
// caller holds mu.
func (s *Server) closeIfDrained() {
	if s.is(finishing) && len(s.open) == 0 {
		s.closeDrained.Do(func() { close(s.drained) })
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, served net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, served)
}

// recordIdle is called by net/http when the state of a connection changes.
func recordIdle(served net.Conn, state http.ConnState) {
	if c, ok := served.(*conn); ok && state == http.StateIdle {
		c.record(evIdle)
	}
}

// handler records when the handler of a request begins and when it returns. A
// handler that panics does not return. During a drain the connection ends with the
// answer; a caller that sends several requests at once repeats the others elsewhere
// (RFC 9112, 9.6).
func (s *Server) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		c.record(evHandlerBegun)
		if s.is(serving) {
			next.ServeHTTP(w, r)
		} else {
			w.Header().Set("Connection", "close")
			s.serveInDrain(next, w, r)
		}
		c.record(evHandlerReturned)
	})
}

// serveInDrain calls the handler with the deadline of the drain.
func (s *Server) serveInDrain(next http.Handler, w http.ResponseWriter, r *http.Request) {
	answerBy := s.answerBy.Load()
	if answerBy == nil {
		next.ServeHTTP(w, r)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), *answerBy)
	defer cancel()
	next.ServeHTTP(w, r.WithContext(ctx))
}
