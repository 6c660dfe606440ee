package cut_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamworks/hornbeam/faultproxy"
	"github.com/hornbeamworks/hornbeam/integration/harness"
)

// cutTime is longer than every lease of the system.
const cutTime = 10 * time.Second

var _ = DescribeTable("A failure domain",
	func(platform, peers bool) {
		c := harness.StartCluster(harness.Pair)
		w := c.NewCrowd()
		w.SendMany(50, 20*time.Millisecond, harness.Either)
		if platform {
			c.Domains[0].Platform.Set(faultproxy.Cut())
		}
		if peers {
			c.SetLinks(0, 1, faultproxy.Cut())
			c.SetLinks(1, 0, faultproxy.Cut())
		}
		cut := time.Now()
		w.SendFor(cutTime, 50*time.Millisecond, func(i int) harness.Job { return harness.Either(100 + i) })
		inside, outside := c.StartsSince(cut)
		c.Domains[0].Platform.Set(faultproxy.Faults{})
		c.SetLinks(0, 1, faultproxy.Faults{})
		c.SetLinks(1, 0, faultproxy.Faults{})
		back := time.Now()
		w.SendMany(100, 20*time.Millisecond, func(i int) harness.Job { return harness.Either(1000 + i) })
		callers := w.Done()
		AddReportEntry("starts inside and outside during the cut", []int{inside, outside})
		c.Judge(callers)
		Expect(inside).To(BeNumerically(">", 0), "the cut-off domain goes on")
		Expect(outside).To(BeNumerically(">", 0), "the others go on")
		after, _ := c.StartsSince(back)
		Expect(after).To(BeNumerically(">", 0), "the domain works after its return")
	},
	Entry("cut off from the platform goes on and comes back", true, false),
	Entry("cut off from its peers goes on and comes back", false, true),
	Entry("cut off from both goes on and comes back", true, true),
)
