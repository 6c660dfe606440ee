package peerrpc

import (
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/httpserve"
	"github.com/hornbeamworks/hornbeam/httpserve/limit"
)

const (
	// maxMessageBytes limits a message of a peer. The largest ones are transactions, of at
	// most 1 MB of values, and handed-over requests.
	maxMessageBytes = 16 << 20
	// peerGrace is the time without bytes after which a connection on which a peer has sent
	// a message may make room for another one. It exceeds the wait of every call.
	peerGrace = 40 * time.Second
	// maxLengthBytes is the size of the longest length of a message, in gob's encoding.
	maxLengthBytes = 9
)

var errMessageRefused = eris.New("message of a peer refused")

// limitedReader reads the messages of one peer within the limits on open requests. net/rpc
// sends gob messages, each with its length, whose decoder would buffer what arrives of a
// message of up to 1 GB for any time.
type limitedReader struct {
	net.Conn
	limiter *httpserve.Limiter
	budget  *limit.Budget
	address string
	// connection is Conn if its listener has limits, and otherwise nil.
	connection *httpserve.LimitedConn
	// length holds the bytes of a length that has been read in part, missing is what has
	// not been read of the current message, received what has been, and body its entry; nil
	// between messages.
	length            []byte
	missing, received uint64
	body              *limit.Body
	// refused is set when a message has been refused: net/rpc reads on after an error in
	// the arguments of a call.
	refused bool
}

// Read implements net.Conn.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.refused {
		return 0, errMessageRefused
	}
	deadline := time.Time{}
	if l.body != nil {
		deadline = l.budget.Deadline(l.body)
	}
	if err := l.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := l.Conn.Read(p)
	if cause := l.scan(p[:n]); cause != limit.None {
		l.limiter.Record("message", cause, l.address)
		l.refused = true
		_ = l.Conn.Close()
		return 0, errMessageRefused
	}
	return n, err
}

// scan follows the lengths of the messages through the bytes.
func (l *limitedReader) scan(p []byte) limit.Cause {
	for len(p) > 0 {
		if l.missing == 0 {
			l.length = append(l.length, p[0])
			p = p[1:]
			size, whole, valid := decodeLength(l.length)
			if !valid || size > maxMessageBytes {
				return limit.MessageSize
			}
			if !whole {
				continue
			}
			l.length, l.missing, l.received = l.length[:0], size, 0
			if cause := l.begin(size); cause != limit.None {
				return cause
			}
			continue
		}
		n := min(l.missing, uint64(len(p)))
		l.missing -= n
		p = p[n:]
		cause, evicted := l.budget.Received(time.Now(), l.body, int(n))
		limit.AbortAll(evicted)
		if cause != limit.None {
			return cause
		}
		l.received += n
		if l.received > limit.SmallBytes {
			l.connection.EnlargeBuffer(l.budget, l.body)
		}
		if l.missing == 0 {
			l.end()
		}
	}
	return limit.None
}

func (l *limitedReader) begin(size uint64) limit.Cause {
	if size == 0 {
		return limit.None
	}
	body, cause, evicted := l.budget.Open(time.Now(), l.address, int64(size), func() { _ = l.Conn.Close() })
	limit.AbortAll(evicted)
	l.body = body
	return cause
}

// end releases the message that has been read.
func (l *limitedReader) end() {
	if l.body != nil {
		l.connection.RestoreBuffer()
		l.budget.Close(l.body)
		l.body = nil
	}
	if l.connection != nil {
		l.connection.SetGrace(peerGrace)
	}
}

// decodeLength decodes a length in the encoding of package gob: a byte below 128 is the
// length, others are the negated number of the bytes that follow, most significant first.
func decodeLength(raw []byte) (size uint64, whole, valid bool) {
	if raw[0] < 128 {
		return uint64(raw[0]), true, true
	}
	following := -int(int8(raw[0]))
	if following >= maxLengthBytes {
		return 0, false, false
	}
	for _, b := range raw[1:] {
		size = size<<8 | uint64(b)
	}
	return size, len(raw) == 1+following, true
}
