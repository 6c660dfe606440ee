package limit

import (
	"sync"
	"time"
)

// Table decides which connections a listener keeps. It is safe for concurrent use.
type Table struct {
	// most bounds the connections, mostPerAddress those of one client address.
	most, mostPerAddress int

	mu        sync.Mutex
	open      map[*Connection]struct{}
	addresses map[string]int
}

// Connection is an open connection.
type Connection struct {
	table   *Table
	address string
	socket  Socket
	// last is when bytes were last read or written. busy is set while a request that has
	// been read is served. grace is the time without bytes after which the connection may
	// be evicted.
	last  time.Time
	busy  bool
	grace time.Duration
	// served is set once a request has been served.
	served bool
	// writing is set during a write, which waits while the client receives nothing.
	writing bool
}

// Socket is the socket of a connection. Its methods are called from any goroutine.
type Socket interface {
	// Close closes it.
	Close() error
	// Unread reports whether bytes have arrived that have not been read.
	Unread() bool
}

// victimTries bounds the connections that are examined to make room for one.
const victimTries = 4

// NewTable returns a table without connections. share is the fraction of the connections
// that one client address may have.
func NewTable(connections int, share float64) *Table {
	return &Table{
		most: connections, mostPerAddress: max(1, int(share*float64(connections))),
		open: map[*Connection]struct{}{}, addresses: map[string]int{},
	}
}

// Open admits a connection; nil if it has to be closed. grace is the time without bytes
// after which it may be evicted. The evicted connection, if any, has to be closed.
func (t *Table) Open(now time.Time, address string, grace time.Duration, socket Socket) (c *Connection, cause Cause, evicted *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full := t.full(address); full != None {
		evicted = t.unusedVictim(now, address, full)
		if evicted == nil {
			return nil, full, nil
		}
		t.remove(evicted)
	}
	c = &Connection{table: t, address: address, socket: socket, last: now, grace: grace}
	t.open[c] = struct{}{}
	t.addresses[address]++
	return c, None, evicted
}

func (t *Table) full(address string) Cause {
	switch {
	case len(t.open) >= t.most:
		return Connections
	case t.addresses[address] >= t.mostPerAddress:
		return AddressConnections
	}
	return None
}

// unusedVictim returns the victim, but none on which a request has arrived: closing it would
// reset the connection without an answer.
func (t *Table) unusedVictim(now time.Time, address string, cause Cause) *Connection {
	for range victimTries {
		found := t.victim(now, address, cause)
		if found == nil || found.writing || !found.socket.Unread() {
			return found
		}
		found.last = now
	}
	return nil
}

// victim returns the connection that makes room for another one, or nil if all are in use.
// Those without a request in service, and those whose client receives no answer, do so once
// they have been idle for their grace. If the address has used up its share, it is one of the
// same address.
func (t *Table) victim(now time.Time, address string, cause Cause) *Connection {
	var found *Connection
	for c := range t.open {
		if c.busy && !c.writing || now.Sub(c.last) < c.grace || cause == AddressConnections && c.address != address {
			continue
		}
		if found == nil || t.goesBefore(c, found) {
			found = c
		}
	}
	return found
}

// goesBefore reports whether c makes room before other: one on which no request has been
// served before one that is in use from time to time, then one of the address with more
// connections, then the one that has been idle for longer.
func (t *Table) goesBefore(c, other *Connection) bool {
	if c.served != other.served {
		return other.served
	}
	if mine, others := t.addresses[c.address], t.addresses[other.address]; mine != others {
		return mine > others
	}
	return c.last.Before(other.last)
}

// Used returns the number of open connections.
func (t *Table) Used() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

func (t *Table) remove(c *Connection) {
	if _, found := t.open[c]; !found {
		return
	}
	delete(t.open, c)
	if t.addresses[c.address]--; t.addresses[c.address] == 0 {
		delete(t.addresses, c.address)
	}
}

// Evict closes a connection that was returned as evicted. An error means that it has been
// closed already.
func (c *Connection) Evict() { _ = c.socket.Close() }

// Active records that bytes were read.
func (c *Connection) Active(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.last = now
}

// BeginWrite records that bytes are being written, until EndWrite.
func (c *Connection) BeginWrite(now time.Time) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.writing, c.last = true, now
}

// EndWrite records that a write has ended.
func (c *Connection) EndWrite() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.writing = false
}

// SetBusy records whether a request that has been read is being served. Its answer is on
// the way for a moment after that, so that the time without bytes begins anew.
func (c *Connection) SetBusy(now time.Time, busy bool) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.busy, c.last = busy, now
	c.served = c.served || !busy
}

// SetGrace sets the time without bytes after which the connection may be evicted.
func (c *Connection) SetGrace(grace time.Duration) {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.grace = grace
}

// Close removes the connection.
func (c *Connection) Close() {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.table.remove(c)
}
