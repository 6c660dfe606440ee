package capacity_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/capacity"
)

var _ = Describe("Slope", func() {
	It("is fitted by a straight line", func() {
		s := capacity.Slope{Name: "cost", Unit: "bytes", SizeUnit: "teams", Target: 10, Samples: []capacity.Sample{{1, 5}, {2, 7}, {3, 9}, {4, 11}}}
		line := s.Fit()
		Expect(line.Intercept).To(BeNumerically("~", 3, 1e-9))
		Expect(line.PerSize).To(BeNumerically("~", 2, 1e-9))
		Expect(line.RSquared).To(BeNumerically("~", 1, 1e-9))
		var out strings.Builder
		Expect(capacity.WriteTable(&out, []capacity.Slope{s})).To(Succeed())
		Expect(out.String()).To(ContainSubstring("n = 10: 23 bytes"))
	})

	It("is measured over at least four sizes", func() {
		for _, s := range []capacity.Slope{capacity.SyncBytes(), capacity.ConfigBytes()} {
			Expect(len(s.Samples)).To(BeNumerically(">=", 4))
			Expect(s.Fit().RSquared).To(BeNumerically(">", 0.99))
		}
	})
})
