package estimate_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/policy/estimate"
)

var _ = Describe("Ratio", func() {
	It("says nothing on little evidence", func() {
		var r estimate.Ratio
		for range 7 {
			r.Observe(2, 1)
		}
		_, known := r.Quantile(0.5)
		Expect(known).To(BeFalse())
	})

	DescribeTable("returns a bound that is at most a step above the samples",
		func(ratio, least, most float64) {
			var r estimate.Ratio
			for range 100 {
				r.Observe(ratio, 1)
			}
			found, known := r.Quantile(0.9)
			Expect(known).To(BeTrue())
			Expect(found).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		},
		Entry("a right declaration is exact", 1.0, 1.0, 1.0),
		Entry("ten times too small", 10.0, 10.0, 12.0),
		Entry("ten times too large", 0.1, 0.1, 0.12),
	)

	It("forgets what was long ago", func() {
		var r estimate.Ratio
		for range 200 {
			r.Observe(8, 1)
		}
		for range 2000 {
			r.Observe(1, 1)
		}
		found, _ := r.Quantile(0.9)
		Expect(found).To(Equal(1.0))
	})

	It("passes over samples without a declaration", func() {
		var r estimate.Ratio
		r.Observe(1, 0)
		Expect(r.Weight()).To(BeZero())
	})
})
