package httpserve

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hornbeamworks/hornbeam/httpserve/limit"
)

// limitedListener is a listener with a bounded number of connections.
type limitedListener struct {
	net.Listener
	limiter *Limiter
	kind    limit.Kind
	table   *limit.Table
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := ClientOf(accepted.RemoteAddr().String())
		entry, cause, evicted := l.table.Open(time.Now(), address, idleGrace, socket{accepted})
		if evicted != nil {
			evicted.Evict()
			l.limiter.Record(l.kind, limit.Evicted, address)
		}
		if entry == nil {
			_ = accepted.Close()
			l.limiter.Record(l.kind, cause, address)
			continue
		}
		return &LimitedConn{Conn: accepted, entry: entry}, nil
	}
}

// socket implements limit.Socket.
type socket struct{ net.Conn }

// Unread implements limit.Socket.
func (s socket) Unread() bool { return unreadIn(s.Conn) > 0 }

// SetDeadline bounds the wait for a connection, as that of the socket does.
func (l *limitedListener) SetDeadline(t time.Time) error {
	if socket, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return socket.SetDeadline(t)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (l *limitedListener) SyscallConn() (syscall.RawConn, error) { return syscallConn(l.Listener) }

func syscallConn(socket any) (syscall.RawConn, error) {
	if system, ok := socket.(syscall.Conn); ok {
		return system.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// LimitedConn is a connection of a listener with a bounded number of connections.
type LimitedConn struct {
	net.Conn
	entry *limit.Connection
	// enlarged is set while the receive buffer is large. It is used by the goroutine that
	// reads a body.
	enlarged bool
}

// Read implements net.Conn.
func (c *LimitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.entry.Active(time.Now())
	}
	return n, err
}

// Write implements net.Conn. While it waits for the client to receive, the connection may
// make room for another one.
func (c *LimitedConn) Write(p []byte) (int, error) {
	c.entry.BeginWrite(time.Now())
	defer c.entry.EndWrite()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *LimitedConn) Close() error {
	c.entry.Close()
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *LimitedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *LimitedConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// EnlargeBuffer enlarges the receive buffer for a body of which more than SmallBytes have
// been read, so that it arrives in fewer round trips, if the budget has room for what the
// kernel may then hold.
func (c *LimitedConn) EnlargeBuffer(budget *limit.Budget, body *limit.Body) {
	if c == nil || c.enlarged || !budget.Buffer(body, largeUnreadBytes) {
		return
	}
	c.enlarged = true
	c.setReceiveBuffer(largeReceiveBuffer)
}

// RestoreBuffer restores the receive buffer after a body.
func (c *LimitedConn) RestoreBuffer() {
	if c == nil || !c.enlarged {
		return
	}
	c.enlarged = false
	c.setReceiveBuffer(receiveBuffer)
}

// setReceiveBuffer sets the receive buffer and the window that the peer may use. An error
// means that the connection has ended, or that the size stays as it was.
func (c *LimitedConn) setReceiveBuffer(bytes int) {
	withDescriptor(c, func(fd int) {
		if setReceiveBuffer(fd, bytes) == nil {
			_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, 2*bytes)
		}
	})
}

// SetGrace sets the time without bytes after which the connection may make room for
// another one.
func (c *LimitedConn) SetGrace(grace time.Duration) { c.entry.SetGrace(grace) }

// HostOf returns the address without its port, if it has one.
func HostOf(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// subnetBits is the length of the IPv6 prefix that one client has.
const subnetBits = 64

// ClientOf returns the client to which the limits for one address apply: the host of the
// address, or its subnet with IPv6.
func ClientOf(address string) string {
	host := HostOf(address)
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return host
	}
	if ip = ip.Unmap(); ip.Is4() {
		return ip.String()
	}
	subnet, err := ip.WithZone("").Prefix(subnetBits)
	if err != nil {
		return host
	}
	return subnet.String()
}

// limitedConn returns the connection of the request; nil if its listener has no limits.
func limitedConn(ctx context.Context) *LimitedConn {
	served := ctx.Value(connKey{})
	if c, ok := served.(*conn); ok {
		served = c.socket
	}
	c, _ := served.(*LimitedConn)
	return c
}

// setBusy records that the request that has been read is being served.
func (c *LimitedConn) setBusy() {
	if c != nil {
		c.entry.SetBusy(time.Now(), true)
	}
}
