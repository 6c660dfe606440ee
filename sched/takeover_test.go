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

var _ = Describe("A successor", func() {
	It("continues the work of a killed holder: nothing runs twice, every answer is complete", func() {
		fx, c := newFixture(4), &callers{}
		first := fx.startScheduler()
		var sent []peer.SubmitRequest
		for i := range 40 {
			class := []model.ClassName{"batch", "screen"}[i%2]
			r := request(fmt.Sprint("k", i), class, time.Duration(i*25)*time.Millisecond)
			r.Spec.Tasks = 1 + i%3
			first.submit(r)
			sent = append(sent, r)
		}
		// All work is started before the kill, since work that runs at most once
		// is answered with an unknown outcome when its intent has no start. The
		// last requests still run at the kill.
		for _, r := range sent {
			Eventually(func() int { return fx.starts(r) }).WithTimeout(waitTimeout).Should(BeNumerically(">=", r.Spec.Tasks))
		}
		first.stop()
		second := fx.startScheduler()
		for _, r := range sent {
			answer := second.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), "%s: %s", r.Key, answer.Reason)
			Expect(answer.Parts).To(HaveLen(r.Spec.Tasks))
			c.record(r, answer)
		}
		fx.audit(c)
	})

	It("answers unknown when the holder was killed between the intent and the start", func() {
		fx, c := newFixture(2), &callers{}
		l := fx.newFaultyLink()
		first := fx.startOn(l)
		l.set(func(l *faultyLink) { l.dropStarts = true })
		once, repeatable := request("once", "batch", time.Millisecond), request("again", "screen", time.Millisecond)
		Expect(first.submit(once).Code).To(Equal(code(result.Pending)))
		Expect(first.submit(repeatable).Code).To(Equal(code(result.Pending)))
		Eventually(func() int { return fx.journalled("intent") }).WithTimeout(waitTimeout).ShouldNot(BeZero())
		first.stop()
		second := fx.startScheduler()
		answer := second.answer(once)
		Expect(answer.Code).To(Equal(code(result.OutcomeUnknown)), answer.Reason)
		c.record(once, answer)
		answer = second.answer(repeatable)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.record(repeatable, answer)
		Expect(fx.starts(once)).To(BeZero())
		fx.audit(c)
	})

	It("gets the result of a start whose reply the holder never received", func() {
		fx, c := newFixture(2), &callers{}
		l := fx.newFaultyLink()
		first := fx.startOn(l)
		l.set(func(l *faultyLink) { l.loseReplies = true })
		once := request("once", "batch", 50*time.Millisecond)
		first.submit(once)
		Eventually(func() int { return fx.starts(once) }).WithTimeout(waitTimeout).Should(Equal(1))
		first.stop()
		answer := fx.startScheduler().answer(once)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.record(once, answer)
		Expect(fx.starts(once)).To(Equal(1))
		fx.audit(c)
	})

	It("records the result of work that ended when the holder could not write", func() {
		fx, c := newFixture(2), &callers{}
		l := fx.newFaultyLink()
		first := fx.startOn(l)
		once := request("once", "batch", 300*time.Millisecond)
		first.submit(once)
		Eventually(func() int { return fx.starts(once) }).WithTimeout(waitTimeout).Should(Equal(1))
		l.set(func(l *faultyLink) { l.tablePartitioned = true })
		Eventually(func() int { return fx.ended(once) }).WithTimeout(waitTimeout).Should(Equal(1))
		first.stop()
		answer := fx.startScheduler().answer(once)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.record(once, answer)
		Expect(fx.starts(once)).To(Equal(1))
		fx.audit(c)
	})

	It("replaces a holder that is isolated from the table and the endpoints, which then redirects callers and starts nothing", func() {
		fx, c := newFixture(3), &callers{}
		l := fx.newFaultyLink()
		first := fx.startOn(l)
		var sent []peer.SubmitRequest
		for i := range 12 {
			r := request(fmt.Sprint("k", i), []model.ClassName{"batch", "screen"}[i%2], 2*time.Second)
			first.submit(r)
			sent = append(sent, r)
		}
		for _, r := range sent {
			Eventually(func() int { return fx.starts(r) }).WithTimeout(waitTimeout).Should(Equal(1))
		}
		second := fx.startScheduler()
		l.set(func(l *faultyLink) { l.tablePartitioned, l.endpointsPartitioned = true, true })
		late := request("late", "screen", 10*time.Millisecond)
		Expect(second.submit(late).Code).To(Equal(code(result.Pending)))
		l.set(func(l *faultyLink) { l.tablePartitioned, l.endpointsPartitioned = false, false })
		Eventually(func() string {
			var reply peer.Reply
			Expect(first.service.Await(peer.AwaitRequest{ID: late.ID, Team: "t"}, &reply)).To(Succeed())
			return reply.Holder
		}).WithTimeout(waitTimeout).Should(Equal("s2:1"))
		for _, r := range append(sent, late) {
			answer := second.answer(r)
			Expect(answer.Code).To(Equal(code(result.OK)), "%s: %s", r.Key, answer.Reason)
			c.record(r, answer)
		}
		fx.audit(c)
	})

	It("starts nothing before the tasks on an unreachable endpoint have ended", func() {
		fx, c := newFixture(3), &callers{}
		first := fx.startScheduler()
		r := request("long", "screen", 20*time.Second)
		r.Spec.Tasks = 3
		r.Spec.Size[model.Slots] = 8
		first.submit(r)
		Eventually(func() int { return fx.starts(r) }).WithTimeout(waitTimeout).Should(Equal(3))
		Expect(fx.fleet.SendEvent(fx.ctx, standin.Freeze, "a", "a01")).To(Succeed())
		first.stop()
		second := fx.startScheduler()
		other := request("other", "screen", time.Millisecond)
		other.Spec.Size[model.Slots] = 8
		second.submit(other)
		var reply peer.Reply
		Eventually(func() int {
			reply = peer.Reply{}
			Expect(second.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "t"}, &reply)).To(Succeed())
			return reply.Answer.Code
		}).WithTimeout(waitTimeout).Should(Equal(code(result.CancelledRunning)))
		c.record(r, reply.Answer)
		answer := second.answer(other)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.record(other, answer)
		fx.audit(c)
	})

	It("is not affected by a delayed start of the previous holder", func() {
		fx, c := newFixture(2), &callers{}
		l := fx.newFaultyLink()
		first := fx.startOn(l)
		release := make(chan struct{})
		l.set(func(l *faultyLink) { l.release = release })
		r := request("late", "screen", 300*time.Millisecond)
		first.submit(r)
		Eventually(func() int { return fx.journalled("accepted") }).WithTimeout(waitTimeout).ShouldNot(BeZero())
		time.Sleep(testSettings().SyncTimeout)
		first.stop()
		second := fx.startScheduler()
		answer := second.answer(r)
		close(release)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		c.record(r, answer)
		fx.audit(c)
	})
})

// journalled counts the journal rows that have an entry of the kind.
func (fx *fixture) journalled(kind string) int {
	rows, err := fx.table.Client().List(fx.ctx, "journal/", "", 1000)
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for _, row := range rows {
		if match, _ := ContainSubstring(`"` + kind + `"`).Match(string(row.Value)); match {
			count++
		}
	}
	return count
}
