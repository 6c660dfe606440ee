package charts_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/charts"
)

var _ = Describe("Embedded charts", func() {
	It("load, pass the checks and have the name of their file", func() {
		Expect(charts.Names()).To(ContainElement("process"))
		for _, name := range charts.Names() {
			c, err := charts.Load(name)
			Expect(err).NotTo(HaveOccurred())
			Expect(c.Name()).To(Equal(name))
		}
	})

	It("names the missing chart", func() {
		_, err := charts.Load("weather")
		Expect(err).To(MatchError(ContainSubstring(`no chart "weather"`)))
	})
})
