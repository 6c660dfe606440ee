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

// shortBudget is the time budget of calls that are expected to exhaust it.
const shortBudget = 300 * time.Millisecond

var _ = Describe("Caller", func() {
	settings := routing.DefaultSettings()

	It("follows a hint and calls the recorded holder directly the next time", func() {
		f := newFixture(settings, map[string]behaviour{"p1": hints("p2"), "p2": answers(result.Pending)}, "p1")
		for range 3 {
			Expect(f.call(testTimeout, true).Reached).To(BeTrue())
		}
		Expect(f.peers.count("p1")).To(Equal(1))
		Expect(f.peers.count("p2")).To(Equal(3))
	})

	It("tries another peer when one is unreachable, and reports that nothing may have run", func() {
		f := newFixture(settings, map[string]behaviour{"p1": fails(peerrpc.ErrNotSent), "p2": answers(result.Pending)}, "p1", "p2")
		Expect(f.call(testTimeout, true).Reached).To(BeTrue())
		f.peers.set("p2", fails(peerrpc.ErrNotSent))
		outcome := f.call(shortBudget, true)
		Expect(outcome).To(Equal(routing.Outcome{}))
	})

	It("never reports a submission without a reply as not run", func() {
		f := newFixture(settings, map[string]behaviour{"p1": fails(peerrpc.ErrNoReply)}, "p1")
		Expect(f.call(shortBudget, true)).To(Equal(routing.Outcome{MayHaveRun: true}))
	})

	It("still reports that work may have run when later tries are not sent", func() {
		f := newFixture(settings, map[string]behaviour{"p1": fails(peerrpc.ErrNotSent)}, "p1")
		first := true
		f.peers.set("p1", func(context.Context) (peer.Reply, error) {
			if first {
				first = false
				return peer.Reply{}, peerrpc.ErrNoReply
			}
			return peer.Reply{}, peerrpc.ErrNotSent
		})
		Expect(f.call(shortBudget, true)).To(Equal(routing.Outcome{MayHaveRun: true}))
	})

	It("finds the successor of an unresponsive holder", func() {
		f := newFixture(settings, map[string]behaviour{"p1": answers(result.Pending), "p2": hints("p1")}, "p1", "p2")
		Expect(f.call(testTimeout, true).Reached).To(BeTrue())
		f.peers.set("p1", fails(peerrpc.ErrNoReply))
		f.peers.set("p2", answers(result.OK))
		outcome := f.call(testTimeout, true)
		Expect(outcome.Reached).To(BeTrue())
		Expect(outcome.Reply.Answer.Code).To(Equal(int(result.OK)))
	})

	It("does not follow a loop of hints", func() {
		f := newFixture(settings, map[string]behaviour{"p1": hints("p2"), "p2": hints("p3"), "p3": hints("p1")}, "p1")
		Expect(f.call(shortBudget, true)).To(Equal(routing.Outcome{}))
		Expect(f.peers.count("p1") + f.peers.count("p2") + f.peers.count("p3")).To(BeNumerically("<", 200))
		f.peers.set("p3", answers(result.OK))
		Expect(f.call(testTimeout, true).Reached).To(BeTrue())
	})

	It("stops retrying when the retry budget of the domain is exhausted", func() {
		settings := settings
		settings.RetriesPerSecond, settings.RetryBurst = 0.001, 3
		f := newFixture(settings, map[string]behaviour{"p1": fails(peerrpc.ErrNoReply)}, "p1")
		Expect(f.call(testTimeout, false).Reached).To(BeFalse())
		Expect(f.peers.count("p1")).To(Equal(4))
	})

	It("opens the breaker of an unreachable peer and closes it when the peer is available again", func() {
		settings := settings
		settings.BreakerFailures, settings.BreakerOpenTime = 1, 50*time.Millisecond
		f := newFixture(settings, map[string]behaviour{"p1": fails(peerrpc.ErrNotSent)}, "p1")
		Expect(f.call(shortBudget, false).Reached).To(BeFalse())
		f.peers.set("p1", answers(result.OK))
		Expect(f.call(testTimeout, false).Reached).To(BeTrue())
	})

	It("does not count a cancellation by the caller as a failure of the peer", func() {
		settings := settings
		settings.BreakerFailures, settings.BreakerOpenTime = 1, time.Hour
		f := newFixture(settings, map[string]behaviour{}, "p1")
		ctx, cancelCaller := context.WithCancel(context.Background())
		f.peers.set("p1", func(ctx context.Context) (peer.Reply, error) {
			cancelCaller()
			<-ctx.Done()
			return peer.Reply{}, peerrpc.ErrNoReply
		})
		bounded, cancel := context.WithTimeout(ctx, testTimeout)
		defer cancel()
		Expect(f.callIn(bounded, true)).To(Equal(routing.Outcome{MayHaveRun: true}))
		f.peers.set("p1", answers(result.OK))
		Expect(f.call(testTimeout, false).Reached).To(BeTrue())
	})
})

// instantPeer is a peer that replies immediately.
type instantPeer struct{}

func (instantPeer) Call(context.Context, string, string, any, any) error { return nil }

// BenchmarkCall measures the routing of one call: two round trips to the duty.
func BenchmarkCall(b *testing.B) {
	router := routing.NewRouter(routing.DefaultSettings(), clock.System{}, routing.Addresses{"a": {"p1", "p2"}})
	group := duty.NewGroup(context.Background())
	group.Start(router)
	caller := routing.NewCaller(router, instantPeer{}, clock.System{})
	question := routing.HolderCall{Shard: home, Method: "Await", TryTimeout: testTimeout, Args: func(int) any { return nil }}
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
