package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/rotisserie/eris"
)

// Server serves the registered net/rpc services to peers.
type Server struct {
	registry *rpc.Server
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
		if err != nil {
			return s.acceptError(ctx, err)
		}
		s.track(connection)
		spawn(func(context.Context) error {
			s.registry.ServeConn(connection)
			s.untrack(connection)
			return nil
		})
	}
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
