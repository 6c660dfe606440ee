package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// lastAcceptTime is how long connections are accepted after the linger time: those
// that are in the listener's queue.
const lastAcceptTime = 20 * time.Millisecond

// acceptor is a listener whose connections are tracked.
type acceptor struct {
	net.Listener
	// socket is the listener without limits on connections.
	socket  net.Listener
	server  *Server
	stopped atomic.Bool
}

// Listen returns a listener whose connections the server tracks. limit, which may be
// nil, limits the connections that are accepted. A TLS listener is built on top of
// the returned one. Listen is called once, before Serve and Drain.
func (s *Server) Listen(socket net.Listener, limit func(net.Listener) net.Listener) net.Listener {
	s.acceptor = &acceptor{Listener: socket, socket: socket, server: s}
	if limit != nil {
		s.acceptor.Listener = limit(socket)
	}
	return s.acceptor
}

// Accept implements net.Listener. It returns http.ErrServerClosed after stop.
func (a *acceptor) Accept() (net.Conn, error) {
	accepted, err := a.Listener.Accept()
	if err == nil {
		return a.server.track(accepted), nil
	}
	if a.stopped.Load() && (isTimeout(err) || errors.Is(err, net.ErrClosed)) {
		return nil, http.ErrServerClosed
	}
	return nil, err
}

// stop accepts the connections in the listener's queue and closes the listener. It
// returns when no connection will be tracked any more, or ctx ends.
func (a *acceptor) stop(ctx context.Context) {
	a.stopped.Store(true)
	if socket, ok := a.socket.(interface{ SetDeadline(time.Time) error }); ok {
		// An error means that the listener is closed.
		_ = socket.SetDeadline(time.Now().Add(lastAcceptTime))
		timer := time.NewTimer(2 * lastAcceptTime)
		defer timer.Stop()
		select {
		case <-a.server.served:
		case <-timer.C:
			// Accept waits for a free connection, or the server has not begun.
		}
	}
	_ = a.Close()
	select {
	case <-a.server.served:
	case <-ctx.Done():
	}
}
