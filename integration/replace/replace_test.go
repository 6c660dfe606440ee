package replace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/result"
)

var _ = Describe("A rolling replacement", func() {
	It("of every entry instance under load cuts off no request", func() {
		c := harness.StartCluster(harness.Small)
		w := c.NewCrowd()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			w.SendMany(400, 20*time.Millisecond, harness.Either)
		}()
		for i := range harness.Small.Scheds {
			for _, d := range []*harness.Daemon{c.Domains[0].Gates[i], c.Domains[0].Scheds[i]} {
				time.Sleep(500 * time.Millisecond)
				Expect(d.Terminate()).To(Equal(0), d.Name)
				d.Start()
				Eventually(d.Ready).WithTimeout(harness.Patience).Should(BeTrue(), d.Name)
			}
		}
		Eventually(sent).WithTimeout(harness.Patience).Should(BeClosed())
		callers := w.Done()
		c.Judge(callers)
		Expect(w.Count(result.OK)).To(Equal(400), w.Heard())
		Expect(w.CutOff()).To(BeEmpty())
	})
})
