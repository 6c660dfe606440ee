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
	lifecycleSpecs(func(s policy.Settings) policy.Scheduler { return naive.New(s) })
})

var _ = Describe("The cell scheduler", func() {
	lifecycleSpecs(func(s policy.Settings) policy.Scheduler { return cell.New(s) })
})

// lifecycleSpecs registers the specs that every scheduler must pass.
func lifecycleSpecs(create func(policy.Settings) policy.Scheduler) {
	var f *fixture
	BeforeEach(func() { f = newFixture(create(policy.Settings{}), 2) })

	It("starts the tasks that fit and ends the request when all have succeeded", func() {
		id := f.submit("a", "batch", model.Spec{Tasks: 2})
		starts := f.decide(0)
		Expect(starts).To(HaveLen(2))
		f.confirm(starts...)
		f.finish(starts[0], model.Succeeded)
		f.decide(0)
		Expect(f.endings).To(BeEmpty())
		f.finish(starts[1], model.Succeeded)
		f.decide(0)
		Expect(f.endings[id].Code).To(Equal(result.OK))
	})

	It("starts all tasks of a gang together or none", func() {
		blocker := f.submit("a", "batch", model.Spec{Size: fullSize})
		f.decide(0)
		f.submit("b", "batch", model.Spec{Kind: model.Gang, Tasks: 2, Size: fullSize})
		Expect(f.decide(0)).To(BeEmpty())
		f.finish(f.starts[0], model.Succeeded)
		Expect(f.decide(0)).To(HaveLen(2))
		Expect(f.endings).To(HaveKey(blocker))
	})

	It("restarts the complete gang when one of its tasks fails", func() {
		f.submit("a", "batch", model.Spec{Kind: model.Gang, Tasks: 2})
		starts := f.decide(0)
		f.confirm(starts...)
		f.finish(starts[0], model.Failed)
		f.decide(time.Second)
		Expect(f.halts).To(HaveLen(1))
		Expect(f.halts[0].Attempt).To(Equal(starts[1].Attempt))
		Expect(f.starts).To(HaveLen(2))
		f.finish(starts[1], model.Stopped)
		restarted := f.decide(time.Minute)
		Expect(restarted).To(HaveLen(2))
		Expect(restarted[0].Attempt.Number + restarted[1].Attempt.Number).To(Equal(4))
	})

	It("retries repeatable work on another endpoint after a backoff", func() {
		f.submit("a", "batch", model.Spec{})
		first := f.decide(0)[0]
		f.confirm(first)
		f.finish(first, model.Failed)
		Expect(f.decide(0)).To(BeEmpty())
		Expect(f.plan.Wake).To(BeTemporally(">", f.now))
		second := f.decide(time.Minute)
		Expect(second).To(HaveLen(1))
		Expect(second[0].Endpoint).NotTo(Equal(first.Endpoint))
		f.finish(second[0], model.Failed)
		f.decide(0)
		Expect(f.endings[first.Request.ID].Code).To(Equal(result.TaskFailed))
	})

	DescribeTable("never restarts work that may not be repeated",
		func(finish policy.Finish, code result.Code) {
			id := f.submit("a", "once", model.Spec{})
			start := f.decide(0)[0]
			finish.Attempt = start.Attempt
			f.scheduler.Finish(f.now, finish)
			Expect(f.decide(time.Second)).To(BeEmpty())
			Expect(f.endings[id].Code).To(Equal(code))
			Expect(f.decide(time.Hour)).To(BeEmpty())
		},
		Entry("after a failure", policy.Finish{Outcome: model.Failed}, result.TaskFailed),
		Entry("after its lease has lapsed", policy.Finish{Outcome: model.Lapsed}, result.TaskFailed),
		Entry("when the outcome is unknown", policy.Finish{Outcome: model.Lapsed, Ambiguous: true}, result.OutcomeUnknown),
	)

	It("restarts work that an endpoint has rejected, even if it may not be repeated", func() {
		f.submit("a", "once", model.Spec{})
		start := f.decide(0)[0]
		f.scheduler.Reject(f.now, start.Attempt)
		restarted := f.decide(0)
		Expect(restarted).To(HaveLen(1))
		Expect(restarted[0].Endpoint).NotTo(Equal(start.Endpoint))
		Expect(restarted[0].Attempt.Number).To(Equal(2))
	})

	It("rejects work that has not started by the end of its window", func() {
		f.submit("a", "batch", model.Spec{Tasks: 2, Size: fullSize})
		f.decide(0)
		id := f.submit("b", "once", model.Spec{Size: fullSize})
		f.decide(0)
		f.decide(10 * time.Minute)
		Expect(f.endings[id].Code).To(Equal(result.WindowPassed))
	})

	DescribeTable("stops running work at the end of its window with the correct result code",
		func(confirmed bool, code result.Code) {
			id := f.submit("a", "once", model.Spec{})
			start := f.decide(0)[0]
			if confirmed {
				f.confirm(start)
			}
			f.decide(10 * time.Minute)
			Expect(f.endings[id].Code).To(Equal(code))
			Expect(f.halts).To(ConsistOf(HaveField("Treatment", model.Refuse)))
		},
		Entry("start confirmed", true, result.TaskFailed),
		Entry("start not confirmed", false, result.OutcomeUnknown),
	)

	It("ends a cancelled request once none of its attempts is live", func() {
		queued := f.submit("a", "batch", model.Spec{Size: fullSize})
		f.scheduler.Cancel(f.now, queued)
		Expect(f.decide(0)).To(BeEmpty())
		Expect(f.endings[queued].Code).To(Equal(result.Cancelled))
		running := f.submit("a", "batch", model.Spec{})
		start := f.decide(0)[0]
		f.confirm(start)
		f.scheduler.Cancel(f.now, running)
		f.decide(0)
		Expect(f.halts).To(HaveLen(1))
		Expect(f.endings).NotTo(HaveKey(running))
		f.finish(start, model.Stopped)
		f.decide(0)
		Expect(f.endings[running].Code).To(Equal(result.CancelledRunning))
	})

	It("enforces the part of the limit and halts nothing when it is lowered", func() {
		f.scheduler.SetPart("a", smallSize.Scale(2))
		f.submit("a", "batch", model.Spec{Tasks: 3})
		starts := f.decide(0)
		Expect(starts).To(HaveLen(2))
		f.scheduler.SetPart("a", smallSize)
		f.finish(starts[0], model.Succeeded)
		Expect(f.decide(0)).To(BeEmpty())
		Expect(f.halts).To(BeEmpty())
		f.finish(starts[1], model.Succeeded)
		Expect(f.decide(0)).To(HaveLen(1))
	})

	It("adopts a request with succeeded, running and unstarted tasks", func() {
		request := f.request("a", "batch", model.Spec{Tasks: 3})
		running := policy.Start{
			Attempt:  model.AttemptID{Task: model.TaskID{Request: request.ID, Index: 1}, Number: 2},
			Endpoint: "e000", Size: smallSize, Request: request,
		}
		f.scheduler.Adopt(f.now, policy.Adoption{
			Request: request, Running: []policy.Start{running}, Done: []int{0},
			Started: []model.AttemptID{running.Attempt},
		})
		starts := f.decide(0)
		Expect(starts).To(HaveLen(1))
		Expect(starts[0].Attempt.Task.Index).To(Equal(2))
		f.finish(running, model.Succeeded)
		f.finish(starts[0], model.Succeeded)
		f.decide(0)
		Expect(f.endings[request.ID].Code).To(Equal(result.OK))
	})

	It("does not restart lost attempts of adopted work that may not be repeated", func() {
		request := f.request("a", "once", model.Spec{})
		attempt := model.AttemptID{Task: model.TaskID{Request: request.ID}, Number: 1}
		f.scheduler.Adopt(f.now, policy.Adoption{Request: request, Lost: []model.AttemptID{attempt}})
		Expect(f.decide(0)).To(BeEmpty())
		Expect(f.endings[request.ID].Code).To(Equal(result.OutcomeUnknown))
	})

	It("rejects a size that can never be placed", func() {
		Expect(f.submitRejected("a", "batch", model.Spec{Size: endpointCapacity.Scale(2)})).To(Equal(result.ImpossibleSize))
		gang := model.Spec{Kind: model.Gang, Tasks: 3, Size: fullSize}
		Expect(f.submitRejected("a", "batch", gang)).To(Equal(result.ImpossibleSize))
	})

	It("starts nothing on an endpoint that is out of service, leaving or unreachable", func() {
		config := *fixtureConfig()
		config.Version = 2
		config.EndpointsOut = []model.EndpointID{"e000"}
		f.scheduler.SetConfig(f.now, &config)
		leaving := fixtureEndpoint(1)
		leaving.Leaving = true
		f.scheduler.SetEndpoint(f.now, leaving)
		f.submit("a", "batch", model.Spec{})
		Expect(f.decide(0)).To(BeEmpty())
		restored := *fixtureConfig()
		restored.Version = 3
		f.scheduler.SetConfig(f.now, &restored)
		f.scheduler.SetReachable(f.now, "e000", false)
		Expect(f.decide(0)).To(BeEmpty())
		f.scheduler.SetReachable(f.now, "e000", true)
		Expect(f.decide(0)).To(HaveLen(1))
	})
}
