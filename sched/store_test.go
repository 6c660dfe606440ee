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

func (w *world) tableFaults(f standin.TableFaults) { Expect(w.table.SetFaults(w.ctx, f)).To(Succeed()) }

func (w *world) tableWrites() int64 {
	stats, err := w.table.Stats(w.ctx)
	Expect(err).NotTo(HaveOccurred())
	return stats.Writes
}

// submitLater submits on a goroutine of its own, as a caller does.
func (m *member) submitLater(r peer.SubmitRequest) <-chan model.Answer {
	answers := make(chan model.Answer, 1)
	go func() {
		var reply peer.Reply
		_ = m.service.Submit(r, &reply)
		answers <- reply.Answer
	}()
	return answers
}

var _ = Describe("While the store is down", func() {
	It("keeps running work alive, serves repeatable work and refuses the rest inside its window", func() {
		w, c := newWorld(2), &callers{}
		m := w.start()
		long := request("long", "batch", 2*testSettings().TaskLease)
		m.submit(long)
		Eventually(func() int { return w.starts(long) }).WithTimeout(deadline).Should(Equal(1))
		w.tableFaults(standin.TableFaults{Outage: true})

		screen := request("screen", "screen", 10*time.Millisecond)
		brief := request("brief", "brief", 10*time.Millisecond)
		screened, refused := m.submitLater(screen), m.submitLater(brief)
		var answer model.Answer
		Eventually(screened).WithTimeout(deadline).Should(Receive(&answer))
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.note(screen, answer)
		Eventually(refused).WithTimeout(deadline).Should(Receive(&answer))
		Expect(answer.Code).To(Equal(code(result.StoreUnavailable)), answer.Reason)
		Expect(answer.Ran).To(Equal(model.NotRun))
		c.note(brief, answer)
		Eventually(func() int { return w.ended(long) }).WithTimeout(deadline).Should(Equal(1))

		w.tableFaults(standin.TableFaults{})
		answer = m.answer(long)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.note(long, answer)
		Expect(w.starts(brief)).To(BeZero())
		w.audit(c)
	})

	It("puts on record later what was answered from memory, a few rows at a time", func() {
		w := newWorld(4)
		settings := testSettings()
		settings.Journal.Pace = 100 * time.Millisecond
		m := w.startWith(settings, w.table.Client(), w.fleet.Client())
		m.submit(request("first", "screen", time.Millisecond))
		m.answer(request("first", "screen", time.Millisecond))
		w.tableFaults(standin.TableFaults{Outage: true})
		const requests = 200
		var answers []<-chan model.Answer
		for i := range requests {
			answers = append(answers, m.submitLater(request(fmt.Sprint("k", i), "screen", time.Millisecond)))
		}
		for _, a := range answers {
			var answer model.Answer
			Eventually(a).WithTimeout(deadline).Should(Receive(&answer))
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		}
		before := w.tableWrites()
		w.tableFaults(standin.TableFaults{})
		last := request("last", "batch", time.Millisecond)
		m.submit(last)
		m.answer(last)
		Expect(w.tableWrites()-before).To(BeNumerically("<", 30), "rows, renewals and a snapshot")
		m.stop()
		second := w.start()
		for i := range requests {
			Expect(second.answer(request(fmt.Sprint("k", i), "screen", time.Millisecond)).Code).To(Equal(code(result.OK)))
		}
	})

	It("bounds what it keeps in memory and says so", func() {
		w := newWorld(1)
		settings := testSettings()
		settings.MaxUnrecorded = 40
		m := w.startWith(settings, w.table.Client(), w.fleet.Client())
		m.submit(request("first", "screen", time.Millisecond))
		m.answer(request("first", "screen", time.Millisecond))
		w.tableFaults(standin.TableFaults{Outage: true})
		codes := map[int]int{}
		for i := range 60 {
			var answer model.Answer
			Eventually(m.submitLater(request(fmt.Sprint("k", i), "screen", time.Millisecond))).WithTimeout(deadline).Should(Receive(&answer))
			codes[answer.Code]++
		}
		Expect(codes[code(result.OK)]).To(BeNumerically("<=", settings.MaxUnrecorded))
		Expect(codes[code(result.StoreUnavailable)]).To(BeNumerically(">=", 60-settings.MaxUnrecorded))
		Expect(codes).To(HaveLen(2))
	})

	It("loses no accepted request when replies are lost after the commit", func() {
		w, c := newWorld(3), &callers{}
		m := w.start()
		m.submit(request("first", "screen", time.Millisecond))
		m.answer(request("first", "screen", time.Millisecond))
		var sent []peer.SubmitRequest
		for i := range 30 {
			w.tableFaults(standin.TableFaults{LoseReplies: 1})
			r := request(fmt.Sprint("k", i), "batch", time.Millisecond)
			m.submit(r)
			sent = append(sent, r)
		}
		for _, r := range sent {
			answer := m.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
			c.note(r, answer)
			Expect(w.starts(r)).To(Equal(1))
		}
		w.audit(c)
	})
})
