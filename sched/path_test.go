package sched_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/peer"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

var _ = Describe("A scheduler", func() {
	It("accepts a request, runs it once and returns the complete answer", func() {
		fx := newFixture(3)
		s := fx.startScheduler()
		r := request("one", "batch", 20*time.Millisecond)
		Expect(s.submit(r).Code).To(Equal(code(result.Pending)))
		answer := s.answer(r)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		Expect(answer.Parts).To(Equal([]model.Part{{Index: 0, Output: standin.Output(r.Spec.Payload, r.ID, 0)}}))
		Expect(fx.starts(r)).To(Equal(1))
	})

	It("answers a gang's parts in order", func() {
		fx := newFixture(3)
		s := fx.startScheduler()
		r := request("gang", "screen", 20*time.Millisecond)
		r.Spec.Kind, r.Spec.Tasks = model.Gang, 12
		Expect(s.submit(r).Code).To(Equal(code(result.Pending)))
		answer := s.answer(r)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		Expect(answer.Parts).To(HaveLen(12))
		for i, part := range answer.Parts {
			Expect(part).To(Equal(model.Part{Index: i, Output: standin.Output(r.Spec.Payload, r.ID, i)}))
		}
	})

	It("recognizes a repeated submission and rejects a key with other content", func() {
		fx := newFixture(1)
		s := fx.startScheduler()
		r := request("again", "batch", time.Millisecond)
		s.submit(r)
		first := s.answer(r)
		Expect(s.submit(r)).To(Equal(first))
		other := r
		other.Spec.Payload = "another"
		Expect(s.submit(other).Code).To(Equal(code(result.KeyReused)))
		Expect(fx.starts(r)).To(Equal(1))
	})

	It("hides a request from other teams", func() {
		fx := newFixture(1)
		s := fx.startScheduler()
		r := request("mine", "screen", time.Millisecond)
		s.submit(r)
		var reply peer.Reply
		Expect(s.service.Await(peer.AwaitRequest{ID: r.ID, Team: "u"}, &reply)).To(Succeed())
		Expect(reply.Answer.Code).To(Equal(code(result.UnknownRequest)))
		Expect(s.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "u"}, &reply)).To(Succeed())
		Expect(reply.Answer.Code).To(Equal(code(result.UnknownRequest)))
		Expect(s.answer(r).Code).To(Equal(code(result.OK)))
	})

	It("stops running work that is cancelled and reports that it ran", func() {
		fx := newFixture(1)
		s := fx.startScheduler()
		r := request("long", "batch", time.Minute)
		s.submit(r)
		Eventually(func() int { return fx.starts(r) }).WithTimeout(waitTimeout).Should(Equal(1))
		var reply peer.Reply
		Expect(s.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "t"}, &reply)).To(Succeed())
		Expect(reply.Answer.Code).To(Equal(code(result.CancelledRunning)), reply.Answer.Reason)
		Eventually(func() int { return fx.ended(r) }).WithTimeout(waitTimeout).Should(Equal(1))
	})
})

var _ = Describe("A cancellation before the start has been sent", func() {
	It("withdraws the start", func() {
		fx := newFixture(1)
		s := fx.startScheduler()
		for i := range 5 {
			r := request("early-"+strconv.Itoa(i), "batch", time.Minute)
			Expect(s.submit(r).Code).To(Equal(code(result.Pending)))
			var reply peer.Reply
			Expect(s.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "t"}, &reply)).To(Succeed())
			switch reply.Answer.Code {
			case code(result.Cancelled):
				Expect(fx.starts(r)).To(BeZero())
			default:
				Expect(reply.Answer.Code).To(Equal(code(result.CancelledRunning)), reply.Answer.Reason)
			}
		}
	})
})

// ended counts the ends of the request's attempts in the endpoints' records.
func (fx *fixture) ended(r peer.SubmitRequest) int {
	records, err := fx.fleet.Records(fx.ctx)
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for _, record := range records {
		if record.Kind == standin.Ended && record.Attempt.Task.Request == r.ID {
			count++
		}
	}
	return count
}
