package sched_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/peerrpc"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/sched"
	"github.com/hornbeamworks/hornbeam/standin"
)

// neighbour is the shard that requests are moved to.
var neighbour = model.ShardID{Domain: "b"}

// peerProxy forwards calls to the scheduler of the neighbour.
type peerProxy struct {
	target *scheduler
	// repliesToLose is the number of replies that are still to be lost; calls
	// counts all calls.
	repliesToLose, calls atomic.Int64
}

// Call forwards the call, and loses its reply while repliesToLose is above 0.
func (p *peerProxy) Call(_ context.Context, _, method string, args, reply any) error {
	Expect(method).To(Equal(peer.ServiceName + ".Delegate"))
	p.calls.Add(1)
	err := p.target.service.Delegate(args.(peer.DelegateRequest), reply.(*peer.DelegateReply))
	if p.repliesToLose.Add(-1) >= 0 {
		return peerrpc.ErrNoReply
	}
	return err
}

// twoDomainFixture is a fixture of the failure domains a and b, with one
// endpoint each.
type twoDomainFixture struct {
	*fixture
	proxy *peerProxy
	home  *scheduler
}

func newTwoDomainFixture() *twoDomainFixture {
	config := testConfig()
	config.Domains = append(config.Domains, model.Domain{Name: "b", Shards: 1})
	infos := append(endpointsOf("a", 1), endpointsOf("b", 1)...)
	t := &twoDomainFixture{fixture: newFixtureOf(infos, config, func(end func()) { DeferCleanup(end) }), proxy: &peerProxy{}}
	t.proxy.target = t.startShard(neighbour, testSettings(), sched.Dependencies{Table: t.table.Client(), Endpoints: t.fleet.Client()})
	t.home = t.startHome()
	return t
}

func (t *twoDomainFixture) startHome() *scheduler {
	return t.startShard(home, testSettings(), sched.Dependencies{
		Table: t.table.Client(), Endpoints: t.fleet.Client(), Peers: t.proxy,
		Holder: func(id model.ShardID) (string, bool) { return "neighbour:1", id == neighbour },
	})
}

// fill occupies all slots of the home's endpoint.
func (t *twoDomainFixture) fill() {
	r := request("filler", "batch", time.Minute)
	r.Spec.Tasks = 8
	Expect(t.home.submit(r).Code).To(Equal(code(result.Pending)))
	Eventually(func() int { return t.starts(r) }).WithTimeout(waitTimeout).Should(Equal(8))
}

// takeOut takes failure domain a out of service.
func (t *twoDomainFixture) takeOut(schedulers ...*scheduler) {
	next := *t.config.Load()
	next.Version++
	next.Domains = []model.Domain{{Name: "a", Shards: 1, Out: true}, {Name: "b", Shards: 1}}
	t.config.Store(&next)
	for _, s := range append(schedulers, t.proxy.target) {
		s.daemon.Configure(&next, nil)
	}
}

// startedIn returns the failure domains in which the request's tasks started.
func (t *twoDomainFixture) startedIn(r peer.SubmitRequest) []model.DomainName {
	records, err := t.fleet.Records(t.ctx)
	Expect(err).NotTo(HaveOccurred())
	var domains []model.DomainName
	for _, record := range records {
		if record.Kind == standin.Started && record.Attempt.Task.Request == r.ID {
			domains = append(domains, record.Domain)
		}
	}
	return domains
}

var _ = Describe("A failure domain that is taken out", func() {
	var t *twoDomainFixture
	var r peer.SubmitRequest

	BeforeEach(func() {
		t = newTwoDomainFixture()
		t.fill()
		r = request("waiting", "batch", 300*time.Millisecond)
		Expect(t.home.submit(r).Code).To(Equal(code(result.Pending)))
	})

	It("has its waiting requests run once in another domain, and answers them itself", func() {
		t.takeOut(t.home)
		answer := t.home.answer(r)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		Expect(answer.Parts).To(Equal([]model.Part{{Index: 0, Output: standin.Output(r.Spec.Payload, r.ID, 0)}}))
		Expect(t.startedIn(r)).To(Equal([]model.DomainName{"b"}))
	})

	It("accepts no request from an entry instance that may not have learned of it", func() {
		t.takeOut(t.home)
		stale := request("late", "batch", time.Millisecond)
		var reply peer.Reply
		Eventually(func() result.Code {
			reply = peer.Reply{}
			stale.Key += "x"
			stale.ID = request(string(stale.Key), "batch", 0).ID
			Expect(t.home.service.Submit(stale, &reply)).To(Succeed())
			return result.Code(reply.Answer.Code)
		}).WithTimeout(waitTimeout).Should(Equal(result.Busy))
		Expect(reply.Answer.Ran).To(Equal(model.NotRun))
	})

	It("does not report a request as unknown to an entry instance with a newer configuration", func() {
		var reply peer.Reply
		query := peer.AwaitRequest{ID: request("asked", "batch", 0).ID, Team: "t", ConfigVersion: 1}
		Expect(t.home.service.Await(query, &reply)).To(Succeed())
		Expect(reply.Answer.Code).To(Equal(code(result.UnknownRequest)))
		query.ConfigVersion = 2
		Expect(t.home.service.Await(query, &reply)).To(Succeed())
		Expect(reply.Answer.Code).To(Equal(code(result.Busy)))
	})

	It("runs a request once when replies of the other shard are lost", func() {
		t.proxy.repliesToLose.Store(3)
		t.takeOut(t.home)
		Expect(t.home.answer(r).Code).To(Equal(code(result.OK)))
		Expect(t.proxy.calls.Load()).To(BeNumerically(">", 3))
		Expect(t.startedIn(r)).To(Equal([]model.DomainName{"b"}))
	})

	It("lets a successor fetch the answer of a request that was moved before", func() {
		t.takeOut(t.home)
		Eventually(func() []model.DomainName { return t.startedIn(r) }).WithTimeout(waitTimeout).ShouldNot(BeEmpty())
		t.home.stop()
		successor := t.startHome()
		Expect(successor.answer(r).Code).To(Equal(code(result.OK)))
		Expect(t.startedIn(r)).To(Equal([]model.DomainName{"b"}))
	})

	It("stops a moved request that is cancelled and reports that it ran", func() {
		long := request("long", "batch", time.Minute)
		Expect(t.home.submit(long).Code).To(Equal(code(result.Pending)))
		t.takeOut(t.home)
		Eventually(func() []model.DomainName { return t.startedIn(long) }).WithTimeout(waitTimeout).Should(HaveLen(1))
		var reply peer.Reply
		Expect(t.home.service.Cancel(peer.CancelRequest{ID: long.ID, Team: "t"}, &reply)).To(Succeed())
		Expect(t.home.answer(long).Code).To(Equal(code(result.CancelledRunning)))
	})
})
