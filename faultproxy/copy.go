package faultproxy

import (
	"context"
	"io"
	"net"
	"time"
)

// forward copies the bytes of one direction until the end of the stream.
func (p *Proxy) forward(dir direction, from, to *net.TCPConn) {
	chunk := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(chunk)
		if n > 0 && !p.forwardChunk(dir, chunk[:n], from, to) {
			return
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			reset(from)
			reset(to)
			return
		}
	}
}

// forwardChunk applies the fault injector's action to one chunk. It returns
// false when no more bytes are to be copied.
func (p *Proxy) forwardChunk(dir direction, chunk []byte, from, to *net.TCPConn) bool {
	reply := make(chan action, 1)
	v, ok := postAndWait(p, chunkMessage{dir, chunk, reply}, reply)
	switch {
	case !ok || v.reset:
		reset(from)
		reset(to)
		return false
	case v.lose:
		discard(from)
		if dir == up {
			reset(to)
		}
		return false
	case !sleep(p.ctx, v.delay):
		return false
	}
	return p.write(to, chunk, v.dripBytes)
}

// discard reads and drops until the sender closes the connection. When replies
// are lost, the client does not notice that end.
func discard(from *net.TCPConn) {
	_, _ = io.Copy(io.Discard, from)
}

// write writes the chunk, dripBytes at a time when dripBytes is not 0.
func (p *Proxy) write(to *net.TCPConn, chunk []byte, dripBytes int) bool {
	for dripBytes > 0 && len(chunk) > dripBytes {
		if _, err := to.Write(chunk[:dripBytes]); err != nil || !sleep(p.ctx, dripPeriod) {
			return false
		}
		chunk = chunk[dripBytes:]
	}
	_, err := to.Write(chunk)
	return err == nil
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
