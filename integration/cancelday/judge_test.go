package cancelday_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The checks of a day of cancels", func() {
	acknowledged := time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)
	at := func(after time.Duration) time.Time { return acknowledged.Add(after) }
	var r *run
	var j *job
	var s *startRecord
	violations := func() int {
		n := 0
		for _, v := range r.judge(j, s) {
			if v.excuse == "" {
				n++
			}
		}
		return n
	}
	cases := func() int { return len(r.judge(j, s)) }

	BeforeEach(func() {
		r = &run{}
		j = &job{acknowledged: acknowledged, cancels: []answer{{sent: acknowledged, at: acknowledged, status: 200, state: "cancelled"}}}
		s = &startRecord{endpoint: "w-001", sender: &connection{name: "node07"}, received: at(5 * time.Second), began: at(5 * time.Second), ended: at(5300 * time.Millisecond)}
	})

	It("finds a late start by an undisturbed sender", func() {
		Expect(violations()).To(Equal(1))
	})

	It("finds both the late start and its run to the end", func() {
		s.ended = at(8 * time.Second)
		Expect(violations()).To(Equal(2))
	})

	It("finds a late start by a sender whose connection was closed at once", func() {
		s.sender.name = ""
		Expect(violations()).To(Equal(1))
	})

	It("finds a late start although another instance was disturbed", func() {
		r.disturbances = []*disturbance{{name: "node08", from: at(time.Second), to: at(4 * time.Second)}}
		Expect(violations()).To(Equal(1))
	})

	It("finds a late start 4 s after the end of a disturbance", func() {
		r.disturbances = []*disturbance{{from: at(-time.Second), to: at(900 * time.Millisecond)}}
		Expect(violations()).To(Equal(1))
	})

	It("excuses and shows a late start less than 4 s after a fault of the table", func() {
		r.disturbances = []*disturbance{{from: at(-time.Second), to: at(1100 * time.Millisecond)}}
		Expect(violations()).To(BeZero())
		Expect(cases()).To(Equal(1))
	})

	It("finds a run that goes on", func() {
		s.received, s.began, s.ended = at(-time.Second), at(-time.Second), at(4500*time.Millisecond)
		Expect(violations()).To(Equal(1))
		s.ended = at(4300 * time.Millisecond)
		Expect(cases()).To(BeZero())
	})

	It("finds a run that goes on although a stop reached the endpoint too late", func() {
		s.received, s.began, s.ended, s.stopReceived = at(-time.Second), at(-time.Second), at(4500*time.Millisecond), at(4100*time.Millisecond)
		Expect(violations()).To(Equal(1))
		s.stopReceived = at(3900 * time.Millisecond)
		Expect(violations()).To(BeZero())
		Expect(cases()).To(Equal(1))
	})

	It("finds a start executed late by the endpoint that runs on", func() {
		s.late, s.received, s.began, s.ended = true, at(time.Second), at(6*time.Second), at(10300*time.Millisecond)
		Expect(violations()).To(BeZero())
		Expect(cases()).To(Equal(1))
		s.ended = at(10500 * time.Millisecond)
		Expect(violations()).To(Equal(1))
	})

	It("excuses a job that was submitted again after a 410", func() {
		again := answer{sent: at(time.Second), at: at(1100 * time.Millisecond), status: 200, state: "queued"}
		j.submits = []answer{again}
		Expect(violations()).To(Equal(1))
		j.cancels[0].status = 410
		Expect(violations()).To(BeZero())
	})
})
