// Package faultproxy is a small TCP proxy that injects faults, for tests. The
// faults are replaced while it runs; what is left to chance is drawn from a
// seed.
//
// One duty decides over every piece of bytes. Accepting and copying are
// blocking calls of their own; a copier that waits for its verdict reads
// nothing more, so that a cut pushes back to the sender.
package faultproxy

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
)

const (
	// ringCapacity is the number of messages that wait for the judge. A full
	// ring pushes back on the copiers.
	ringCapacity = 1024
	// pieceBytes is the largest piece that is judged at once.
	pieceBytes = 16 << 10
	// dripPeriod is the time between two drips.
	dripPeriod = 10 * time.Millisecond
	// dialTimeout bounds the time to connect to the target.
	dialTimeout = 2 * time.Second
)

// Proxy passes connections on to one target.
type Proxy struct {
	group    *duty.Group
	judge    *duty.Duty[message]
	listener net.Listener
	target   string
	ctx      context.Context
	cancel   context.CancelFunc
}

// Listen returns a proxy that listens on address and passes connections on to
// target until it is closed or the group ends.
func Listen(group *duty.Group, address, target string, seed uint64) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "fault proxy")
	}
	ctx, cancel := context.WithCancel(group.Context())
	p := &Proxy{
		group:    group,
		judge:    duty.New[message]("faultproxy", ringCapacity, newJudge(seed)),
		listener: listener, target: target, ctx: ctx, cancel: cancel,
	}
	context.AfterFunc(ctx, p.end)
	group.Start(p.judge)
	group.Serve(p.accept)
	return p, nil
}

// Address returns the host and port to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults. It returns when they are in force.
func (p *Proxy) Set(faults Faults) {
	reply := make(chan struct{}, 1)
	ask(p, setMessage{faults, reply}, reply)
}

// Stats returns the counters.
func (p *Proxy) Stats() Stats {
	reply := make(chan Stats, 1)
	stats, _ := ask(p, statsMessage{reply}, reply)
	return stats
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() { p.cancel() }

func (p *Proxy) end() {
	_ = p.listener.Close()
	p.judge.Stop()
}

// ask puts m to the judge; ok is false when the proxy ends first.
func ask[R any](p *Proxy, m message, reply <-chan R) (r R, ok bool) {
	if p.judge.Put(p.ctx, m) != nil {
		return r, false
	}
	select {
	case r = <-reply:
		return r, true
	case <-p.ctx.Done():
		return r, false
	}
}

func (p *Proxy) accept(context.Context) error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			// The listener was closed by end.
			return nil
		}
		p.group.Serve(func(context.Context) error {
			p.serve(client.(*net.TCPConn))
			return nil
		})
	}
}

// serve connects the client to the target and copies both ways.
func (p *Proxy) serve(client *net.TCPConn) {
	reply := make(chan verdict, 1)
	v, ok := ask(p, newMessage{reply}, reply)
	if !ok || v.reset {
		reset(client)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	target := raw.(*net.TCPConn)
	stop := context.AfterFunc(p.ctx, func() {
		reset(client)
		reset(target)
	})
	defer stop()
	done := make(chan struct{})
	p.group.Serve(func(context.Context) error {
		defer close(done)
		p.copy(down, target, client)
		return nil
	})
	p.copy(up, client, target)
	<-done
	_ = client.Close()
	_ = target.Close()
}

// reset closes the connection so that its peer sees a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
