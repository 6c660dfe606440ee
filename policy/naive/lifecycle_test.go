package naive_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy"
	"github.com/hornbeamworks/hornbeam/policy/cell"
	"github.com/hornbeamworks/hornbeam/policy/naive"
	"github.com/hornbeamworks/hornbeam/result"
)

var _ = Describe("The naive scheduler", func() {
	lifecycle(func(s policy.Settings) policy.Scheduler { return naive.New(s) })
})

var _ = Describe("The fast scheduler", func() {
	lifecycle(func(s policy.Settings) policy.Scheduler { return cell.New(s) })
})

// lifecycle are the promises that both schedulers keep.
func lifecycle(create func(policy.Settings) policy.Scheduler) {
	var w *world
	BeforeEach(func() { w = newWorld(create(policy.Settings{}), 2) })

	It("starts what fits and answers when every task has succeeded", func() {
		id := w.submit("a", "batch", model.Spec{Tasks: 2})
		starts := w.decide(0)
		Expect(starts).To(HaveLen(2))
		w.confirm(starts...)
		w.finish(starts[0], model.Succeeded)
		w.decide(0)
		Expect(w.endings).To(BeEmpty())
		w.finish(starts[1], model.Succeeded)
		w.decide(0)
		Expect(w.endings[id].Code).To(Equal(result.OK))
	})

	It("starts a gang whole or not at all", func() {
		blocker := w.submit("a", "batch", model.Spec{Size: wholeSize})
		w.decide(0)
		w.submit("b", "batch", model.Spec{Kind: model.Gang, Tasks: 2, Size: wholeSize})
		Expect(w.decide(0)).To(BeEmpty())
		w.finish(w.starts[0], model.Succeeded)
		Expect(w.decide(0)).To(HaveLen(2))
		Expect(w.endings).To(HaveKey(blocker))
	})

	It("starts a gang again as a whole when it loses a member", func() {
		w.submit("a", "batch", model.Spec{Kind: model.Gang, Tasks: 2})
		starts := w.decide(0)
		w.confirm(starts...)
		w.finish(starts[0], model.Failed)
		w.decide(time.Second)
		Expect(w.halts).To(HaveLen(1))
		Expect(w.halts[0].Attempt).To(Equal(starts[1].Attempt))
		Expect(w.starts).To(HaveLen(2))
		w.finish(starts[1], model.Stopped)
		again := w.decide(time.Minute)
		Expect(again).To(HaveLen(2))
		Expect(again[0].Attempt.Number + again[1].Attempt.Number).To(Equal(4))
	})

	It("retries repeatable work elsewhere after a backoff", func() {
		w.submit("a", "batch", model.Spec{})
		first := w.decide(0)[0]
		w.confirm(first)
		w.finish(first, model.Failed)
		Expect(w.decide(0)).To(BeEmpty())
		Expect(w.plan.Wake).To(BeTemporally(">", w.now))
		second := w.decide(time.Minute)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Endpoint).NotTo(Equal(first.Endpoint))
		w.finish(second[0], model.Failed)
		w.decide(0)
		Expect(w.endings[first.Request.ID].Code).To(Equal(result.TaskFailed))
	})

	DescribeTable("never starts work again that may not be repeated",
		func(finish policy.Finish, code result.Code) {
			id := w.submit("a", "once", model.Spec{})
			start := w.decide(0)[0]
			finish.Attempt = start.Attempt
			w.scheduler.Finish(w.now, finish)
			Expect(w.decide(time.Second)).To(BeEmpty())
			Expect(w.endings[id].Code).To(Equal(code))
			Expect(w.decide(time.Hour)).To(BeEmpty())
		},
		Entry("after a failure", policy.Finish{Outcome: model.Failed}, result.TaskFailed),
		Entry("after its lease lapsed", policy.Finish{Outcome: model.Lapsed}, result.TaskFailed),
		Entry("when nobody knows", policy.Finish{Outcome: model.Lapsed, Uncertain: true}, result.OutcomeUnknown),
	)

	It("starts work again that an endpoint has rejected, repeatable or not", func() {
		w.submit("a", "once", model.Spec{})
		start := w.decide(0)[0]
		w.scheduler.Reject(w.now, start.Attempt)
		again := w.decide(0)
		Expect(again).To(HaveLen(1))
		Expect(again[0].Endpoint).NotTo(Equal(start.Endpoint))
		Expect(again[0].Attempt.Number).To(Equal(2))
	})

	It("refuses at the end of the window what has not started", func() {
		w.submit("a", "batch", model.Spec{Tasks: 2, Size: wholeSize})
		w.decide(0)
		id := w.submit("b", "once", model.Spec{Size: wholeSize})
		w.decide(0)
		w.decide(10 * time.Minute)
		Expect(w.endings[id].Code).To(Equal(result.WindowPassed))
	})

	DescribeTable("tells the truth about what it ended at the end of the window",
		func(confirmed bool, code result.Code) {
			id := w.submit("a", "once", model.Spec{})
			start := w.decide(0)[0]
			if confirmed {
				w.confirm(start)
			}
			w.decide(10 * time.Minute)
			Expect(w.endings[id].Code).To(Equal(code))
			Expect(w.halts).To(ConsistOf(HaveField("Treatment", model.Refuse)))
		},
		Entry("confirmed", true, result.TaskFailed),
		Entry("not confirmed", false, result.OutcomeUnknown),
	)

	It("ends cancelled requests when nothing of them runs", func() {
		queued := w.submit("a", "batch", model.Spec{Size: wholeSize})
		w.scheduler.Cancel(w.now, queued)
		Expect(w.decide(0)).To(BeEmpty())
		Expect(w.endings[queued].Code).To(Equal(result.Cancelled))
		running := w.submit("a", "batch", model.Spec{})
		start := w.decide(0)[0]
		w.confirm(start)
		w.scheduler.Cancel(w.now, running)
		w.decide(0)
		Expect(w.halts).To(HaveLen(1))
		Expect(w.endings).NotTo(HaveKey(running))
		w.finish(start, model.Stopped)
		w.decide(0)
		Expect(w.endings[running].Code).To(Equal(result.CancelledRunning))
	})

	It("keeps the part of the limit and halts nothing when it is lowered", func() {
		w.scheduler.SetPart("a", smallSize.Scale(2))
		w.submit("a", "batch", model.Spec{Tasks: 3})
		starts := w.decide(0)
		Expect(starts).To(HaveLen(2))
		w.scheduler.SetPart("a", smallSize)
		w.finish(starts[0], model.Succeeded)
		Expect(w.decide(0)).To(BeEmpty())
		Expect(w.halts).To(BeEmpty())
		w.finish(starts[1], model.Succeeded)
		Expect(w.decide(0)).To(HaveLen(1))
	})

	It("adopts what runs, is done and is lost", func() {
		request := w.request("a", "batch", model.Spec{Tasks: 3})
		running := policy.Start{
			Attempt:  model.AttemptID{Task: model.TaskID{Request: request.ID, Index: 1}, Number: 2},
			Endpoint: "e000", Size: smallSize, Request: request,
		}
		w.scheduler.Adopt(w.now, policy.Adoption{
			Request: request, Running: []policy.Start{running}, Done: []int{0},
			Started: []model.AttemptID{running.Attempt},
		})
		starts := w.decide(0)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Attempt.Task.Index).To(Equal(2))
		w.finish(running, model.Succeeded)
		w.finish(starts[0], model.Succeeded)
		w.decide(0)
		Expect(w.endings[request.ID].Code).To(Equal(result.OK))
	})

	It("does not start adopted work again that may not be repeated", func() {
		request := w.request("a", "once", model.Spec{})
		attempt := model.AttemptID{Task: model.TaskID{Request: request.ID}, Number: 1}
		w.scheduler.Adopt(w.now, policy.Adoption{Request: request, Lost: []model.AttemptID{attempt}})
		Expect(w.decide(0)).To(BeEmpty())
		Expect(w.endings[request.ID].Code).To(Equal(result.OutcomeUnknown))
	})

	It("refuses at once what can never run", func() {
		Expect(w.refused("a", "batch", model.Spec{Size: worldCapacity.Scale(2)})).To(Equal(result.ImpossibleSize))
		gang := model.Spec{Kind: model.Gang, Tasks: 3, Size: wholeSize}
		Expect(w.refused("a", "batch", gang)).To(Equal(result.ImpossibleSize))
	})

	It("starts nothing on what is taken out, leaving or silent", func() {
		config := *worldConfig()
		config.Version = 2
		config.EndpointsOut = []model.EndpointID{"e000"}
		w.scheduler.SetConfig(w.now, &config)
		leaving := worldEndpoint(1)
		leaving.Leaving = true
		w.scheduler.SetEndpoint(w.now, leaving)
		w.submit("a", "batch", model.Spec{})
		Expect(w.decide(0)).To(BeEmpty())
		back := *worldConfig()
		back.Version = 3
		w.scheduler.SetConfig(w.now, &back)
		w.scheduler.Reachable(w.now, "e000", false)
		Expect(w.decide(0)).To(BeEmpty())
		w.scheduler.Reachable(w.now, "e000", true)
		Expect(w.decide(0)).To(HaveLen(1))
	})
}
