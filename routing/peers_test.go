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

// generous is reached only by a failure.
const generous = 30 * time.Second

// answerer is how one peer behaves on one call.
type answerer func(ctx context.Context) (peer.Reply, error)

// peers are scripted peers by address.
type peers struct {
	// mu guards the rest: calls come from several goroutines.
	mu      sync.Mutex
	scripts map[string]answerer
	calls   []string
}

func (p *peers) Call(ctx context.Context, address, _ string, _, reply any) error {
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
func (p *peers) set(address string, script answerer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scripts[address] = script
}

// count returns the number of calls to the address.
func (p *peers) count(address string) int {
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

func answers(code result.Code) answerer {
	return func(context.Context) (peer.Reply, error) {
		return peer.Reply{Answer: model.Answer{Code: int(code)}}, nil
	}
}

func hints(address string) answerer {
	return func(context.Context) (peer.Reply, error) {
		return peer.Reply{Answer: model.Answer{Code: int(result.NotHolder)}, Holder: address}, nil
	}
}

func fails(err error) answerer {
	return func(context.Context) (peer.Reply, error) { return peer.Reply{}, err }
}

// bench is a router with scripted peers for one shard.
type bench struct {
	peers  *peers
	caller *routing.Caller
}

var home = model.ShardID{Domain: "a"}

func newBench(settings routing.Settings, scripts map[string]answerer, candidates ...string) *bench {
	p := &peers{scripts: scripts}
	router := routing.NewRouter(settings, clock.System{}, routing.Addresses{"a": candidates})
	group := duty.NewGroup(context.Background())
	group.Start(router)
	DeferCleanup(func() {
		router.Stop()
		Expect(group.Wait()).To(Succeed())
	})
	return &bench{peers: p, caller: routing.NewCaller(router, p, clock.System{})}
}

// call asks the holder; exposes says that it hands in work.
func (b *bench) call(budget time.Duration, exposes bool) routing.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	return b.callIn(ctx, exposes)
}

func (b *bench) callIn(ctx context.Context, exposes bool) routing.Outcome {
	return b.caller.Call(ctx, routing.Question{
		Shard: home, Method: "Submit", Exposes: exposes, Try: generous,
		Args: func(hops int) any { return peer.SubmitRequest{Hops: hops} },
	})
}
