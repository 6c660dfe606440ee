package sched_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

func (w *world) do(event standin.Event, ids ...model.EndpointID) {
	Expect(w.fleet.Do(w.ctx, event, "a", ids...)).To(Succeed())
}

// runsOn returns the endpoint of the request's last start.
func (w *world) runsOn(r peer.SubmitRequest) model.EndpointID {
	records, err := w.fleet.Records(w.ctx)
	Expect(err).NotTo(HaveOccurred())
	var on model.EndpointID
	for _, record := range records {
		if record.Kind == standin.Started && record.Attempt.Task.Request == r.ID {
			on = record.Endpoint
		}
	}
	return on
}

var _ = Describe("When an endpoint", func() {
	DescribeTable("is lost, its work runs elsewhere only if it may, and never in two places",
		func(event standin.Event) {
			w, c := newWorld(2), &callers{}
			m := w.start()
			again, once := request("again", "screen", 3*time.Second), request("once", "batch", 20*time.Second)
			m.submit(again)
			m.submit(once)
			Eventually(func() int { return w.starts(again) + w.starts(once) }).WithTimeout(deadline).Should(Equal(2))
			w.do(event, w.runsOn(again), w.runsOn(once))
			other := request("other", "screen", 10*time.Millisecond)
			if w.runsOn(again) == w.runsOn(once) {
				Expect(m.submit(other).Code).To(Equal(code(result.Pending)))
				c.note(other, m.answer(other))
			}
			answer := m.answer(once)
			Expect(answer.Code).To(Equal(code(result.OutcomeUnknown)), answer.Reason)
			c.note(once, answer)
			w.do(standin.Heal)
			answer = m.answer(again)
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
			c.note(again, answer)
			Expect(w.starts(once)).To(Equal(1))
			Expect(w.starts(again)).To(Equal(2))
			w.audit(c)
		},
		Entry("crashed", standin.Crash),
		Entry("frozen", standin.Freeze),
	)

	It("leaves, nothing new is started there and what runs ends", func() {
		w, c := newWorld(2), &callers{}
		m := w.start()
		running := request("running", "batch", time.Second)
		m.submit(running)
		Eventually(func() int { return w.starts(running) }).WithTimeout(deadline).Should(Equal(1))
		w.do(standin.Leave, w.runsOn(running))
		var sent []peer.SubmitRequest
		for i := range 10 {
			r := request(fmt.Sprint("k", i), "screen", time.Millisecond)
			m.submit(r)
			sent = append(sent, r)
		}
		for _, r := range append(sent, running) {
			answer := m.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
			c.note(r, answer)
		}
		w.audit(c)
	})

	It("fails everything, work goes elsewhere", func() {
		w, c := newWorld(3), &callers{}
		m := w.start()
		m.submit(request("first", "screen", time.Millisecond))
		w.do(standin.Fail, "a00")
		for i := range 20 {
			r := request(fmt.Sprint("k", i), "screen", 5*time.Millisecond)
			m.submit(r)
			answer := m.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
			c.note(r, answer)
		}
		w.audit(c)
	})

	It("gives no answer, the others are not held up", func() {
		w := newWorld(8)
		m := w.start()
		m.submit(request("first", "screen", time.Millisecond))
		w.do(standin.Freeze, "a00", "a01", "a02")
		for i := range 30 {
			r := request(fmt.Sprint("k", i), "screen", time.Millisecond)
			m.submit(r)
			Expect(m.answer(r).Code).To(Equal(code(result.OK)))
		}
	})
})

var _ = Describe("A wave of cancellations", func() {
	It("answers every request once and truly", func() {
		w, c := newWorld(2), &callers{}
		m := w.start()
		var sent []peer.SubmitRequest
		for i := range 200 {
			r := request(fmt.Sprint("k", i), []model.ClassName{"batch", "screen"}[i%2], 100*time.Millisecond)
			if i == 0 {
				m.submit(r)
			} else {
				m.submitLater(r)
			}
			sent = append(sent, r)
		}
		replies := make(chan peer.Reply, len(sent))
		for _, r := range sent {
			go func() {
				var reply peer.Reply
				_ = m.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "t"}, &reply)
				replies <- reply
			}()
		}
		for range sent {
			Eventually(replies).WithTimeout(deadline).Should(Receive())
		}
		codes := map[int]int{}
		for _, r := range sent {
			m.submit(r)
			answer := m.answer(r)
			c.note(r, answer)
			codes[answer.Code]++
		}
		Expect(codes[code(result.Cancelled)]).NotTo(BeZero())
		w.audit(c)
	})
})
