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

func (fx *fixture) do(event standin.Event, ids ...model.EndpointID) {
	Expect(fx.fleet.SendEvent(fx.ctx, event, "a", ids...)).To(Succeed())
}

// runsOn returns the endpoint of the request's last start.
func (fx *fixture) runsOn(r peer.SubmitRequest) model.EndpointID {
	records, err := fx.fleet.Records(fx.ctx)
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
	DescribeTable("is lost, only repeatable work runs elsewhere, and never in two places at once",
		func(event standin.Event) {
			fx, c := newFixture(2), &callers{}
			s := fx.startScheduler()
			repeatable, once := request("again", "screen", 3*time.Second), request("once", "batch", 20*time.Second)
			s.submit(repeatable)
			s.submit(once)
			Eventually(func() int { return fx.starts(repeatable) + fx.starts(once) }).WithTimeout(waitTimeout).Should(Equal(2))
			fx.do(event, fx.runsOn(repeatable), fx.runsOn(once))
			other := request("other", "screen", 10*time.Millisecond)
			if fx.runsOn(repeatable) == fx.runsOn(once) {
				Expect(s.submit(other).Code).To(Equal(code(result.Pending)))
				c.record(other, s.answer(other))
			}
			answer := s.answer(once)
			Expect(answer.Code).To(Equal(code(result.OutcomeUnknown)), answer.Reason)
			c.record(once, answer)
			fx.do(standin.Heal)
			answer = s.answer(repeatable)
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
			c.record(repeatable, answer)
			Expect(fx.starts(once)).To(Equal(1))
			Expect(fx.starts(repeatable)).To(Equal(2))
			fx.audit(c)
		},
		Entry("crashed", standin.Crash),
		Entry("frozen", standin.Freeze),
	)

	It("is leaving, running work ends and nothing new is started there", func() {
		fx, c := newFixture(2), &callers{}
		s := fx.startScheduler()
		running := request("running", "batch", time.Second)
		s.submit(running)
		Eventually(func() int { return fx.starts(running) }).WithTimeout(waitTimeout).Should(Equal(1))
		fx.do(standin.Leave, fx.runsOn(running))
		var sent []peer.SubmitRequest
		for i := range 10 {
			r := request(fmt.Sprint("k", i), "screen", time.Millisecond)
			s.submit(r)
			sent = append(sent, r)
		}
		for _, r := range append(sent, running) {
			answer := s.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
			c.record(r, answer)
		}
		fx.audit(c)
	})

	It("fails every task, work is placed on other endpoints", func() {
		fx, c := newFixture(3), &callers{}
		s := fx.startScheduler()
		s.submit(request("first", "screen", time.Millisecond))
		fx.do(standin.Fail, "a00")
		for i := range 20 {
			r := request(fmt.Sprint("k", i), "screen", 5*time.Millisecond)
			s.submit(r)
			answer := s.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
			c.record(r, answer)
		}
		fx.audit(c)
	})

	It("does not respond, the others are not delayed", func() {
		fx := newFixture(8)
		s := fx.startScheduler()
		s.submit(request("first", "screen", time.Millisecond))
		fx.do(standin.Freeze, "a00", "a01", "a02")
		for i := range 30 {
			r := request(fmt.Sprint("k", i), "screen", time.Millisecond)
			s.submit(r)
			Expect(s.answer(r).Code).To(Equal(code(result.OK)))
		}
	})
})

var _ = Describe("Many concurrent cancellations", func() {
	It("give every request one answer that matches whether it ran", func() {
		fx, c := newFixture(2), &callers{}
		s := fx.startScheduler()
		var sent []peer.SubmitRequest
		for i := range 200 {
			r := request(fmt.Sprint("k", i), []model.ClassName{"batch", "screen"}[i%2], 100*time.Millisecond)
			if i == 0 {
				s.submit(r)
			} else {
				s.submitLater(r)
			}
			sent = append(sent, r)
		}
		replies := make(chan peer.Reply, len(sent))
		for _, r := range sent {
			go func() {
				var reply peer.Reply
				_ = s.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "t"}, &reply)
				replies <- reply
			}()
		}
		for range sent {
			Eventually(replies).WithTimeout(waitTimeout).Should(Receive())
		}
		codes := map[int]int{}
		for _, r := range sent {
			s.submit(r)
			answer := s.answer(r)
			c.record(r, answer)
			codes[answer.Code]++
		}
		Expect(codes[code(result.Cancelled)]).NotTo(BeZero())
		fx.audit(c)
	})
})
