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
	It("takes a request, runs it once and answers it whole", func() {
		w := newWorld(3)
		m := w.start()
		r := request("one", "batch", 20*time.Millisecond)
		Expect(m.submit(r).Code).To(Equal(code(result.Pending)))
		answer := m.answer(r)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		Expect(answer.Parts).To(Equal([]model.Part{{Index: 0, Output: standin.Output(r.Spec.Payload, r.ID, 0)}}))
		Expect(w.starts(r)).To(Equal(1))
	})

	It("answers a gang's parts in order", func() {
		w := newWorld(3)
		m := w.start()
		r := request("gang", "screen", 20*time.Millisecond)
		r.Spec.Kind, r.Spec.Tasks = model.Gang, 12
		Expect(m.submit(r).Code).To(Equal(code(result.Pending)))
		answer := m.answer(r)
		Expect(answer.Code).To(Equal(code(result.OK)), answer.Reason)
		Expect(answer.Parts).To(HaveLen(12))
		for i, part := range answer.Parts {
			Expect(part).To(Equal(model.Part{Index: i, Output: standin.Output(r.Spec.Payload, r.ID, i)}))
		}
	})

	It("knows a repeated submission and a key with another content", func() {
		w := newWorld(1)
		m := w.start()
		r := request("again", "batch", time.Millisecond)
		m.submit(r)
		first := m.answer(r)
		Expect(m.submit(r)).To(Equal(first))
		other := r
		other.Spec.Payload = "another"
		Expect(m.submit(other).Code).To(Equal(code(result.KeyReused)))
		Expect(w.starts(r)).To(Equal(1))
	})

	It("hides a request from other teams", func() {
		w := newWorld(1)
		m := w.start()
		r := request("mine", "screen", time.Millisecond)
		m.submit(r)
		var reply peer.Reply
		Expect(m.service.Await(peer.AwaitRequest{ID: r.ID, Team: "u"}, &reply)).To(Succeed())
		Expect(reply.Answer.Code).To(Equal(code(result.UnknownRequest)))
		Expect(m.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "u"}, &reply)).To(Succeed())
		Expect(reply.Answer.Code).To(Equal(code(result.UnknownRequest)))
		Expect(m.answer(r).Code).To(Equal(code(result.OK)))
	})

	It("stops running work that is cancelled and says that it ran", func() {
		w := newWorld(1)
		m := w.start()
		r := request("long", "batch", time.Minute)
		m.submit(r)
		Eventually(func() int { return w.starts(r) }).WithTimeout(deadline).Should(Equal(1))
		var reply peer.Reply
		Expect(m.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "t"}, &reply)).To(Succeed())
		Expect(reply.Answer.Code).To(Equal(code(result.CancelledRunning)), reply.Answer.Reason)
		Eventually(func() int { return w.ended(r) }).WithTimeout(deadline).Should(Equal(1))
	})
})

var _ = Describe("A cancellation that comes before the start has left", func() {
	It("takes the start back", func() {
		w := newWorld(1)
		m := w.start()
		for i := range 5 {
			r := request("early-"+strconv.Itoa(i), "batch", time.Minute)
			Expect(m.submit(r).Code).To(Equal(code(result.Pending)))
			var reply peer.Reply
			Expect(m.service.Cancel(peer.CancelRequest{ID: r.ID, Team: "t"}, &reply)).To(Succeed())
			switch reply.Answer.Code {
			case code(result.Cancelled):
				Expect(w.starts(r)).To(BeZero())
			default:
				Expect(reply.Answer.Code).To(Equal(code(result.CancelledRunning)), reply.Answer.Reason)
			}
		}
	})
})

// ended counts the ends of the request's attempts on record.
func (w *world) ended(r peer.SubmitRequest) int {
	records, err := w.fleet.Records(w.ctx)
	Expect(err).NotTo(HaveOccurred())
	count := 0
	for _, record := range records {
		if record.Kind == standin.Ended && record.Attempt.Task.Request == r.ID {
			count++
		}
	}
	return count
}
