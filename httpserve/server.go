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
	"sync/atomic"

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

// phaseNames are the names of the phases in logs and metrics.
var phaseNames = map[phase]string{serving: "serving", lingering: "lingering", finishing: "finishing"}

// Server serves HTTP on one listener.
type Server struct {
	http  *http.Server
	log   *logging.Logger
	phase atomic.Int32
}

// New returns a server that serves by the settings of server, whose Handler,
// ConnState and ConnContext it replaces.
func New(server *http.Server, log *logging.Logger) *Server {
	s := &Server{http: server, log: log}
	server.Handler = s.handler(server.Handler)
	server.ConnState = recordIdle
	server.ConnContext = withConn
	return s
}

// Listen returns a listener whose connections the server tracks. A TLS listener is
// built on top of it.
func (s *Server) Listen(listener net.Listener) net.Listener {
	return &acceptor{Listener: listener, server: s}
}

// Serve serves on a listener that Listen has returned, or on a TLS listener on top
// of it, until Drain or Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serving HTTP")
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Drain serves until linger returns, closing each connection after its answer, and
// then waits for the calls in flight until ctx ends.
func (s *Server) Drain(ctx context.Context, linger func(context.Context)) {
	s.phase.Store(int32(lingering))
	s.http.SetKeepAlivesEnabled(false)
	linger(ctx)
	s.phase.Store(int32(finishing))
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Warn("calls_cut_off", slog.Any("error", err))
	}
}

// acceptor is a listener whose connections are tracked.
type acceptor struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	accepted, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return a.server.track(accepted), nil
}

func (s *Server) track(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, server: s}
	machine.Start(&c.state, c)
	return c
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, tracked(accepted))
}

// tracked returns the tracked connection under one that net/http serves; nil if
// there is none.
func tracked(served net.Conn) *conn {
	if secured, ok := served.(*tls.Conn); ok {
		served = secured.NetConn()
	}
	c, _ := served.(*conn)
	return c
}

// recordIdle is called by net/http when the state of a connection changes.
func recordIdle(served net.Conn, state http.ConnState) {
	if c := tracked(served); c != nil && state == http.StateIdle {
		c.record(evIdle)
	}
}

// handler records when the handler of a request begins and when it returns. A
// handler that panics does not return.
func (s *Server) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.record(evHandlerBegun)
		next.ServeHTTP(w, r)
		c.record(evHandlerReturned)
	})
}
