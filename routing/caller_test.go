package routing_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
)

// short is the budget of calls that are meant to use it up.
const short = 300 * time.Millisecond

var _ = Describe("Caller", func() {
	settings := routing.DefaultSettings()

	It("follows a hint, remembers the holder and asks it at once the next time", func() {
		b := newBench(settings, map[string]answerer{"p1": hints("p2"), "p2": answers(result.Pending)}, "p1")
		for range 3 {
			Expect(b.call(generous, true).Reached).To(BeTrue())
		}
		Expect(b.peers.count("p1")).To(Equal(1))
		Expect(b.peers.count("p2")).To(Equal(3))
	})

	It("goes elsewhere when the peer is down, and nothing may have run", func() {
		b := newBench(settings, map[string]answerer{"p1": fails(peerrpc.ErrNotSent), "p2": answers(result.Pending)}, "p1", "p2")
		Expect(b.call(generous, true).Reached).To(BeTrue())
		b.peers.set("p2", fails(peerrpc.ErrNotSent))
		outcome := b.call(short, true)
		Expect(outcome).To(Equal(routing.Outcome{}))
	})

	It("never calls a submission without a reply not run", func() {
		b := newBench(settings, map[string]answerer{"p1": fails(peerrpc.ErrNoReply)}, "p1")
		Expect(b.call(short, true)).To(Equal(routing.Outcome{MayHaveRun: true}))
	})

	It("stays exposed when later tries are not sent", func() {
		b := newBench(settings, map[string]answerer{"p1": fails(peerrpc.ErrNotSent)}, "p1")
		first := true
		b.peers.set("p1", func(context.Context) (peer.Reply, error) {
			if first {
				first = false
				return peer.Reply{}, peerrpc.ErrNoReply
			}
			return peer.Reply{}, peerrpc.ErrNotSent
		})
		Expect(b.call(short, true)).To(Equal(routing.Outcome{MayHaveRun: true}))
	})

	It("finds the successor of a holder that stopped replying", func() {
		b := newBench(settings, map[string]answerer{"p1": answers(result.Pending), "p2": hints("p1")}, "p1", "p2")
		Expect(b.call(generous, true).Reached).To(BeTrue())
		b.peers.set("p1", fails(peerrpc.ErrNoReply))
		b.peers.set("p2", answers(result.OK))
		outcome := b.call(generous, true)
		Expect(outcome.Reached).To(BeTrue())
		Expect(outcome.Reply.Answer.Code).To(Equal(int(result.OK)))
	})

	It("is not led in circles by hints", func() {
		b := newBench(settings, map[string]answerer{"p1": hints("p2"), "p2": hints("p3"), "p3": hints("p1")}, "p1")
		Expect(b.call(short, true)).To(Equal(routing.Outcome{}))
		Expect(b.peers.count("p1") + b.peers.count("p2") + b.peers.count("p3")).To(BeNumerically("<", 200))
		b.peers.set("p3", answers(result.OK))
		Expect(b.call(generous, true).Reached).To(BeTrue())
	})

	It("stops retrying when the budget of the domain is used up", func() {
		settings := settings
		settings.RetriesPerSecond, settings.RetryBurst = 0.001, 3
		b := newBench(settings, map[string]answerer{"p1": fails(peerrpc.ErrNoReply)}, "p1")
		Expect(b.call(generous, false).Reached).To(BeFalse())
		Expect(b.peers.count("p1")).To(Equal(4))
	})

	It("opens the breaker of a peer that is down and closes it when the peer is back", func() {
		settings := settings
		settings.BreakerFailures, settings.BreakerPause = 1, 50*time.Millisecond
		b := newBench(settings, map[string]answerer{"p1": fails(peerrpc.ErrNotSent)}, "p1")
		Expect(b.call(short, false).Reached).To(BeFalse())
		b.peers.set("p1", answers(result.OK))
		Expect(b.call(generous, false).Reached).To(BeTrue())
	})

	It("does not hold a caller's leaving against the peer", func() {
		settings := settings
		settings.BreakerFailures, settings.BreakerPause = 1, time.Hour
		b := newBench(settings, map[string]answerer{}, "p1")
		ctx, leave := context.WithCancel(context.Background())
		b.peers.set("p1", func(ctx context.Context) (peer.Reply, error) {
			leave()
			<-ctx.Done()
			return peer.Reply{}, peerrpc.ErrNoReply
		})
		bounded, cancel := context.WithTimeout(ctx, generous)
		defer cancel()
		Expect(b.callIn(bounded, true)).To(Equal(routing.Outcome{MayHaveRun: true}))
		b.peers.set("p1", answers(result.OK))
		Expect(b.call(generous, false).Reached).To(BeTrue())
	})
})

// instant is a peer that replies at once.
type instant struct{}

func (instant) Call(context.Context, string, string, any, any) error { return nil }

// BenchmarkCall is the routing of one call: two trips through the duty.
func BenchmarkCall(b *testing.B) {
	router := routing.NewRouter(routing.DefaultSettings(), clock.System{}, routing.Addresses{"a": {"p1", "p2"}})
	group := duty.NewGroup(context.Background())
	group.Start(router)
	caller := routing.NewCaller(router, instant{}, clock.System{})
	question := routing.Question{Shard: home, Method: "Await", Try: generous, Args: func(int) any { return nil }}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		for pb.Next() {
			if !caller.Call(ctx, question).Reached {
				b.Error("not reached")
			}
		}
	})
	router.Stop()
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
}
