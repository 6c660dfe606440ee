package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/rotisserie/eris"
)

// Server serves the registered services to peers.
type Server struct {
	registry *rpc.Server
	// mu guards open, which Serve's end closes while accepting goes on.
	mu   sync.Mutex
	open map[net.Conn]bool
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{registry: rpc.NewServer(), open: map[net.Conn]bool{}}
}

// Register adds a service under the name; its methods follow net/rpc's rules.
func (s *Server) Register(name string, service any) error {
	return eris.Wrapf(s.registry.RegisterName(name, service), "service %s", name)
}

// Serve accepts peers on listener until ctx ends, then closes the listener and
// all connections. spawn runs one connection to its end: a Group's Serve.
func (s *Server) Serve(ctx context.Context, listener net.Listener, spawn func(func(context.Context) error)) error {
	stop := context.AfterFunc(ctx, func() { s.shut(listener) })
	defer stop()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return s.acceptError(ctx, err)
		}
		s.note(connection)
		spawn(func(context.Context) error {
			s.registry.ServeConn(connection)
			s.forget(connection)
			return nil
		})
	}
}

func (s *Server) acceptError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return eris.Wrap(err, "accepting peers")
}

func (s *Server) note(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[connection] = true
}

func (s *Server) forget(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, connection)
}

func (s *Server) shut(listener net.Listener) {
	_ = listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for connection := range s.open {
		_ = connection.Close()
	}
}
