package sched_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/sched"
)

// delayingProxy forwards calls to the scheduler of the neighbour, but holds back those with a
// request that has not been cancelled until release.
type delayingProxy struct {
	target *scheduler
	mu     sync.Mutex
	held   []peer.DelegateRequest
}

// Call implements sched.Peers.
func (p *delayingProxy) Call(_ context.Context, _, _ string, args, reply any) error {
	request := args.(peer.DelegateRequest)
	for _, item := range request.Items {
		if !item.Cancel {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.held = append(p.held, request)
			return peerrpc.ErrNoReply
		}
	}
	return p.target.service.Delegate(request, reply.(*peer.DelegateReply))
}

// heldCalls returns the number of calls that are held back.
func (p *delayingProxy) heldCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

// release delivers the calls.
func (p *delayingProxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, request := range p.held {
		Expect(p.target.service.Delegate(request, &peer.DelegateReply{})).To(Succeed())
	}
}

var _ = Describe("The cancelling of a request that is being moved to another failure domain", func() {
	It("keeps a late call with the request from being accepted once it has been answered", func() {
		t := newTwoDomainFixture()
		proxy := &delayingProxy{target: t.proxy.target}
		t.home.stop()
		t.home = t.startShard(home, testSettings(), sched.Dependencies{
			Table: t.table.Client(), Endpoints: t.fleet.Client(), Peers: proxy,
			Holder: func(id model.ShardID) (string, bool) { return "neighbour:1", id == neighbour },
		})
		t.fill()
		r := request("waiting", "batch", 300*time.Millisecond)
		Expect(t.home.submit(r).Code).To(Equal(code(result.Pending)))
		t.takeOut(t.home)
		Eventually(proxy.heldCalls).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
		var reply peer.Reply
		Expect(t.home.service.Cancel(peer.CancelRequest{ID: r.ID, Team: r.Team}, &reply)).To(Succeed())
		answer := t.home.answer(r)
		Expect(answer.Code).To(Equal(code(result.Cancelled)))
		Expect(answer.Ran).To(Equal(model.NotRun))
		proxy.release()
		Consistently(func() int { return t.starts(r) }, "2s", "50ms").Should(BeZero())
	})
})
