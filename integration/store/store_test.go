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
	It("down under load stops no work that is safe without it", func() {
		c := harness.StartCluster(harness.Small)
		w := c.NewCrowd()
		w.SendMany(50, 20*time.Millisecond, harness.Either)
		c.Control("table", standin.TableFaults{Outage: true})
		before := c.Started()
		w.SendFor(outage, 50*time.Millisecond, func(i int) harness.Job {
			if i%2 == 0 {
				return harness.Either(100 + i/2)
			}
			return harness.Public(i)
		})
		during := c.Started() - before
		c.Control("table", standin.TableFaults{})
		w.SendMany(50, 20*time.Millisecond, func(i int) harness.Job { return harness.Either(1000 + i) })
		callers := w.Done()
		AddReportEntry("starts during the outage", during)
		c.Judge(callers)
		Expect(during).To(BeNumerically(">=", 140), "work without a key goes on")
	})

	It("losing replies of commits that took effect doubles nothing", func() {
		c := harness.StartCluster(harness.Small)
		w := c.NewCrowd()
		for round := range 5 {
			c.Control("table", standin.TableFaults{LoseReplies: 2})
			w.SendMany(20, 20*time.Millisecond, func(i int) harness.Job { return harness.Either(20*round + i) })
		}
		callers := w.Done()
		c.Judge(callers)
		Expect(c.Stats().LostReplies).To(BeNumerically(">=", 8))
		Expect(w.Count(result.OK)).To(Equal(100))
	})

	It("slow under load loses nothing", func() {
		c := harness.StartCluster(harness.Small)
		w := c.NewCrowd()
		c.Control("table", standin.TableFaults{DelayMS: 400})
		w.SendMany(100, 20*time.Millisecond, harness.Either)
		callers := w.Done()
		c.Judge(callers)
		Expect(w.Count(result.OK)).To(Equal(100))
	})
})
