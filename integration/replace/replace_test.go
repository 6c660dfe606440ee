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
		load := c.NewCallers()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			load.SendMany(400, 20*time.Millisecond, harness.Alternating)
		}()
		for i := range harness.Small.Scheds {
			for _, d := range []*harness.Daemon{c.Domains[0].Gates[i], c.Domains[0].Scheds[i]} {
				time.Sleep(500 * time.Millisecond)
				Expect(d.Terminate()).To(Equal(0), d.Name)
				d.Start()
				Eventually(d.Ready).WithTimeout(harness.WaitTimeout).Should(BeTrue(), d.Name)
			}
		}
		Eventually(sent).WithTimeout(harness.WaitTimeout).Should(BeClosed())
		callers := load.Done()
		c.Audit(callers)
		Expect(load.Count(result.OK)).To(Equal(400), load.Summary())
		Expect(load.BrokenCalls()).To(BeEmpty())
	})
})
