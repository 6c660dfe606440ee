package estimate_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/policy/estimate"
)

var _ = Describe("Ratio", func() {
	It("returns no estimate for fewer than the minimum number of samples", func() {
		var r estimate.Ratio
		for range 7 {
			r.Observe(2, 1)
		}
		_, ok := r.Quantile(0.5)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("returns a bound at most one bucket above the samples",
		func(ratio, least, most float64) {
			var r estimate.Ratio
			for range 100 {
				r.Observe(ratio, 1)
			}
			bound, ok := r.Quantile(0.9)
			Expect(ok).To(BeTrue())
			Expect(bound).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		},
		Entry("exact declaration", 1.0, 1.0, 1.0),
		Entry("declaration ten times too small", 10.0, 10.0, 12.0),
		Entry("declaration ten times too large", 0.1, 0.1, 0.12),
	)

	It("lets the weight of old samples decay", func() {
		var r estimate.Ratio
		for range 200 {
			r.Observe(8, 1)
		}
		for range 2000 {
			r.Observe(1, 1)
		}
		bound, _ := r.Quantile(0.9)
		Expect(bound).To(Equal(1.0))
	})

	It("ignores samples without a declared amount", func() {
		var r estimate.Ratio
		r.Observe(1, 0)
		Expect(r.Weight()).To(BeZero())
	})
})
