package capacity_test

import (
	"context"
	"testing"
	"time"

	"github.com/hornbeamworks/hornbeam/duty"
)

// pingPong passes one message back and forth between two duties n times.
type pingPong struct {
	remaining int
	ping      *duty.Duty[int]
	pong      *duty.Duty[int]
	ended     chan struct{}
}

func (p *pingPong) onPing(batch []int) time.Duration {
	for range batch {
		p.remaining--
		if p.remaining <= 0 {
			close(p.ended)
			return duty.Never
		}
		p.pong.Offer(0)
	}
	return duty.Never
}

func (p *pingPong) onPong(batch []int) time.Duration {
	for range batch {
		p.ping.Offer(0)
	}
	return duty.Never
}

// BenchmarkHandOver measures a round trip of a message between two duties: two rings
// and two thread switches.
func BenchmarkHandOver(b *testing.B) {
	p := &pingPong{remaining: b.N, ended: make(chan struct{})}
	p.ping = duty.New("ping", 1, duty.HandlerFunc[int](p.onPing))
	p.pong = duty.New("pong", 1, duty.HandlerFunc[int](p.onPong))
	group := duty.NewGroup(context.Background())
	group.Start(p.ping, p.pong)
	b.ResetTimer()
	p.ping.Offer(0)
	<-p.ended
	b.StopTimer()
	p.ping.Stop()
	p.pong.Stop()
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}
