// Package limit decides which request bodies and connections of clients a process holds.
// It does no I/O and reads no clock: package httpserve and package peerrpc read the
// bodies, accept the connections and close what is evicted.
//
// Load: untrusted clients that open many requests and stop short of their end. Bodies use
// a budget of bytes and of slots, of which a part is reserved for small ones. When a
// budget is used up, the client that has sent nothing for longest is evicted; if all
// clients are sending, the one that arrives is refused.
package limit

// Cause is the limit that refused or evicted a client. It is used in logs and metrics.
type Cause string

// The causes.
const (
	// None means that the client may go on.
	None Cause = ""
	// Bytes and Bodies mean that the budget of bytes, or of open bodies, is used up.
	Bytes  Cause = "bytes"
	Bodies Cause = "bodies"
	// AddressBytes, AddressBodies and AddressConnections mean that the client's address has
	// used up its share.
	AddressBytes       Cause = "address_bytes"
	AddressBodies      Cause = "address_bodies"
	AddressConnections Cause = "address_connections"
	// Connections means that the number of connections is reached.
	Connections Cause = "connections"
	// BodyTime means that a body arrived more slowly than allowed.
	BodyTime Cause = "body_time"
	// Evicted means that the client made room for another one.
	Evicted Cause = "evicted"
	// MessageSize means that a message of a peer is larger than allowed.
	MessageSize Cause = "message_size"
)
