package quarantine_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/model"
	"github.com/hornbeamworks/hornbeam/policy/quarantine"
)

func observe(h *quarantine.Health, count int, failed, sameRequest bool, expected float64) {
	for i := range count {
		request := model.RequestID("same")
		if !sameRequest {
			request = model.RequestID(fmt.Sprint("r", i))
		}
		h.Observe(failed, quarantine.End{Request: request, Team: "a", Expected: expected})
	}
}

var _ = Describe("Health", func() {
	DescribeTable("suspects the endpoint only when the work succeeds elsewhere",
		func(failed, sameRequest bool, expected float64, suspect bool) {
			var h quarantine.Health
			observe(&h, 8, failed, sameRequest, expected)
			Expect(h.Suspect()).To(Equal(suspect))
		},
		Entry("work that succeeds elsewhere fails on the endpoint", true, false, 0.0, true),
		Entry("a single request fails repeatedly", true, true, 0.0, false),
		Entry("work that fails on all endpoints fails on the endpoint", true, false, 0.9, false),
		Entry("all work succeeds", false, false, 0.0, false),
	)

	It("compares the failure rate with that of the other endpoints", func() {
		var h quarantine.Health
		observe(&h, 8, true, false, 0)
		Expect(h.Unhealthy(0.05)).To(BeTrue())
		Expect(h.Unhealthy(0.6)).To(BeFalse())
	})

	It("limits the share of quarantined endpoints", func() {
		Expect(quarantine.Allowed(0, 2)).To(BeTrue())
		Expect(quarantine.Allowed(1, 9)).To(BeFalse())
		Expect(quarantine.Allowed(1, 10)).To(BeTrue())
	})
})
