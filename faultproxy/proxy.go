// Package faultproxy is a TCP proxy that injects network faults, for tests. The
// faults can be replaced while it runs; random faults are drawn from a seeded
// generator.
//
// One duty decides on every chunk of bytes. Accepting and copying are blocking
// calls outside that duty. A copier reads nothing more while it waits for a
// decision, so that a partition exerts back pressure on the sender.
package faultproxy

import (
	"context"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/duty"
)

const (
	// ringCapacity is the number of messages queued for the fault injector. A
	// full ring blocks the copiers.
	ringCapacity = 1024
	// maxChunkBytes is the largest number of bytes read and decided on at once.
	maxChunkBytes = 16 << 10
	// dripPeriod is the time between two writes when DripBytes limits the rate.
	dripPeriod = 10 * time.Millisecond
	// dialTimeout is the timeout of connecting to the target.
	dialTimeout = 2 * time.Second
)

// Proxy forwards connections to one target.
type Proxy struct {
	group    *duty.Group
	injector *duty.Duty[message]
	listener net.Listener
	target   string
	ctx      context.Context
	cancel   context.CancelFunc
}

// Listen returns a proxy that listens on address and forwards connections to
// target until it is closed or the group ends.
func Listen(group *duty.Group, address, target string, seed uint64) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "fault proxy")
	}
	ctx, cancel := context.WithCancel(group.Context())
	p := &Proxy{
		group:    group,
		injector: duty.New[message]("faultproxy", ringCapacity, newFaultInjector(seed)),
		listener: listener, target: target, ctx: ctx, cancel: cancel,
	}
	context.AfterFunc(ctx, p.end)
	group.Start(p.injector)
	group.Serve(p.accept)
	return p, nil
}

// Address returns the host and port to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults. It returns once the new ones are in force.
func (p *Proxy) Set(faults Faults) {
	reply := make(chan struct{}, 1)
	postAndWait(p, setFaultsMessage{faults, reply}, reply)
}

func (p *Proxy) Stats() Stats {
	reply := make(chan Stats, 1)
	stats, _ := postAndWait(p, statsMessage{reply}, reply)
	return stats
}

// Close stops the proxy and resets all its connections.
func (p *Proxy) Close() { p.cancel() }

func (p *Proxy) end() {
	_ = p.listener.Close()
	p.injector.Stop()
}

// postAndWait puts m into the fault injector's ring and waits for its reply.
// ok is false when the proxy ends first.
func postAndWait[R any](p *Proxy, m message, reply <-chan R) (r R, ok bool) {
	if p.injector.Put(p.ctx, m) != nil {
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
			// end has closed the listener.
			return nil
		}
		p.group.Serve(func(context.Context) error {
			p.serve(client.(*net.TCPConn))
			return nil
		})
	}
}

// serve connects the client to the target and copies bytes in both directions.
func (p *Proxy) serve(client *net.TCPConn) {
	reply := make(chan action, 1)
	v, ok := postAndWait(p, connectionMessage{reply}, reply)
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
		p.forward(down, target, client)
		return nil
	})
	p.forward(up, client, target)
	<-done
	_ = client.Close()
	_ = target.Close()
}

// reset closes the connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
