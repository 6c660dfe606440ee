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

// drained hands the shard back and returns once it is done.
func (m *member) drained() {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	m.daemon.Drain(ctx)
	Expect(ctx.Err()).NotTo(HaveOccurred())
}

var _ = Describe("A planned stop", func() {
	It("hands the shard over warm: callers are sent to the successor and no work is cut off", func() {
		w, c := newWorld(3), &callers{}
		first := w.start()
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
		second := w.start()
		first.drained()
		var reply peer.Reply
		Eventually(waiting).WithTimeout(deadline).Should(Receive(&reply))
		Expect(reply.Answer.Code).To(Equal(code(result.NotHolder)))
		Expect(reply.Holder).To(Equal("s2:1"))
		first.stop()
		for _, r := range sent {
			answer := second.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), "%s: %s", r.Key, answer.Reason)
			c.note(r, answer)
			Expect(w.starts(r)).To(Equal(1), "%s ran once", r.Key)
		}
		w.audit(c)
	})

	It("sends the starts whose intent is on record before it hands over", func() {
		w, c := newWorld(8), &callers{}
		settings := testSettings()
		settings.SyncWorkers = 1
		first := w.startWith(settings, w.table.Client(), w.fleet.Client())
		first.submit(request("first", "batch", time.Millisecond))
		var sent []peer.SubmitRequest
		var told []<-chan model.Answer
		for i := range 60 {
			r := request(fmt.Sprint("k", i), "batch", 100*time.Millisecond)
			sent, told = append(sent, r), append(told, first.submitLater(r))
		}
		second := w.start()
		Eventually(func() int { return w.journalled("intent") }).WithTimeout(deadline).ShouldNot(BeZero())
		first.drained()
		first.stop()
		for i, r := range sent {
			Eventually(told[i]).WithTimeout(deadline).Should(Receive())
			second.submit(r)
			answer := second.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), "%s: %s", r.Key, answer.Reason)
			c.note(r, answer)
		}
		w.audit(c)
	})

	It("ends within its bound when there is no successor and the store is down", func() {
		w := newWorld(1)
		l := w.link()
		settings := testSettings()
		settings.DrainTimeout, settings.RedirectWait = 300*time.Millisecond, 300*time.Millisecond
		m := w.startWith(settings, l, l)
		m.submit(request("first", "screen", time.Millisecond))
		l.set(func(l *link) { l.cutTable = true })
		pending := m.submitLater(request("second", "batch", time.Millisecond))
		m.drained()
		var answer model.Answer
		Eventually(pending).WithTimeout(deadline).Should(Receive(&answer))
		Expect(answer.Ran).To(Equal(model.NotRun))
	})
})
