package dispatch_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/dispatch"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
)

// waitTimeout bounds the waits of the tests; it is reached only on failure.
const waitTimeout = 20 * time.Second

// partitionTime is how long the tests hold back what a holder sends to an agent.
const partitionTime = 300 * time.Millisecond

// slowResponse is longer than half of what a start may take from its permission without
// being logged, and shorter than the timeout of a start.
const slowResponse = 300 * time.Millisecond

// fakeCommander is a fleet.Commander whose response depends on the endpoint's ID:
// "unresponsive" never responds, "fenced" returns ErrFenced, "slow" responds after slowResponse.
type fakeCommander struct {
	mu     sync.Mutex
	starts []jobs.RunID
}

func (c *fakeCommander) Start(ctx context.Context, o fleet.Start) error {
	c.mu.Lock()
	c.starts = append(c.starts, o.Run)
	c.mu.Unlock()
	return c.respond(ctx, o.Target)
}

func (c *fakeCommander) Stop(ctx context.Context, o fleet.Stop) error {
	return c.respond(ctx, o.Target)
}

func (c *fakeCommander) Renew(ctx context.Context, o fleet.Renewal) (fleet.Listing, error) {
	return fleet.Listing{Clock: 7, Born: 3, Ended: []fleet.End{{Number: 1, Outcome: fleet.Succeeded}}}, c.respond(ctx, o.Target)
}

func (c *fakeCommander) respond(ctx context.Context, to fleet.Target) error {
	switch to.ID {
	case "unresponsive":
		<-ctx.Done()
		return eris.Wrap(fleet.ErrNoResponse, "no answer")
	case "fenced":
		return fleet.ErrFenced
	case "slow":
		time.Sleep(slowResponse)
	}
	return nil
}

func (c *fakeCommander) started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.starts)
}

// recordingSink records the outcomes and failures that a Remote reports.
type recordingSink struct {
	mu       sync.Mutex
	outcomes map[uint64]dispatch.Outcome
	failed   []uint64
	sent     bool
}

func (s *recordingSink) Collected(_ *dispatch.Remote, list []dispatch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range list {
		s.outcomes[o.ID] = o
	}
}

func (s *recordingSink) Failed(_ *dispatch.Remote, list []uint64, sent bool, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(list) > 0 {
		s.failed, s.sent = append(s.failed, list...), sent
	}
}

func (s *recordingSink) outcome(id uint64) func() (dispatch.Outcome, bool) {
	return func() (dispatch.Outcome, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		o, found := s.outcomes[id]
		return o, found
	}
}

func (s *recordingSink) failures() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]uint64(nil), s.failed...)
}

// startAgent starts an agent and returns its peer address.
func startAgent(commander fleet.Commander) string {
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	agent := dispatch.NewAgent(ctx, commander, clock.Boot{}, logging.Discard(), group.Start)
	server := peerrpc.NewServer()
	Expect(agent.Register(server)).To(Succeed())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	group.Serve(func(ctx context.Context) error { return server.Serve(ctx, listener, group.Serve) })
	group.Start(agent)
	DeferCleanup(func() {
		cancel()
		agent.Stop()
		Expect(group.Wait()).To(Succeed())
	})
	return listener.Addr().String()
}

// startRemote starts the holder's side of the agent at the address.
func startRemote(address string, epoch uint64) (*dispatch.Remote, *recordingSink) {
	sink := &recordingSink{outcomes: map[uint64]dispatch.Outcome{}}
	ctx, cancel := context.WithCancel(context.Background())
	peers := peerrpc.NewClient()
	r := dispatch.NewRemote(ctx, peers, clock.Boot{}, address, epoch, sink)
	group := duty.NewGroup(ctx)
	group.Start(r.Duties()...)
	DeferCleanup(func() {
		cancel()
		peers.Close()
		for _, d := range r.Duties() {
			d.Stop()
		}
		Expect(group.Wait()).To(Succeed())
	})
	return r, sink
}

func startCommand(id uint64, at model.EndpointID) dispatch.Command {
	return dispatch.Command{ID: id, Start: &fleet.Start{Target: fleet.Target{ID: at}, Run: jobs.RunID{Number: int(id)}, Spec: "work"}}
}

