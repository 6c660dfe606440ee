package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lastAcceptTime is how long a connection is awaited after the linger time, when
	// those in the listener's queue are accepted.
	lastAcceptTime = 20 * time.Millisecond
	// queueTime bounds the time in which the queue is emptied.
	queueTime = 500 * time.Millisecond
)

// acceptor is a listener whose connections are tracked.
type acceptor struct {
	net.Listener
	// socket is the listener without the layers on top of it.
	socket  *socketListener
	server  *Server
	stopped atomic.Bool
}

// socketListener records the connection that was accepted last: a layer may return
// one that hides the methods of its socket.
type socketListener struct {
	net.Listener
	accepted net.Conn
}

// Accept implements net.Listener.
func (l *socketListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	l.accepted = accepted
	return accepted, err
}

// Listen returns a listener whose connections the server tracks. layers, which may be
// nil, returns a listener on top of socket, which limits or secures its connections
// and whose Accept returns the connection that it has accepted last. Listen is called
// once, before Serve and Drain.
func (s *Server) Listen(socket net.Listener, layers func(net.Listener) net.Listener) net.Listener {
	recorded := &socketListener{Listener: socket}
	s.acceptor = &acceptor{Listener: recorded, socket: recorded, server: s}
	if layers != nil {
		s.acceptor.Listener = layers(recorded)
	}
	return s.acceptor
}

// Accept implements net.Listener. It returns http.ErrServerClosed after stop.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		accepted, err := a.Listener.Accept()
		switch {
		case err == nil:
			return a.server.track(accepted, a.socket.accepted), nil
		case !a.stopped.Load():
			return nil, err
		case isTimeout(err) && a.queued():
			a.setDeadline()
		case isTimeout(err) || errors.Is(err, net.ErrClosed):
			return nil, http.ErrServerClosed
		default:
			return nil, err
		}
	}
}

// queued reports whether a connection waits to be accepted: on a busy instance Accept
// may time out though one does.
func (a *acceptor) queued() bool {
	ready := 0
	withDescriptor(a.socket.Listener, func(fd int) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return ready > 0
}

// withDescriptor calls f with the file descriptor of a socket. It returns false if the
// socket has none, or has been closed.
func withDescriptor(socket any, f func(fd int)) bool {
	system, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// setDeadline bounds the wait for a connection. An error means that the listener is
// closed.
func (a *acceptor) setDeadline() {
	if socket, ok := a.socket.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = socket.SetDeadline(time.Now().Add(lastAcceptTime))
	}
}

// stop accepts the connections in the listener's queue and closes the listener. It
// returns when no connection will be tracked any more, or ctx ends.
func (a *acceptor) stop(ctx context.Context) {
	a.stopped.Store(true)
	a.setDeadline()
	timer := time.NewTimer(queueTime)
	defer timer.Stop()
	select {
	case <-a.server.served:
	case <-timer.C:
		// Accept waits for a free connection, or the server has not begun.
	}
	_ = a.Close()
	select {
	case <-a.server.served:
	case <-ctx.Done():
	}
}
