package sched_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
)

// drain hands the shard over and returns once that is done.
func (s *scheduler) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s.daemon.Drain(ctx)
	Expect(ctx.Err()).NotTo(HaveOccurred())
}

var _ = Describe("A planned stop", func() {
	It("redirects callers to the successor and interrupts no work", func() {
		fx, c := newFixture(3), &callers{}
		first := fx.startScheduler()
		var sent []peer.SubmitRequest
		for i := range 20 {
			r := request(fmt.Sprint("k", i), []model.ClassName{"batch", "screen"}[i%2], time.Duration(200+i*50)*time.Millisecond)
			first.submit(r)
			sent = append(sent, r)
		}
		waiting := make(chan peer.Reply, 1)
		go func() {
			var reply peer.Reply
			_ = first.service.Await(peer.AwaitRequest{ID: sent[19].ID, Team: "t", Wait: time.Minute}, &reply)
			waiting <- reply
		}()
		second := fx.startScheduler()
		first.drain()
		var reply peer.Reply
		Eventually(waiting).WithTimeout(waitTimeout).Should(Receive(&reply))
		Expect(reply.Answer.Code).To(Equal(code(result.NotHolder)))
		Expect(reply.Holder).To(Equal("s2:1"))
		first.stop()
		for _, r := range sent {
			answer := second.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), "%s: %s", r.Key, answer.Reason)
			c.record(r, answer)
			Expect(fx.starts(r)).To(Equal(1), "%s ran once", r.Key)
		}
		fx.audit(c)
	})

	It("sends the starts whose intent is durable before the hand-over", func() {
		fx, c := newFixture(8), &callers{}
		settings := testSettings()
		settings.SyncWorkers = 1
		first := fx.startWith(settings, fx.table.Client(), fx.fleet.Client())
		first.submit(request("first", "batch", time.Millisecond))
		var sent []peer.SubmitRequest
		var replies []<-chan model.Answer
		for i := range 60 {
			r := request(fmt.Sprint("k", i), "batch", 100*time.Millisecond)
			sent, replies = append(sent, r), append(replies, first.submitLater(r))
		}
		second := fx.startScheduler()
		Eventually(func() int { return fx.journalled("intent") }).WithTimeout(waitTimeout).ShouldNot(BeZero())
		first.drain()
		first.stop()
		for i, r := range sent {
			Eventually(replies[i]).WithTimeout(waitTimeout).Should(Receive())
			second.submit(r)
			answer := second.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), "%s: %s", r.Key, answer.Reason)
			c.record(r, answer)
		}
		fx.audit(c)
	})

	It("ends within its bound when there is no successor and the store is down", func() {
		fx := newFixture(1)
		l := fx.newFaultyLink()
		settings := testSettings()
		settings.DrainTimeout, settings.RedirectWait = 300*time.Millisecond, 300*time.Millisecond
		s := fx.startWith(settings, l, l)
		s.submit(request("first", "screen", time.Millisecond))
		l.set(func(l *faultyLink) { l.tablePartitioned = true })
		pending := s.submitLater(request("second", "batch", time.Millisecond))
		s.drain()
		var answer model.Answer
		Eventually(pending).WithTimeout(waitTimeout).Should(Receive(&answer))
		Expect(answer.Ran).To(Equal(model.NotRun))
	})
})
