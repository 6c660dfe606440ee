package store_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/integration/harness"
	"github.com/hornbeamworks/hornbeam/result"
	"github.com/hornbeamworks/hornbeam/standin"
)

// outage is longer than every lease of the system.
const outage = 15 * time.Second

var _ = Describe("The store", func() {
	It("down under load stops no work that doesn't need it", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		load.SendMany(50, 20*time.Millisecond, harness.Alternating)
		c.SetFault("table", standin.TableFaults{Outage: true})
		before := c.Started()
		load.SendFor(outage, 50*time.Millisecond, func(i int) harness.Job {
			if i%2 == 0 {
				return harness.Alternating(100 + i/2)
			}
			return harness.Public(i)
		})
		during := c.Started() - before
		c.SetFault("table", standin.TableFaults{})
		load.SendMany(50, 20*time.Millisecond, func(i int) harness.Job { return harness.Alternating(1000 + i) })
		callers := load.Done()
		AddReportEntry("starts during the outage", during)
		c.Audit(callers)
		Expect(during).To(BeNumerically(">=", 140), "work without a key continues")
	})

	It("losing replies of commits that took effect makes nothing run twice", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		for round := range 5 {
			c.SetFault("table", standin.TableFaults{LoseReplies: 2})
			load.SendMany(20, 20*time.Millisecond, func(i int) harness.Job { return harness.Alternating(20*round + i) })
		}
		callers := load.Done()
		c.Audit(callers)
		Expect(c.Stats().LostReplies).To(BeNumerically(">=", 8))
		Expect(load.Count(result.OK)).To(Equal(100))
	})

	It("slow under load loses nothing", func() {
		c := harness.StartCluster(harness.Small)
		load := c.NewCallers()
		c.SetFault("table", standin.TableFaults{DelayMS: 400})
		load.SendMany(100, 20*time.Millisecond, harness.Alternating)
		callers := load.Done()
		c.Audit(callers)
		Expect(load.Count(result.OK)).To(Equal(100))
	})
})
