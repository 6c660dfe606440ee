package metrics_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/metrics"
)

var _ = Describe("Histograms", func() {
	It("summarise durations by label", func() {
		h := metrics.NewHistograms("waiting_by_class", 4)
		for i := 1; i <= 100; i++ {
			h.Record("urgent", time.Duration(i)*time.Millisecond)
		}
		s := h.Summaries()["urgent"]
		Expect(s.Count).To(Equal(int64(100)))
		Expect(s.P50).To(BeNumerically("~", 50_000, 500))
		Expect(s.P99).To(BeNumerically("~", 99_000, 1000))
	})

	It("record further labels under \"other\" once the limit is reached", func() {
		h := metrics.NewHistograms("waiting_by_team", 2)
		for i := range 50 {
			h.Record(strconv.Itoa(i), time.Second)
		}
		Expect(h.Summaries()).To(HaveLen(3))
		Expect(h.Summaries()["other"].Count).To(Equal(int64(48)))
	})
})