var _ = Describe("An agent", func() {
	It("executes commands and returns their outcomes", func() {
		commander := &fakeCommander{}
		r, sink := startRemote(startAgent(commander), 4)
		renew := dispatch.Command{ID: 3, Renew: &fleet.Renewal{Target: fleet.Target{ID: "e"}, Epoch: 4}}
		Expect(r.Send([]dispatch.Command{startCommand(1, "e"), startCommand(2, "fenced"), renew})).To(BeTrue())
		for _, id := range []uint64{1, 2, 3} {
			Eventually(func() bool { _, found := sink.outcome(id)(); return found }, waitTimeout).Should(BeTrue())
		}
		done, _ := sink.outcome(1)()
		Expect(done.Err()).NotTo(HaveOccurred())
		fenced, _ := sink.outcome(2)()
		Expect(eris.Is(fenced.Err(), fleet.ErrFenced)).To(BeTrue())
		listed, _ := sink.outcome(3)()
		Expect(listed.Listing.Clock).To(BeEquivalentTo(7))
		Expect(listed.Listing.Ended).To(HaveLen(1))
	})

	It("does not let an unresponsive endpoint delay calls to others", func() {
		r, sink := startRemote(startAgent(&fakeCommander{}), 1)
		Expect(r.Send([]dispatch.Command{startCommand(1, "unresponsive"), startCommand(2, "e")})).To(BeTrue())
		sentAt := time.Now()
		Eventually(func() bool { _, found := sink.outcome(2)(); return found }, waitTimeout).Should(BeTrue())
		Expect(time.Since(sentAt)).To(BeNumerically("<", dispatch.StartStopTimeout))
		Eventually(func() bool { _, found := sink.outcome(1)(); return found }, waitTimeout).Should(BeTrue())
		unresponsive, _ := sink.outcome(1)()
		Expect(eris.Is(unresponsive.Err(), fleet.ErrNoResponse)).To(BeTrue())
	})

	It("rejects commands of a previous holder", func() {
		commander := &fakeCommander{}
		address := startAgent(commander)
		r, sink := startRemote(address, 5)
		Expect(r.Send([]dispatch.Command{startCommand(1, "e")})).To(BeTrue())
		Eventually(func() bool { _, found := sink.outcome(1)(); return found }, waitTimeout).Should(BeTrue())
		previous, previousSink := startRemote(address, 4)
		Expect(previous.Send([]dispatch.Command{startCommand(9, "e")})).To(BeTrue())
		Eventually(previousSink.failures, waitTimeout).Should(ConsistOf(uint64(9)))
		Expect(commander.started()).To(Equal(1))
	})

	// The waiting call of the former holder got the outcomes of the new one. It took them
	// for those of its own commands with the same IDs.
	It("gives a former holder no outcomes of the new one's commands", func() {
		address := startAgent(&fakeCommander{})
		former, formerSink := startRemote(address, 4)
		Expect(former.Send([]dispatch.Command{startCommand(1, "e")})).To(BeTrue())
		Eventually(func() bool { _, found := formerSink.outcome(1)(); return found }, waitTimeout).Should(BeTrue())
		time.Sleep(100 * time.Millisecond) // The former holder's next call for outcomes waits.

		peers := peerrpc.NewClient()
		defer peers.Close()
		batch := dispatch.Batch{Epoch: 5, Commands: []dispatch.Command{startCommand(2, "e")}}
		Expect(peers.Call(context.Background(), address, "Dispatch.Send", batch, &dispatch.Empty{})).To(Succeed())
		time.Sleep(100 * time.Millisecond) // The outcome has been added.
		_, sink := startRemote(address, 5)
		Eventually(func() bool { _, found := sink.outcome(2)(); return found }, waitTimeout).Should(BeTrue())
		_, found := formerSink.outcome(2)()
		Expect(found).To(BeFalse())
	})

	// A process that was suspended between its decision and the call acted on a lease that
	// had run out meanwhile.
	It("does not execute commands whose permission has ended", func() {
		commander := &fakeCommander{}
		r, sink := startRemote(startAgent(commander), 1)
		now := clock.Boot{}.Now()
		Expect(r.Send([]dispatch.Command{startCommand(1, "e").Until(now), startCommand(2, "e").Until(now.Add(time.Hour))})).To(BeTrue())
		for _, id := range []uint64{1, 2} {
			Eventually(func() bool { _, found := sink.outcome(id)(); return found }, waitTimeout).Should(BeTrue())
		}
		expired, _ := sink.outcome(1)()
		Expect(eris.Is(expired.Err(), fleet.ErrRefused)).To(BeTrue())
		Expect(commander.started()).To(Equal(1))
	})

	// A machine that stood still read the batch when it went on, and counted the time for
	// which the commands may be sent from then.
	It("does not execute commands that it reads after their permission has ended", func() {
		commander := &fakeCommander{}
		ctx, cancel := context.WithCancel(context.Background())
		group := duty.NewGroup(ctx)
		proxy, err := faultproxy.Listen(group, "127.0.0.1:0", startAgent(commander), 1)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			cancel()
			Expect(group.Wait()).To(Succeed())
		})
		r, sink := startRemote(proxy.Address(), 1)
		Expect(r.Send([]dispatch.Command{startCommand(1, "e")})).To(BeTrue())
		Eventually(func() bool { _, found := sink.outcome(1)(); return found }, waitTimeout).Should(BeTrue())

		proxy.Set(faultproxy.Partition())
		now := clock.Boot{}.Now()
		Expect(r.Send([]dispatch.Command{
			startCommand(2, "e").Until(now.Add(partitionTime / 2)), startCommand(3, "e").Until(now.Add(time.Hour)),
		})).To(BeTrue())
		time.Sleep(partitionTime)
		proxy.Set(faultproxy.Faults{})
		Eventually(func() bool { _, found := sink.outcome(3)(); return found }, waitTimeout).Should(BeTrue())
		Expect(commander.started()).To(Equal(2), "the second start had expired")
	})

	// The clock of an instance that has taken over the address is another one.
	It("rejects commands whose permission refers to the clock of another incarnation", func() {
		commander := &fakeCommander{}
		address := startAgent(commander)
		peers := peerrpc.NewClient()
		defer peers.Close()
		var reading dispatch.ClockReply
		Expect(peers.Call(context.Background(), address, "Dispatch.ReadClock", dispatch.Empty{}, &reading)).To(Succeed())
		command := startCommand(1, "e")
		command.SendBy = reading.Now + int64(time.Hour)
		batch := dispatch.Batch{Epoch: 1, Incarnation: reading.Incarnation + 1, Commands: []dispatch.Command{command}}
		Expect(peers.Call(context.Background(), address, "Dispatch.Send", batch, &dispatch.Empty{})).NotTo(Succeed())
		batch.Incarnation = reading.Incarnation
		Expect(peers.Call(context.Background(), address, "Dispatch.Send", batch, &dispatch.Empty{})).To(Succeed())
		Eventually(commander.started, waitTimeout).Should(Equal(1))
		Consistently(commander.started, 100*time.Millisecond).Should(Equal(1))
	})

	It("has received no commands when it is unreachable", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		r, sink := startRemote(listener.Addr().String(), 1)
		Expect(r.Send([]dispatch.Command{startCommand(1, "e")})).To(BeTrue())
		Eventually(sink.failures, waitTimeout).Should(ConsistOf(uint64(1)))
		Expect(sink.sent).To(BeFalse())
	})
})

