package httpserve

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/hornbeamworks/hornbeam/httpserve/limit"
)

const (
	// receiveBuffer is the size of a connection's receive buffer, largeReceiveBuffer that
	// while a large body arrives for which the budget has room. The kernel doubles both for
	// its overhead.
	receiveBuffer, largeReceiveBuffer = 8 << 10, 32 << 10
	// largeUnreadBytes is what the kernel accepts with a large buffer, defaultUnreadBytes
	// what it is taken to accept if it does not report its limit.
	largeUnreadBytes, defaultUnreadBytes = 2 * largeReceiveBuffer, 128 << 10
)

// Listen returns a listener for clients of the kind at the TCP address, with the limits of
// Limit. The memory of an instance includes what has been received and not read, on accepted
// connections and on those that wait to be accepted. A paused process reads nothing, so the
// kernel has to bound both.
func (l *Limiter) Listen(kind limit.Kind, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	var queueErr error
	if !withDescriptor(listener, func(fd int) { queueErr = unix.Listen(fd, limit.Queue(l.connections(kind))) }) {
		queueErr = errors.ErrUnsupported
	}
	if queueErr != nil {
		return nil, errors.Join(queueErr, listener.Close())
	}
	return l.Limit(kind, listener), nil
}

// limitReceiveBuffer sets the receive buffer that connections inherit. It has to be set
// before the socket listens, since the window is negotiated when a connection is
// established.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) { optionErr = setReceiveBuffer(int(fd), receiveBuffer) })
	return errors.Join(err, optionErr)
}

func setReceiveBuffer(fd, bytes int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// unreadBytes returns the number of bytes that the kernel accepts for a connection of Listen.
// Some platforms have buffers of a fixed size.
func unreadBytes() int64 {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return defaultUnreadBytes
	}
	defer func() { _ = unix.Close(fd) }()
	if setReceiveBuffer(fd, receiveBuffer) != nil {
		return defaultUnreadBytes
	}
	bytes, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err != nil || bytes <= 0 {
		return defaultUnreadBytes
	}
	return int64(bytes)
}
