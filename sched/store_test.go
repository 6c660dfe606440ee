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

func (fx *fixture) tableFaults(f standin.TableFaults) {
	Expect(fx.table.SetFaults(fx.ctx, f)).To(Succeed())
}

func (fx *fixture) tableWrites() int64 {
	stats, err := fx.table.Stats(fx.ctx)
	Expect(err).NotTo(HaveOccurred())
	return stats.Writes
}

// submitLater submits on a separate goroutine and returns the channel for the
// answer.
func (s *scheduler) submitLater(r peer.SubmitRequest) <-chan model.Answer {
	answers := make(chan model.Answer, 1)
	go func() {
		var reply peer.Reply
		_ = s.service.Submit(r, &reply)
		answers <- reply.Answer
	}()
	return answers
}

var _ = Describe("While the store is down", func() {
	It("keeps running work alive, serves repeatable work and rejects the rest within its window", func() {
		fx, c := newFixture(2), &callers{}
		s := fx.startScheduler()
		long := request("long", "batch", 2*testSettings().TaskLease)
		s.submit(long)
		Eventually(func() int { return fx.starts(long) }).WithTimeout(waitTimeout).Should(Equal(1))
		fx.tableFaults(standin.TableFaults{Outage: true})

		screen := request("screen", "screen", 10*time.Millisecond)
		brief := request("brief", "brief", 10*time.Millisecond)
		screened, refused := s.submitLater(screen), s.submitLater(brief)
		var answer model.Answer
		Eventually(screened).WithTimeout(waitTimeout).Should(Receive(&answer))
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.record(screen, answer)
		Eventually(refused).WithTimeout(waitTimeout).Should(Receive(&answer))
		Expect(answer.Code).To(Equal(code(result.StoreUnavailable)), answer.Reason)
		Expect(answer.Ran).To(Equal(model.NotRun))
		c.record(brief, answer)
		Eventually(func() int { return fx.ended(long) }).WithTimeout(waitTimeout).Should(Equal(1))

		fx.tableFaults(standin.TableFaults{})
		answer = s.answer(long)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.record(long, answer)
		Expect(fx.starts(brief)).To(BeZero())
		fx.audit(c)
	})

	It("persists answers given from memory after the outage, in few rows", func() {
		fx := newFixture(4)
		settings := testSettings()
		settings.Journal.RowInterval = 100 * time.Millisecond
		s := fx.startWith(settings, fx.table.Client(), fx.fleet.Client())
		s.submit(request("first", "screen", time.Millisecond))
		s.answer(request("first", "screen", time.Millisecond))
		fx.tableFaults(standin.TableFaults{Outage: true})
		const requests = 200
		var answers []<-chan model.Answer
		for i := range requests {
			answers = append(answers, s.submitLater(request(fmt.Sprint("k", i), "screen", time.Millisecond)))
		}
		for _, a := range answers {
			var answer model.Answer
			Eventually(a).WithTimeout(waitTimeout).Should(Receive(&answer))
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		}
		before := fx.tableWrites()
		fx.tableFaults(standin.TableFaults{})
		last := request("last", "batch", time.Millisecond)
		s.submit(last)
		s.answer(last)
		Expect(fx.tableWrites()-before).To(BeNumerically("<", 30), "rows, renewals and a snapshot")
		s.stop()
		second := fx.startScheduler()
		for i := range requests {
			Expect(second.answer(request(fmt.Sprint("k", i), "screen", time.Millisecond)).Code).To(Equal(code(result.OK)))
		}
	})

	It("bounds the entries kept in memory and rejects requests beyond that", func() {
		fx := newFixture(1)
		settings := testSettings()
		settings.MaxUnrecorded = 40
		s := fx.startWith(settings, fx.table.Client(), fx.fleet.Client())
		s.submit(request("first", "screen", time.Millisecond))
		s.answer(request("first", "screen", time.Millisecond))
		fx.tableFaults(standin.TableFaults{Outage: true})
		codes := map[int]int{}
		for i := range 60 {
			var answer model.Answer
			Eventually(s.submitLater(request(fmt.Sprint("k", i), "screen", time.Millisecond))).WithTimeout(waitTimeout).Should(Receive(&answer))
			codes[answer.Code]++
		}
		Expect(codes[code(result.OK)]).To(BeNumerically("<=", settings.MaxUnrecorded))
		Expect(codes[code(result.StoreUnavailable)]).To(BeNumerically(">=", 60-settings.MaxUnrecorded))
		Expect(codes).To(HaveLen(2))
	})

	It("loses no accepted request when replies are lost after the commit", func() {
		fx, c := newFixture(3), &callers{}
		s := fx.startScheduler()
		s.submit(request("first", "screen", time.Millisecond))
		s.answer(request("first", "screen", time.Millisecond))
		var sent []peer.SubmitRequest
		for i := range 30 {
			fx.tableFaults(standin.TableFaults{LoseReplies: 1})
			r := request(fmt.Sprint("k", i), "batch", time.Millisecond)
			s.submit(r)
			sent = append(sent, r)
		}
		for _, r := range sent {
			answer := s.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
			c.record(r, answer)
			Expect(fx.starts(r)).To(Equal(1))
		}
		fx.audit(c)
	})
})
