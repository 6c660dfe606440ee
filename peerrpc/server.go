package peerrpc

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/httpserve/limit"
)

// Server serves the registered net/rpc services to peers.
type Server struct {
	registry *rpc.Server
	// limiter and budget limit the messages of peers; nil for no limits.
	limiter *httpserve.Limiter
	budget  *limit.Budget
	// mu guards open and closed: the connections are closed when Serve's context ends,
	// while Serve may still accept further ones.
	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{registry: rpc.NewServer(), open: map[net.Conn]bool{}}
}

// Limit sets the limits on open messages of peers. It is called before Serve, whose listener
// is one of l.
func (s *Server) Limit(l *httpserve.Limiter) { s.limiter, s.budget = l, l.PeerBudget() }

// Register registers a service under the name. Its methods must satisfy the
// rules of net/rpc.
func (s *Server) Register(name string, service any) error {
	return eris.Wrapf(s.registry.RegisterName(name, service), "register RPC service %s", name)
}

// Serve accepts connections of peers on listener until ctx ends, then closes the
// listener and all connections. spawn starts a function that serves one connection
// until it is closed; it is the method Serve of a duty.Group.
func (s *Server) Serve(ctx context.Context, listener net.Listener, spawn func(func(context.Context) error)) error {
	stop := context.AfterFunc(ctx, func() { s.closeAll(listener) })
	defer stop()
	for {
		connection, err := listener.Accept()
		if isShortage(err) {
			duty.Sleep(ctx, shortageWait)
			continue
		}
		if err != nil {
			return s.acceptError(ctx, err)
		}
		s.track(connection)
		spawn(func(context.Context) error {
			s.serveConn(connection)
			s.untrack(connection)
			return nil
		})
	}
}

// shortageWait is the time until the next connection is accepted after the process has run
// out of descriptors or memory for one.
const shortageWait = 50 * time.Millisecond

// isShortage reports whether no connection could be accepted for now: the process or the
// machine lacks descriptors or memory, or the client has disconnected.
func isShortage(err error) bool {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

func (s *Server) serveConn(connection net.Conn) {
	if s.limiter == nil {
		s.registry.ServeConn(connection)
		return
	}
	limited := &limitedReader{Conn: connection, limiter: s.limiter, budget: s.budget, address: httpserve.ClientOf(connection.RemoteAddr().String())}
	limited.connection, _ = connection.(*httpserve.LimitedConn)
	s.registry.ServeConn(limited)
	limited.end()
}

func (s *Server) acceptError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "accept connection from peer")
}

// track registers the connection, or closes it once closeAll was called.
func (s *Server) track(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = connection.Close()
		return
	}
	s.open[connection] = true
}

func (s *Server) untrack(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, connection)
}

func (s *Server) closeAll(listener net.Listener) {
	_ = listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for connection := range s.open {
		_ = connection.Close()
	}
}
