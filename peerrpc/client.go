// Package peerrpc sends messages between the system's own processes by net/rpc
// over TCP. The client keeps one connection per peer and distinguishes calls
// that were not sent from calls whose outcome is unknown. It does not retry.
package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of calls that failed in transport.
var (
	// ErrNotSent means that the call was not sent: the peer has not received it.
	ErrNotSent = eris.New("peer not reached")
	// ErrNoReply means that the call was sent and no reply arrived: the peer may
	// have executed it.
	ErrNoReply = eris.New("no reply from peer")
)

// dialTimeout bounds the time for connecting to a peer.
const dialTimeout = 500 * time.Millisecond

// unresponsiveTimeout is the time without received bytes after which a
// connection is considered lost when a call on it times out. Peers usually
// reply within a few milliseconds.
const unresponsiveTimeout = 300 * time.Millisecond

// Client calls peers and keeps one connection to each of them. It may be used
// concurrently.
type Client struct {
	// mu guards connections. The handlers of many requests use the client
	// concurrently; each holds mu only to look up or replace an entry.
	mu          sync.Mutex
	connections map[string]*peerConnection
}

// peerConnection is the connection to one peer. It is closed by closing the
// socket, never the rpc.Client: when an rpc.Client is closed while the peer
// disconnects, net/rpc returns ErrShutdown also for calls that were sent. With
// only the socket closed, ErrShutdown always means that the call was not sent.
type peerConnection struct {
	*rpc.Client
	socket *socket
}

// socket is a net.Conn that records the time at which bytes were last received.
type socket struct {
	net.Conn
	// lastReadAt is in nanoseconds of the Unix time.
	lastReadAt atomic.Int64
}

// Read implements net.Conn.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.lastReadAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// unresponsiveSince reports whether no bytes were received since a call was
// sent, and at least unresponsiveTimeout has passed since then.
func (s *socket) unresponsiveSince(sent time.Time) bool {
	return time.Since(sent) >= unresponsiveTimeout && s.lastReadAt.Load() < sent.UnixNano()
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{connections: map[string]*peerConnection{}}
}

// Call calls the method of the peer at address and fills reply. It returns
// ErrNotSent, ErrNoReply, or the error that the method returned. reply must be
// a pointer. It is written only when the call succeeds: a reply that arrives
// after ctx has ended is decoded into a separate value.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	connection, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	sent := time.Now()
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := connection.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if connection.socket.unresponsiveSince(sent) {
			c.drop(address, connection)
		}
		return eris.Wrapf(ErrNoReply, "%s at %s: %v", method, address, ctx.Err())
	case done := <-call.Done:
		if done.Error == nil {
			reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		}
		return c.handleError(address, connection, done.Error)
	}
}

// Close closes all connections. Calls in flight return an error.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		_ = connection.socket.Close()
		delete(c.connections, address)
	}
}

func (c *Client) connect(ctx context.Context, address string) (*peerConnection, error) {
	c.mu.Lock()
	connection := c.connections[address]
	c.mu.Unlock()
	if connection != nil {
		return connection, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "%s: %v", address, err)
	}
	connected := &socket{Conn: raw}
	return c.store(address, &peerConnection{Client: rpc.NewClient(connected), socket: connected}), nil
}

// store registers a new connection and returns it. If another caller has
// registered one in the meantime, the new one is closed and the existing one
// returned.
func (c *Client) store(address string, fresh *peerConnection) *peerConnection {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.connections[address]; other != nil {
		_ = fresh.socket.Close()
		return other
	}
	c.connections[address] = fresh
	return fresh
}

// handleError returns an error of the peer's method unchanged. For an error of the
// connection it drops the connection and returns ErrNotSent or ErrNoReply.
func (c *Client) handleError(address string, connection *peerConnection, err error) error {
	if err == nil {
		return nil
	}
	if _, ok := err.(rpc.ServerError); ok {
		return err
	}
	c.drop(address, connection)
	if err == rpc.ErrShutdown {
		return eris.Wrapf(ErrNotSent, "%s: %v", address, err)
	}
	return eris.Wrapf(ErrNoReply, "%s: %v", address, err)
}

func (c *Client) drop(address string, connection *peerConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] == connection {
		delete(c.connections, address)
	}
	_ = connection.socket.Close()
}
