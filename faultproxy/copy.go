package faultproxy

import (
	"context"
	"io"
	"net"
	"time"
)

// copy passes the bytes of one direction on until its end.
func (p *Proxy) copy(way direction, from, to *net.TCPConn) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && !p.pass(way, piece[:n], from, to) {
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

// pass carries out the verdict on one piece. It returns false when nothing
// more is to be copied.
func (p *Proxy) pass(way direction, piece []byte, from, to *net.TCPConn) bool {
	reply := make(chan verdict, 1)
	v, ok := ask(p, pieceMessage{way, reply}, reply)
	switch {
	case !ok || v.reset:
		reset(from)
		reset(to)
		return false
	case v.lose:
		swallow(from)
		if way == up {
			reset(to)
		}
		return false
	case !wait(p.ctx, v.delay):
		return false
	}
	return p.write(to, piece, v.drip)
}

// swallow reads and drops until the sender ends the connection. A caller whose
// replies are lost hears nothing of that end.
func swallow(from *net.TCPConn) {
	_, _ = io.Copy(io.Discard, from)
}

// write writes the piece, drip bytes at a time when drip is not 0.
func (p *Proxy) write(to *net.TCPConn, piece []byte, drip int) bool {
	for drip > 0 && len(piece) > drip {
		if _, err := to.Write(piece[:drip]); err != nil || !wait(p.ctx, dripPeriod) {
			return false
		}
		piece = piece[drip:]
	}
	_, err := to.Write(piece)
	return err == nil
}

// wait waits for d and reports false when ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
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
