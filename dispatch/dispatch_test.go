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
	"github.com/hornbeamworks/hornbeam/fleet"
	"github.com/hornbeamworks/hornbeam/instances"
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/logging"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peerrpc"
)

// patience is reached only by a failure.
const patience = 20 * time.Second

// endpoints answers orders by the endpoint's name: "mute" never, "fenced" with
// the error of that name.
type endpoints struct {
	mu     sync.Mutex
	starts []jobs.RunID
}

func (e *endpoints) Start(ctx context.Context, o fleet.Start) error {
	e.mu.Lock()
	e.starts = append(e.starts, o.Run)
	e.mu.Unlock()
	return e.answer(ctx, o.Target)
}

func (e *endpoints) Stop(ctx context.Context, o fleet.Stop) error { return e.answer(ctx, o.Target) }

func (e *endpoints) Renew(ctx context.Context, o fleet.Renewal) (fleet.Listing, error) {
	return fleet.Listing{Clock: 7, Born: 3, Ended: []fleet.End{{Number: 1, Outcome: fleet.Succeeded}}}, e.answer(ctx, o.Target)
}

func (e *endpoints) answer(ctx context.Context, to fleet.Target) error {
	switch to.ID {
	case "mute":
		<-ctx.Done()
		return eris.Wrap(fleet.ErrNoAnswer, "no answer")
	case "fenced":
		return fleet.ErrFenced
	}
	return nil
}

func (e *endpoints) started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.starts)
}

// collector keeps what a remote hands back.
type collector struct {
	mu       sync.Mutex
	outcomes map[uint64]dispatch.Outcome
	failed   []uint64
	sent     bool
}

func (c *collector) Collected(_ *dispatch.Remote, list []dispatch.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range list {
		c.outcomes[o.ID] = o
	}
}

func (c *collector) Failed(_ *dispatch.Remote, list []uint64, sent bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(list) > 0 {
		c.failed, c.sent = append(c.failed, list...), sent
	}
}

func (c *collector) outcome(id uint64) func() (dispatch.Outcome, bool) {
	return func() (dispatch.Outcome, bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		o, found := c.outcomes[id]
		return o, found
	}
}

func (c *collector) failures() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]uint64(nil), c.failed...)
}

// serve starts an agent and returns its peer address.
func serve(command fleet.Commander) string {
	ctx, cancel := context.WithCancel(context.Background())
	group := duty.NewGroup(ctx)
	agent := dispatch.NewAgent(ctx, command, clock.Boot{}, logging.Discard(), group.Start)
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

// join starts a holder's side of the agent.
func join(address string, epoch uint64) (*dispatch.Remote, *collector) {
	c := &collector{outcomes: map[uint64]dispatch.Outcome{}}
	ctx, cancel := context.WithCancel(context.Background())
	peers := peerrpc.NewClient()
	r := dispatch.NewRemote(ctx, peers, address, epoch, c)
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
	return r, c
}

func start(id uint64, at model.EndpointID) dispatch.Command {
	return dispatch.Command{ID: id, Start: &fleet.Start{Target: fleet.Target{ID: at}, Run: jobs.RunID{Number: int(id)}, Spec: "work"}}
}

var _ = Describe("An instance that carries commands", func() {
	It("makes the calls and hands back what came of them", func() {
		command := &endpoints{}
		r, c := join(serve(command), 4)
		renew := dispatch.Command{ID: 3, Renew: &fleet.Renewal{Target: fleet.Target{ID: "e"}, Epoch: 4}}
		Expect(r.Send([]dispatch.Command{start(1, "e"), start(2, "fenced"), renew})).To(BeTrue())
		for _, id := range []uint64{1, 2, 3} {
			Eventually(func() bool { _, found := c.outcome(id)(); return found }, patience).Should(BeTrue())
		}
		done, _ := c.outcome(1)()
		Expect(done.Err()).NotTo(HaveOccurred())
		fenced, _ := c.outcome(2)()
		Expect(eris.Is(fenced.Err(), fleet.ErrFenced)).To(BeTrue())
		listed, _ := c.outcome(3)()
		Expect(listed.Listing.Clock).To(BeEquivalentTo(7))
		Expect(listed.Listing.Ended).To(HaveLen(1))
	})

	It("does not let an endpoint that is silent hold up the others", func() {
		r, c := join(serve(&endpoints{}), 1)
		Expect(r.Send([]dispatch.Command{start(1, "mute"), start(2, "e")})).To(BeTrue())
		began := time.Now()
		Eventually(func() bool { _, found := c.outcome(2)(); return found }, patience).Should(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", dispatch.OrderTimeout))
		Eventually(func() bool { _, found := c.outcome(1)(); return found }, patience).Should(BeTrue())
		silent, _ := c.outcome(1)()
		Expect(eris.Is(silent.Err(), fleet.ErrNoAnswer)).To(BeTrue())
	})

	It("takes nothing from a former holder", func() {
		command := &endpoints{}
		address := serve(command)
		r, c := join(address, 5)
		Expect(r.Send([]dispatch.Command{start(1, "e")})).To(BeTrue())
		Eventually(func() bool { _, found := c.outcome(1)(); return found }, patience).Should(BeTrue())
		former, lost := join(address, 4)
		Expect(former.Send([]dispatch.Command{start(9, "e")})).To(BeTrue())
		Eventually(lost.failures, patience).Should(ConsistOf(uint64(9)))
		Expect(command.started()).To(Equal(1))
	})

	It("has not seen the commands when it can't be reached", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		r, c := join(listener.Addr().String(), 1)
		Expect(r.Send([]dispatch.Command{start(1, "e")})).To(BeTrue())
		Eventually(c.failures, patience).Should(ConsistOf(uint64(1)))
		Expect(c.sent).To(BeFalse())
	})
})

var _ = Describe("Routes", func() {
	fleetOf := func(n int) map[model.DomainName]int { return map[model.DomainName]int{"north": n, "south": n} }
	all := []instances.Instance{
		{Address: "n1", Domain: "north", CPUShare: 0.8}, {Address: "n2", Domain: "north", CPUShare: 0.8},
		{Address: "n3", Domain: "north", CPUShare: 0.2}, {Address: "n4", Domain: "north", CPUShare: 0.2},
	}

	It("choose the largest instances of the endpoint's domain", func() {
		r := dispatch.NewRoutes(all, fleetOf(500))
		Expect(r.Addresses()).To(ConsistOf("n1", "n2"))
		Expect(r.For("e1", "north")).To(BeElementOf("n1", "n2"))
	})

	It("choose no more than the endpoints need, and serve domains without any", func() {
		r := dispatch.NewRoutes(all, fleetOf(10))
		Expect(r.Addresses()).To(HaveLen(1))
		Expect(r.For("e1", "south")).To(Equal(r.Addresses()[0]))
	})

	It("leave most endpoints where they are when one instance is gone", func() {
		before, after := dispatch.NewRoutes(all, fleetOf(100)), dispatch.NewRoutes(all[:1], fleetOf(100))
		for i := range 50 {
			id := model.EndpointID(fmt.Sprint(i))
			if before.For(id, "north") == "n1" {
				Expect(after.For(id, "north")).To(Equal("n1"))
			}
		}
	})

	It("name none when there is none", func() {
		Expect(dispatch.NewRoutes(nil, fleetOf(100)).For("e", "north")).To(BeEmpty())
	})
})
