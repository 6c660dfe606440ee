package routing_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/clock"
	"github.com/hornbeamworks/hornbeam/duty"
	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/routing"
)

// testTimeout is reached only when a test fails.
const testTimeout = 30 * time.Second

// behaviour produces a peer's result for one call.
type behaviour func(ctx context.Context) (peer.Reply, error)

// scriptedPeers are peers with scripted behaviour, by address.
type scriptedPeers struct {
	// mu guards the fields below: calls come from several goroutines.
	mu      sync.Mutex
	scripts map[string]behaviour
	calls   []string
}

func (p *scriptedPeers) Call(ctx context.Context, address, _ string, _, reply any) error {
	p.mu.Lock()
	p.calls = append(p.calls, address)
	script := p.scripts[address]
	p.mu.Unlock()
	answer, err := script(ctx)
	if err == nil {
		*reply.(*peer.Reply) = answer
	}
	return err
}

// set replaces the behaviour of a peer.
func (p *scriptedPeers) set(address string, script behaviour) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scripts[address] = script
}

// count returns the number of calls to the address.
func (p *scriptedPeers) count(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, called := range p.calls {
		if called == address {
			n++
		}
	}
	return n
}

func answers(code result.Code) behaviour {
	return func(context.Context) (peer.Reply, error) {
		return peer.Reply{Answer: model.Answer{Code: int(code)}}, nil
	}
}

func hints(address string) behaviour {
	return func(context.Context) (peer.Reply, error) {
		return peer.Reply{Answer: model.Answer{Code: int(result.NotHolder)}, Holder: address}, nil
	}
}

func fails(err error) behaviour {
	return func(context.Context) (peer.Reply, error) { return peer.Reply{}, err }
}

// fixture is a router and caller with scripted peers for one shard.
type fixture struct {
	peers  *scriptedPeers
	caller *routing.Caller
}

var home = model.ShardID{Domain: "a"}

func newFixture(settings routing.Settings, scripts map[string]behaviour, candidates ...string) *fixture {
	p := &scriptedPeers{scripts: scripts}
	router := routing.NewRouter(settings, clock.System{}, routing.Addresses{"a": candidates})
	group := duty.NewGroup(context.Background())
	group.Start(router)
	DeferCleanup(func() {
		router.Stop()
		Expect(group.Wait()).To(Succeed())
	})
	return &fixture{peers: p, caller: routing.NewCaller(router, p, clock.System{})}
}

// call calls the holder; exposes is set for a call that may run work.
func (f *fixture) call(budget time.Duration, exposes bool) routing.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	return f.callIn(ctx, exposes)
}

func (f *fixture) callIn(ctx context.Context, exposes bool) routing.Outcome {
	return f.caller.Call(ctx, routing.HolderCall{
		Shard: home, Method: "Submit", MayRunWork: exposes, TryTimeout: testTimeout,
		Args: func(hops int) any { return peer.SubmitRequest{Hops: hops} },
	})
}