var _ = Describe("Routes", func() {
	endpointCounts := func(n int) map[model.DomainName]int { return map[model.DomainName]int{"north": n, "south": n} }
	all := []instances.Instance{
		{Address: "n1", Domain: "north", CPUShare: 0.8}, {Address: "n2", Domain: "north", CPUShare: 0.8},
		{Address: "n3", Domain: "north", CPUShare: 0.2}, {Address: "n4", Domain: "north", CPUShare: 0.2},
	}

	It("choose the largest instances of the endpoint's domain", func() {
		r := dispatch.NewRoutes(all, endpointCounts(500))
		Expect(r.Addresses()).To(ConsistOf("n1", "n2"))
		Expect(r.For("e1", "north")).To(BeElementOf("n1", "n2"))
	})

	It("choose no more than the endpoints need, and serve domains without any", func() {
		r := dispatch.NewRoutes(all, endpointCounts(10))
		Expect(r.Addresses()).To(HaveLen(1))
		Expect(r.For("e1", "south")).To(Equal(r.Addresses()[0]))
	})

	It("keep the other endpoints' instances when one instance is removed", func() {
		before, after := dispatch.NewRoutes(all, endpointCounts(100)), dispatch.NewRoutes(all[:1], endpointCounts(100))
		for i := range 50 {
			id := model.EndpointID(fmt.Sprint(i))
			if before.For(id, "north") == "n1" {
				Expect(after.For(id, "north")).To(Equal("n1"))
			}
		}
	})

	It("return no address when there are no other instances", func() {
		Expect(dispatch.NewRoutes(nil, endpointCounts(100)).For("e", "north")).To(BeEmpty())
	})
})

var _ = Describe("An executor", func() {
	It("does not call an endpoint once the permission has ended", func() {
		ctx, cancel := context.WithCancel(context.Background())
		group := duty.NewGroup(ctx)
		commander := &fakeCommander{}
		done := make(chan dispatch.Done, 2)
		executor := dispatch.NewExecutor(ctx, commander, clock.Boot{}, logging.Discard(), func(d duty.Runner) {
			context.AfterFunc(ctx, d.Stop)
			group.Start(d)
		}, func(d dispatch.Done) { done <- d })
		DeferCleanup(func() {
			cancel()
			Expect(group.Wait()).To(Succeed())
		})
		Expect(executor.Execute(startCommand(1, "e").Until(clock.Boot{}.Now()))).To(BeTrue())
		Expect(executor.Execute(startCommand(2, "e").Until(clock.Boot{}.Now().Add(time.Hour)))).To(BeTrue())
		outcomes := map[uint64]error{}
		for range 2 {
			d := <-done
			outcomes[d.ID] = d.Err()
		}
		Expect(eris.Is(outcomes[1], fleet.ErrRefused)).To(BeTrue())
		Expect(outcomes[2]).NotTo(HaveOccurred())
		Expect(commander.started()).To(Equal(1))
	})
})
