// Package peerrpc carries messages between the system's own processes by
// net/rpc over TCP.
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

// Errors of calls.
var (
	// ErrNotSent means that the call did not leave this process: the peer has
	// not seen it.
	ErrNotSent = eris.New("peer not reached")
	// ErrNoReply means that the call was sent and no reply came: the peer may
	// have acted on it.
	ErrNoReply = eris.New("no reply from peer")
)

// dialTimeout bounds the time to connect to a peer.
const dialTimeout = 500 * time.Millisecond

// silence is how long a connection may bring nothing while a call that has been
// given up waited for its reply: peers answer within some milliseconds.
const silence = 300 * time.Millisecond

// Client keeps one connection to each peer that it has called.
type Client struct {
	// mu guards connections: callers are the handlers of many requests, and
	// each holds it only to look up or replace an entry.
	mu          sync.Mutex
	connections map[string]*link
}

// link is one connection. Its end is made by closing the socket, never the
// rpc.Client: net/rpc gives ErrShutdown to calls that were sent, too, when its
// client is closed while the peer hangs up. So ErrShutdown always stands for a
// call that was not sent.
type link struct {
	*rpc.Client
	socket *socket
}

// socket notes when bytes last came.
type socket struct {
	net.Conn
	readAt atomic.Int64
}

// Read implements net.Conn.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.readAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// silentSince reports whether nothing has come since a call was sent, for so
// long that the connection is taken as lost.
func (s *socket) silentSince(sent time.Time) bool {
	return time.Since(sent) >= silence && s.readAt.Load() < sent.UnixNano()
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{connections: map[string]*link{}}
}

// Call calls the method of the peer at address and fills reply. It returns
// ErrNotSent, ErrNoReply, or the error that the method returned. reply, a pointer,
// is written only when the call succeeds: net/rpc decodes a reply that comes after
// ctx has ended into a value of its own.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	connection, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	sent := time.Now()
	own := reflect.New(reflect.TypeOf(reply).Elem())
	call := connection.Go(method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		if connection.socket.silentSince(sent) {
			c.drop(address, connection)
		}
		return eris.Wrapf(ErrNoReply, "%s at %s: %v", method, address, ctx.Err())
	case done := <-call.Done:
		if done.Error == nil {
			reflect.ValueOf(reply).Elem().Set(own.Elem())
		}
		return c.settle(address, connection, done.Error)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		_ = connection.socket.Close()
		delete(c.connections, address)
	}
}

func (c *Client) connect(ctx context.Context, address string) (*link, error) {
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
	return c.keep(address, &link{Client: rpc.NewClient(connected), socket: connected}), nil
}

// keep stores a new connection, unless another caller was faster.
func (c *Client) keep(address string, fresh *link) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.connections[address]; other != nil {
		_ = fresh.socket.Close()
		return other
	}
	c.connections[address] = fresh
	return fresh
}

// settle tells an error of the peer's method from one of the connection.
func (c *Client) settle(address string, connection *link, err error) error {
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

func (c *Client) drop(address string, connection *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connections[address] == connection {
		delete(c.connections, address)
	}
	_ = connection.socket.Close()
}
